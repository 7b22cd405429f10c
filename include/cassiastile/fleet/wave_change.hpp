#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiastile/base/error.hpp"
#include "cassiastile/fleet/change.hpp"

namespace cassiastile::fleet {

// An operator's action on a wave.
enum class WaveAction : std::uint8_t {
  kStart,   // Starts a new run over all hosts.
  kPause,   // Drains no more hosts; those already out are finished.
  kResume,  // Continues after a pause or halt and accepts the failures so far.
  kAbort,   // Ends the run; hosts that still drain are undrained.
};

std::string_view NameOf(WaveAction action);
std::optional<WaveAction> FindWaveAction(std::string_view name);

// The change to a wave's row that applies an operator's action. kConflict if
// the wave's state does not allow the action; the message names that state.
base::Result<Change> TransitionWave(const ChangeContext& context,
                                    const Stored<WaveRecord>& wave,
                                    WaveAction action);

// Finishes a running wave whose hosts are all maintained or left out.
Change FinishWave(const ChangeContext& context,
                  const Stored<WaveRecord>& wave,
                  std::string detail);

}  // namespace cassiastile::fleet
