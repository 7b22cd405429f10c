#include <algorithm>
#include <map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/config/diff.hpp"

namespace cassiastile::config {

namespace {

// Maps each host to its pool, ordered by host name.
std::map<std::string, std::string> PoolsOfHosts(const Fleet& fleet) {
  std::map<std::string, std::string> pools;
  for (const Pool& pool : fleet.pools) {
    for (const Host& host : pool.hosts) {
      pools.emplace(host.name, pool.name);
    }
  }
  return pools;
}

std::string PoolOf(const std::map<std::string, std::string>& pools,
                   const std::string& host) {
  const auto found = pools.find(host);
  return found == pools.end() ? "" : found->second;
}

std::vector<HostMove> CompareHosts(const Fleet& before, const Fleet& after) {
  const auto old_pools = PoolsOfHosts(before);
  const auto new_pools = PoolsOfHosts(after);
  std::vector<HostMove> moves;
  for (const auto& [host, from] : old_pools) {
    const std::string to = PoolOf(new_pools, host);
    if (to != from) {
      moves.push_back({host, from, to});
    }
  }
  for (const auto& [host, to] : new_pools) {
    if (!old_pools.contains(host)) {
      moves.push_back({host, "", to});
    }
  }
  return moves;
}

// Returns the names of the `rows` that have no row of the same name in
// `others`.
template <typename Row>
std::vector<std::string> FindMissingNames(const std::vector<Row>& rows,
                                          const std::vector<Row>& others,
                                          std::string Row::*member) {
  std::vector<std::string> names;
  for (const Row& row : rows) {
    const bool found = std::any_of(
        others.begin(), others.end(),
        [&](const Row& other) { return other.*member == row.*member; });
    if (!found) {
      names.push_back(row.*member);
    }
  }
  return names;
}

// Returns the ids of the keys in `rows` that `others` lacks with the same team
// and digest.
std::vector<std::string> FindMissingKeys(const std::vector<Key>& rows,
                                         const std::vector<Key>& others) {
  std::vector<std::string> ids;
  for (const Key& row : rows) {
    const bool found =
        std::any_of(others.begin(), others.end(), [&row](const Key& other) {
          return other.id == row.id && other.team == row.team &&
                 other.sha256 == row.sha256;
        });
    if (!found) {
      ids.push_back(row.id);
    }
  }
  return ids;
}

LimitChange CompareLimit(const Limit& before, const Limit& after) {
  return {after.team.empty() ? before.team : after.team, before.requests,
          after.requests, before.tasks, after.tasks};
}

std::vector<LimitChange> CompareLimits(const Fleet& before,
                                       const Fleet& after) {
  std::vector<LimitChange> changes;
  for (const Limit& limit : after.limits) {
    const Limit* old_limit = FindLimit(before, limit.team);
    const Limit known = old_limit == nullptr ? Limit{} : *old_limit;
    if (known.requests != limit.requests || known.tasks != limit.tasks) {
      changes.push_back(CompareLimit(known, limit));
    }
  }
  for (const Limit& limit : before.limits) {
    if (FindLimit(after, limit.team) == nullptr) {
      changes.push_back(CompareLimit(limit, Limit{}));
    }
  }
  return changes;
}

std::vector<std::string> TeamsOverLimit(const Fleet& after,
                                        const std::vector<TeamUsage>& usage) {
  std::vector<std::string> teams;
  for (const TeamUsage& row : usage) {
    const Limit* limit = FindLimit(after, row.team);
    const Limit known = limit == nullptr ? Limit{} : *limit;
    if (row.requests > known.requests || row.tasks > known.tasks) {
      teams.push_back(row.team);
    }
  }
  return teams;
}

std::string DescribeMove(const HostMove& move) {
  if (move.from.empty()) {
    return fmt::format("host {} is new in pool {}\n", move.host, move.to);
  }
  if (move.to.empty()) {
    return fmt::format("host {} leaves pool {} and the fleet\n", move.host,
                       move.from);
  }
  return fmt::format("host {} moves from pool {} to {}\n", move.host, move.from,
                     move.to);
}

std::string DescribeLimit(const LimitChange& change) {
  return fmt::format("limit of team {}: requests {} -> {}, tasks {} -> {}\n",
                     change.team, change.requests_before, change.requests_after,
                     change.tasks_before, change.tasks_after);
}

std::string DescribeNames(std::string_view subject,
                          const std::vector<std::string>& names,
                          std::string_view predicate) {
  std::string text;
  for (const std::string& name : names) {
    text += fmt::format("{} {} {}\n", subject, name, predicate);
  }
  return text;
}

}  // namespace

FleetChange CompareFleets(const Fleet& before,
                          const Fleet& after,
                          const std::vector<TeamUsage>& usage) {
  FleetChange change;
  change.hosts = CompareHosts(before, after);
  change.keys_gone = FindMissingKeys(before.keys, after.keys);
  change.keys_new = FindMissingKeys(after.keys, before.keys);
  change.teams_gone = FindMissingNames(before.teams, after.teams, &Team::name);
  change.queues_gone =
      FindMissingNames(before.queues, after.queues, &Queue::name);
  change.limits = CompareLimits(before, after);
  change.waves_new = FindMissingNames(after.waves, before.waves, &Wave::name);
  change.waves_gone = FindMissingNames(before.waves, after.waves, &Wave::name);
  change.teams_over_limit = TeamsOverLimit(after, usage);
  return change;
}

nlohmann::json ToJson(const FleetChange& change) {
  nlohmann::json hosts = nlohmann::json::array();
  for (const HostMove& move : change.hosts) {
    hosts.push_back(
        {{"host", move.host}, {"from", move.from}, {"to", move.to}});
  }
  nlohmann::json limits = nlohmann::json::array();
  for (const LimitChange& limit : change.limits) {
    limits.push_back({{"team", limit.team},
                      {"requests_before", limit.requests_before},
                      {"requests_after", limit.requests_after},
                      {"tasks_before", limit.tasks_before},
                      {"tasks_after", limit.tasks_after}});
  }
  return {{"hosts", hosts},
          {"keys_gone", change.keys_gone},
          {"keys_new", change.keys_new},
          {"teams_gone", change.teams_gone},
          {"queues_gone", change.queues_gone},
          {"limits", limits},
          {"waves_new", change.waves_new},
          {"waves_gone", change.waves_gone},
          {"teams_over_limit", change.teams_over_limit}};
}

std::string DescribeChange(const FleetChange& change) {
  std::string text;
  for (const HostMove& move : change.hosts) {
    text += DescribeMove(move);
  }
  text += DescribeNames("key", change.keys_gone, "stops working");
  text += DescribeNames("key", change.keys_new, "starts to work");
  text += DescribeNames("team", change.teams_gone, "is gone");
  text += DescribeNames("queue", change.queues_gone, "is gone");
  for (const LimitChange& limit : change.limits) {
    text += DescribeLimit(limit);
  }
  text += DescribeNames("wave", change.waves_new, "is new");
  text += DescribeNames("wave", change.waves_gone, "is gone");
  text += DescribeNames("team", change.teams_over_limit,
                        "has more running than its new limit");
  return text.empty() ? "no host, key, team, queue, limit or wave changes\n"
                      : text;
}

}  // namespace cassiastile::config
