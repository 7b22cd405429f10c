#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiastile/base/error.hpp"
#include "cassiastile/fleet/change.hpp"

namespace cassiastile::fleet {

// What an operator does to a wave.
enum class WaveAction : std::uint8_t {
  kStart,   // Begins a new run over all hosts.
  kPause,   // Takes no more; what is out is finished.
  kResume,  // Goes on after a pause or a halt, accepting the failures so far.
  kAbort,   // Ends the run; hosts that still drain are given back.
};

std::string_view NameOf(WaveAction act);
std::optional<WaveAction> FindWaveAction(std::string_view name);

// The change of a wave's row by an operator. kConflict when the wave is in no
// state for the act; the sentence says what would be.
base::Result<Change> TransitionWave(const ChangeContext& context,
                                    const Stored<WaveRecord>& wave,
                                    WaveAction act);

// Ends a running wave whose hosts are all done or left out.
Change FinishWave(const ChangeContext& context,
                  const Stored<WaveRecord>& wave,
                  std::string detail);

}  // namespace cassiastile::fleet
