#pragma once

#include <cstdint>

namespace cassiastile::jobs {

// Amounts of resources that a task needs, a worker has or a customer may use.
struct Resources {
  std::int64_t cpu = 0;     // Thousandths of a core.
  std::int64_t memory = 0;  // Megabytes.
  std::int64_t gpus = 0;    // Whole accelerators.

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend bool operator==(const Resources&, const Resources&) = default;
};

Resources operator+(Resources left, const Resources& right);
Resources operator-(Resources left, const Resources& right);
Resources operator*(Resources each, std::int64_t count);

// Whether `need` fits into `room` in each resource.
bool Fits(const Resources& need, const Resources& room);

}  // namespace cassiastile::jobs
