#pragma once

#include <cstdint>
#include <string>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/config/fleet.hpp"

namespace cassiastile::fleet {

// Minutes since midnight UTC.
std::uint32_t MinuteOfDay(base::WallTime time);

// Whether a wave may drain hosts at the given time. A window whose start and
// end are the same is always open.
bool IsOpen(const config::Window& window, base::WallTime time);

// The given time if the window is open then, else the next opening.
base::WallTime NextOpening(const config::Window& window, base::WallTime time);

// How long the window is open each day.
std::chrono::minutes OpenTimePerDay(const config::Window& window);

// When the last of `batches` consecutive batches ends, if each takes
// `batch_time` and starts while the window is open.
base::WallTime FinishOfBatches(const config::Window& window,
                               base::WallTime start,
                               std::uint64_t batches,
                               std::chrono::seconds batch_time);

// "22:00-04:00 UTC", or "at all hours".
std::string Describe(const config::Window& window);

}  // namespace cassiastile::fleet
