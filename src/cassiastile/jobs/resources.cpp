#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

Resources& Resources::operator+=(const Resources& other) {
  cpu += other.cpu;
  memory += other.memory;
  gpus += other.gpus;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu -= other.cpu;
  memory -= other.memory;
  gpus -= other.gpus;
  return *this;
}

Resources operator+(Resources left, const Resources& right) {
  return left += right;
}

Resources operator-(Resources left, const Resources& right) {
  return left -= right;
}

Resources operator*(Resources each, std::int64_t count) {
  return {each.cpu * count, each.memory * count, each.gpus * count};
}

bool Fits(const Resources& need, const Resources& room) {
  return need.cpu <= room.cpu && need.memory <= room.memory &&
         need.gpus <= room.gpus;
}

}  // namespace cassiastile::jobs
