#include <cstdint>

#include "check_context.hpp"

namespace cassiastile::config {

namespace {

constexpr std::size_t kDigestLength = 64;

std::uint64_t TotalSlots(const Fleet& fleet) {
  std::uint64_t slots = 0;
  for (const Service& service : fleet.services) {
    slots += std::uint64_t{service.runners} * service.slots_per_runner;
  }
  return slots;
}

std::uint64_t TotalWeight(const Fleet& fleet) {
  std::uint64_t weights = 0;
  for (const Share& share : fleet.shares) {
    weights += share.weight;
  }
  return weights;
}

bool HasFaultyWeight(const Fleet& fleet, const CheckContext& context) {
  for (std::size_t i = 0; i < fleet.shares.size(); ++i) {
    if (context.HasFieldFinding(RowPath(SectionName::kShares, i, "weight"))) {
      return true;
    }
  }
  return false;
}

void CheckLimit(const Fleet& fleet, std::size_t row, CheckContext& context) {
  const Limit& limit = fleet.limits[row];
  const Share* share = FindShare(fleet, limit.team);
  const std::uint64_t weights = TotalWeight(fleet);
  if (share == nullptr || HasFaultyWeight(fleet, context)) {
    return;
  }
  const std::uint64_t slots = TotalSlots(fleet);
  const std::uint64_t fair_share = slots * share->weight / weights;
  if (limit.requests < fair_share) {
    context.Report(
        RowPath(SectionName::kLimits, row, "requests"),
        fmt::format("is {}, below the {} of {} slots that are the share of "
                    "team \"{}\"; raise it to {} or lower the weight",
                    limit.requests, fair_share, slots, limit.team, fair_share));
  }
}

void CheckTasksAllowed(const Fleet& fleet, CheckContext& context) {
  for (std::size_t i = 0; i < fleet.queues.size(); ++i) {
    const Limit* limit = FindLimit(fleet, fleet.queues[i].team);
    if (limit != nullptr && limit->tasks == 0 &&
        !context.HasFieldFinding(RowPath(
            SectionName::kLimits, limit - fleet.limits.data(), "tasks"))) {
      context.Report(RowPath(SectionName::kQueues, i, "team"),
                     fmt::format("team \"{}\" has a limit of 0 tasks, so this "
                                 "queue could never run any; raise it",
                                 fleet.queues[i].team));
    }
  }
}

bool IsDigest(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  return text.size() == kDigestLength &&
         text.find_first_not_of(kDigits) == std::string_view::npos;
}

// The path at which each digest was first seen.
using DigestPaths = std::unordered_map<std::string, std::string>;

void CheckDigest(const std::string& digest,
                 const std::string& path,
                 DigestPaths& seen,
                 CheckContext& context) {
  if (digest.empty()) {
    return;
  }
  if (!IsDigest(digest)) {
    context.Report(path, fmt::format("must be the SHA-256 of the key as {} "
                                     "lower-case hexadecimal digits",
                                     kDigestLength));
    return;
  }
  const auto [found, is_new] = seen.emplace(digest, path);
  if (!is_new) {
    context.Report(path, fmt::format("is the same key as at {}; each key is "
                                     "given to one holder",
                                     found->second));
  }
}

}  // namespace

void CheckServices(const Fleet& fleet, CheckContext& context) {
  for (std::size_t i = 0; i < fleet.services.size(); ++i) {
    const Service& service = fleet.services[i];
    const Pool* pool = FindPool(fleet, service.pool);
    if (pool != nullptr && pool->spare) {
      context.Report(RowPath(SectionName::kServices, i, "pool"),
                     fmt::format("\"{}\" is the spare pool; a service needs a "
                                 "pool of its own kind",
                                 service.pool));
    }
    if (service.connections_per_runner < service.slots_per_runner) {
      context.Report(
          RowPath(SectionName::kServices, i, "connections_per_runner"),
          fmt::format("is {}, but {} slots need as many connections, as each "
                      "carries one request at a time",
                      service.connections_per_runner,
                      service.slots_per_runner));
    }
  }
  for (std::size_t i = 0; i < fleet.queues.size(); ++i) {
    const Pool* pool = FindPool(fleet, fleet.queues[i].pool);
    if (pool != nullptr && pool->spare) {
      context.Report(RowPath(SectionName::kQueues, i, "pool"),
                     fmt::format("\"{}\" is the spare pool; a queue needs "
                                 "another",
                                 fleet.queues[i].pool));
    }
  }
}

void CheckTeams(const Fleet& fleet, CheckContext& context) {
  for (std::size_t i = 0; i < fleet.teams.size(); ++i) {
    const std::string& team = fleet.teams[i].name;
    const std::string path = RowPath(SectionName::kTeams, i, "name");
    if (!team.empty() && context.HasSectionList(SectionName::kShares) &&
        FindShare(fleet, team) == nullptr) {
      context.Report(path, fmt::format("team \"{}\" has no share; add a row to "
                                       "shares",
                                       team));
    }
    if (!team.empty() && context.HasSectionList(SectionName::kLimits) &&
        FindLimit(fleet, team) == nullptr) {
      context.Report(path, fmt::format("team \"{}\" has no limit; add a row to "
                                       "limits",
                                       team));
    }
  }
  for (std::size_t i = 0; i < fleet.limits.size(); ++i) {
    CheckLimit(fleet, i, context);
  }
  CheckTasksAllowed(fleet, context);
}

void CheckDigests(const Fleet& fleet, CheckContext& context) {
  DigestPaths seen;
  for (std::size_t i = 0; i < fleet.operators.size(); ++i) {
    CheckDigest(fleet.operators[i].key_sha256,
                RowPath(SectionName::kOperators, i, "key_sha256"), seen,
                context);
  }
  for (std::size_t i = 0; i < fleet.keys.size(); ++i) {
    CheckDigest(fleet.keys[i].sha256, RowPath(SectionName::kKeys, i, "sha256"),
                seen, context);
  }
}

}  // namespace cassiastile::config
