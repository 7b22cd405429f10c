#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cassiastile::base {

using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// The source of time, passed to every component. Measure durations and
// deadlines with Now, which is monotonic. WallNow can jump in either direction
// and is only for times that people or other processes read, for due times and
// for maintenance windows.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

// The clocks of the operating system. Thread-safe.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

// A clock that advances only on request, for tests and measurements in virtual
// time. Not thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
  // Advances both the steady and the wall clock.
  void Advance(Duration by);
  // Changes only the wall clock, as an operator or a time server can.
  void StepWall(std::chrono::seconds by);

 private:
  TimePoint m_now{std::chrono::hours(1)};
  WallTime m_wall{std::chrono::hours(24 * 365 * 50)};
};

// Formats a time as RFC 3339 in UTC with milliseconds, such as
// 1970-01-01T00:00:01.500Z.
std::string FormatWallTime(WallTime time);

// Converts a duration to whole milliseconds, rounded towards zero.
constexpr std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace cassiastile::base
