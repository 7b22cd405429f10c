#pragma once

#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::host {

// What a host knows of a leader that it does not hear.
struct LeaderSigns {
  // How long ago the leader's record was first read as it is now.
  base::Duration record_unchanged{};
  // Since the leader was last heard, by this host.
  base::Duration silence{};
  // The same as live peers have just told, for the same leader.
  std::vector<base::Duration> peer_silences;
};

// Whether another host should take over without having been asked to. The
// leader rewrites its record twice a second, so a record that has not changed
// for 1.8 s suffices. Where two thirds of at least three peers do not hear it
// either, 0.7 s do: a host that is dead, stands still or is cut off costs its
// callers a second less. A leader that one host alone can't reach stays, and
// so does one that still writes. Takeovers are safe at any time; one too many
// costs about half a second of starts.
bool IsLeaderLost(const LeaderSigns& signs);

}  // namespace cassiastile::host
