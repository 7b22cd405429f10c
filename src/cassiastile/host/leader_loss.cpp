#include "cassiastile/host/leader_loss.hpp"

#include <algorithm>

namespace cassiastile::host {

namespace {

constexpr std::chrono::milliseconds kRecordTimeout{1800};
// The leader's pause between two records, with a commit that takes 50 times as
// long as usual.
constexpr std::chrono::milliseconds kConfirmedRecordTimeout{700};
// Each host hears the leader twice a second.
constexpr std::chrono::milliseconds kSilent{600};
// Peers tell their silence up to one round of gossip earlier.
constexpr std::chrono::milliseconds kPeerSilent{500};
constexpr std::size_t kMinPeers = 3;

}  // namespace

bool IsLeaderLost(const LeaderSigns& signs) {
  if (signs.record_unchanged > kRecordTimeout) {
    return true;
  }
  const auto silent = static_cast<std::size_t>(std::ranges::count_if(
      signs.peer_silences,
      [](base::Duration silence) { return silence > kPeerSilent; }));
  return signs.record_unchanged > kConfirmedRecordTimeout &&
         signs.silence > kSilent && signs.peer_silences.size() >= kMinPeers &&
         3 * silent >= 2 * signs.peer_silences.size();
}

}  // namespace cassiastile::host
