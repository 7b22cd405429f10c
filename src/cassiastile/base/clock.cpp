#include "cassiastile/base/clock.hpp"

#include <fmt/chrono.h>

namespace cassiastile::base {

TimePoint SystemClock::Now() const {
  return std::chrono::steady_clock::now();
}

WallTime SystemClock::WallNow() const {
  return std::chrono::system_clock::now();
}

TimePoint ManualClock::Now() const {
  return m_now;
}

WallTime ManualClock::WallNow() const {
  return m_wall;
}

void ManualClock::Advance(Duration by) {
  m_now += by;
  m_wall += std::chrono::duration_cast<WallTime::duration>(by);
}

void ManualClock::StepWall(std::chrono::seconds by) {
  m_wall += by;
}

std::string FormatWallTime(WallTime time) {
  constexpr std::int64_t kMillisPerSecond = 1000;
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count();
  const std::time_t seconds = since_epoch / kMillisPerSecond;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     since_epoch % kMillisPerSecond);
}

}  // namespace cassiastile::base
