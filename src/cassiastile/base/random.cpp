#include "cassiastile/base/random.hpp"

#include <fmt/format.h>

namespace cassiastile::base {

Random MakeRandom() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return Random(seed);
}

std::string MakeId(Random& random) {
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  return fmt::format("{:016x}{:016x}", high, low);
}

}  // namespace cassiastile::base
