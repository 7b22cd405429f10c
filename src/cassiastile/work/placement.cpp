#include "cassiastile/work/placement.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <tuple>

namespace cassiastile::work {

namespace {

std::uint32_t CountIn(const std::vector<std::uint32_t>& counts,
                      std::size_t index) {
  return index < counts.size() ? counts[index] : 0;
}

bool EndsBeforeDrain(const PlacementHost& host,
                     const PlacementRequest& request,
                     base::TimePoint now) {
  if (!host.drain_expected) {
    return true;
  }
  const std::chrono::duration<double> left = *host.drain_expected - now;
  return left.count() >= request.seconds_upper;
}

// The lowest is best: the number of the team's tasks in the host's zone, that
// in its rack, and the largest fraction of any resource that would stay free.
using Score = std::tuple<std::uint32_t, std::uint32_t, double>;

Score ScoreOf(const PlacementHost& host, const PlacementRequest& request) {
  const Resources left = host.capacity - host.placed - request.size;
  const double free_share = DominantShare(left, host.capacity);
  if (request.spread == nullptr) {
    return {0, 0, free_share};
  }
  return {CountIn(request.spread->zones, host.zone),
          CountIn(request.spread->racks, host.rack), free_share};
}

}  // namespace

bool MayPlace(const PlacementHost& host,
              const PlacementRequest& request,
              base::TimePoint now) {
  if (!host.open || (host.idempotent_only && !request.idempotent)) {
    return false;
  }
  const bool reserved_for_others =
      host.reserved && (host.reserved_for_team.empty() ||
                        host.reserved_for_team != request.team);
  if (reserved_for_others && !request.urgent) {
    return false;
  }
  const Resources free = host.capacity - host.placed;
  if (!Fits(request.size, request.urgent ? free : free - host.reserve)) {
    return false;
  }
  if (!EndsBeforeDrain(host, request, now)) {
    return false;
  }
  return std::find(request.excluded_workers.begin(),
                   request.excluded_workers.end(),
                   host.name) == request.excluded_workers.end();
}

std::optional<std::size_t> PickHost(const std::vector<PlacementHost>& hosts,
                                    const PlacementRequest& request,
                                    base::TimePoint now) {
  std::optional<std::size_t> best;
  Score best_score;
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    if (!MayPlace(hosts[index], request, now)) {
      continue;
    }
    const Score score = ScoreOf(hosts[index], request);
    if (!best || score < best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

double SpreadReserve(std::vector<PlacementHost>& hosts,
                     double cores,
                     const Resources& piece) {
  std::map<std::size_t, std::uint32_t> in_zone;
  double reserved = 0;
  for (PlacementHost& host : hosts) {
    host.reserve = {};
  }
  while (reserved < cores) {
    PlacementHost* next = nullptr;
    for (PlacementHost& host : hosts) {
      const bool usable = host.open && !host.idempotent_only &&
                          host.reserve == Resources{} &&
                          Fits(piece, host.capacity);
      if (usable &&
          (next == nullptr || in_zone[host.zone] < in_zone[next->zone])) {
        next = &host;
      }
    }
    if (next == nullptr) {
      break;
    }
    next->reserve = piece;
    ++in_zone[next->zone];
    reserved += piece.cores;
  }
  return reserved;
}

}  // namespace cassiastile::work
