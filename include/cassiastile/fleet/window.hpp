#pragma once

#include <cstdint>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::fleet {

// Minutes of UTC since midnight.
std::uint32_t MinuteOfDay(base::WallTime time);

// Whether a wave may take hosts at the time.
bool IsOpen(const config::Window& window, base::WallTime time);

// The time itself when the window is open, else when it opens next.
base::WallTime NextOpening(const config::Window& window, base::WallTime time);

// How long the window is open each day.
std::chrono::minutes OpenTimePerDay(const config::Window& window);

// When the last of `batches` has ended, each taking `service` and starting in
// the window, one after another.
base::WallTime FinishOfBatches(const config::Window& window,
                               base::WallTime start,
                               std::uint64_t batches,
                               std::chrono::seconds service);

// "22:00-04:00 UTC", or "at all hours".
std::string Describe(const config::Window& window);

}  // namespace cassiastile::fleet
