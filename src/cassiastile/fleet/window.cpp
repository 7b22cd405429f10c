#include "cassiastile/fleet/window.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace cassiastile::fleet {

namespace {

constexpr std::uint32_t kMinutesPerDay = 24 * 60;
constexpr std::uint32_t kMinutesPerHour = 60;

bool AlwaysOpen(const config::Window& window) {
  return window.start_minute == window.end_minute;
}

base::WallTime StartOfDay(base::WallTime time) {
  return std::chrono::floor<std::chrono::days>(time);
}

// How many batches can start one after another from `start` until the window
// closes.
std::uint64_t BatchesUntilClose(const config::Window& window,
                                base::WallTime start,
                                std::chrono::seconds batch_time) {
  const std::uint32_t left =
      (window.end_minute + kMinutesPerDay - MinuteOfDay(start)) %
      kMinutesPerDay;
  const std::chrono::seconds open = std::chrono::minutes(left);
  return static_cast<std::uint64_t>(
      (open + batch_time - std::chrono::seconds(1)) / batch_time);
}

}  // namespace

std::uint32_t MinuteOfDay(base::WallTime time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::minutes>(time - StartOfDay(time))
          .count());
}

bool IsOpen(const config::Window& window, base::WallTime time) {
  if (AlwaysOpen(window)) {
    return true;
  }
  const std::uint32_t minute = MinuteOfDay(time);
  if (window.start_minute < window.end_minute) {
    return minute >= window.start_minute && minute < window.end_minute;
  }
  return minute >= window.start_minute || minute < window.end_minute;
}

base::WallTime NextOpening(const config::Window& window, base::WallTime time) {
  if (IsOpen(window, time)) {
    return time;
  }
  const base::WallTime today =
      StartOfDay(time) + std::chrono::minutes(window.start_minute);
  return today >= time ? today : today + std::chrono::days(1);
}

std::chrono::minutes OpenTimePerDay(const config::Window& window) {
  if (AlwaysOpen(window)) {
    return std::chrono::minutes(kMinutesPerDay);
  }
  return std::chrono::minutes(
      (window.end_minute + kMinutesPerDay - window.start_minute) %
      kMinutesPerDay);
}

base::WallTime FinishOfBatches(const config::Window& window,
                               base::WallTime start,
                               std::uint64_t batches,
                               std::chrono::seconds batch_time) {
  const auto step = std::max(batch_time, std::chrono::seconds(1));
  if (AlwaysOpen(window)) {
    return start + batches * step;
  }
  base::WallTime time = start;
  while (batches > 0) {
    time = NextOpening(window, time);
    const std::uint64_t now = std::clamp<std::uint64_t>(
        BatchesUntilClose(window, time, step), 1, batches);
    time += now * step;
    batches -= now;
  }
  return time;
}

std::string Describe(const config::Window& window) {
  if (AlwaysOpen(window)) {
    return "at all hours";
  }
  return fmt::format(
      "{:02}:{:02}-{:02}:{:02} UTC", window.start_minute / kMinutesPerHour,
      window.start_minute % kMinutesPerHour,
      window.end_minute / kMinutesPerHour, window.end_minute % kMinutesPerHour);
}

}  // namespace cassiastile::fleet
