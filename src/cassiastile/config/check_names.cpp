#include "check_context.hpp"

namespace cassiastile::config {

namespace {

// Collects the names of a section's rows and reports duplicates.
template <typename Row>
NameTable CollectNames(CheckContext& context,
                       SectionName section,
                       const std::vector<Row>& rows,
                       std::string Row::*member,
                       std::string_view field) {
  NameTable names(section);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    names.Add(context, rows[i].*member, RowPath(section, i, field));
  }
  return names;
}

// Reports each row that refers to a name that doesn't exist.
template <typename Row>
void RequireNames(CheckContext& context,
                  SectionName section,
                  const std::vector<Row>& rows,
                  std::string Row::*member,
                  std::string_view field,
                  const NameTable& names) {
  for (std::size_t i = 0; i < rows.size(); ++i) {
    names.Require(context, rows[i].*member, RowPath(section, i, field), field);
  }
}

std::string HostPath(std::size_t pool,
                     std::size_t host,
                     std::string_view field) {
  return fmt::format("pools[{}].hosts[{}].{}", pool, host, field);
}

void CheckHostNames(const Fleet& fleet, CheckContext& context) {
  std::unordered_map<std::string, std::size_t> pool_of;
  for (std::size_t i = 0; i < fleet.pools.size(); ++i) {
    const std::vector<Host>& hosts = fleet.pools[i].hosts;
    for (std::size_t j = 0; j < hosts.size(); ++j) {
      const auto [found, is_new] = pool_of.emplace(hosts[j].name, i);
      if (is_new || hosts[j].name.empty()) {
        continue;
      }
      const std::string& other = fleet.pools[found->second].name;
      context.Report(
          HostPath(i, j, "name"),
          found->second == i
              ? fmt::format("host \"{}\" is listed twice in this pool; keep "
                            "one",
                            hosts[j].name)
              : fmt::format("host \"{}\" is in pool \"{}\" already; a host "
                            "belongs to one pool",
                            hosts[j].name, other));
    }
  }
}

void CheckHostZones(const Fleet& fleet,
                    CheckContext& context,
                    const NameTable& zones) {
  std::unordered_map<std::string, std::string> zone_of_rack;
  for (std::size_t i = 0; i < fleet.pools.size(); ++i) {
    const std::vector<Host>& hosts = fleet.pools[i].hosts;
    for (std::size_t j = 0; j < hosts.size(); ++j) {
      zones.Require(context, hosts[j].zone, HostPath(i, j, "zone"), "zone");
      const auto found = zone_of_rack.emplace(hosts[j].rack, hosts[j].zone);
      if (!hosts[j].rack.empty() && found.first->second != hosts[j].zone) {
        context.Report(
            HostPath(i, j, "rack"),
            fmt::format("rack \"{}\" stands in zone \"{}\" already; a rack "
                        "stands in one zone",
                        hosts[j].rack, found.first->second));
      }
    }
  }
}

void CheckTeamReferences(const Fleet& fleet, CheckContext& context) {
  using enum SectionName;
  const NameTable teams =
      CollectNames(context, kTeams, fleet.teams, &Team::name, "name");
  RequireNames(context, kQueues, fleet.queues, &Queue::team, "team", teams);
  RequireNames(context, kKeys, fleet.keys, &Key::team, "team", teams);
  RequireNames(context, kShares, fleet.shares, &Share::team, "team", teams);
  RequireNames(context, kLimits, fleet.limits, &Limit::team, "team", teams);
  CollectNames(context, kKeys, fleet.keys, &Key::id, "id");
  CollectNames(context, kShares, fleet.shares, &Share::team, "team");
  CollectNames(context, kLimits, fleet.limits, &Limit::team, "team");
}

void CheckPoolReferences(const Fleet& fleet, CheckContext& context) {
  using enum SectionName;
  const NameTable pools =
      CollectNames(context, kPools, fleet.pools, &Pool::name, "name");
  RequireNames(context, kServices, fleet.services, &Service::pool, "pool",
               pools);
  RequireNames(context, kQueues, fleet.queues, &Queue::pool, "pool", pools);
  for (std::size_t i = 0; i < fleet.waves.size(); ++i) {
    const std::vector<std::string>& covered = fleet.waves[i].pools;
    NameTable listed(SectionName::kPools);
    for (std::size_t j = 0; j < covered.size(); ++j) {
      const std::string path = fmt::format("waves[{}].pools[{}]", i, j);
      pools.Require(context, covered[j], path, "pool");
      listed.Add(context, covered[j], path);
    }
  }
}

}  // namespace

void CheckNames(const Fleet& fleet, CheckContext& context) {
  using enum SectionName;
  const NameTable operators = CollectNames(context, kOperators, fleet.operators,
                                           &Operator::name, "name");
  RequireNames(context, kOwnership, fleet.ownership, &Ownership::owner, "owner",
               operators);
  const NameTable zones =
      CollectNames(context, kZones, fleet.zones, &Zone::name, "name");
  CheckHostNames(fleet, context);
  CheckHostZones(fleet, context, zones);
  CheckPoolReferences(fleet, context);
  CheckTeamReferences(fleet, context);
  CollectNames(context, kServices, fleet.services, &Service::name, "name");
  CollectNames(context, kQueues, fleet.queues, &Queue::name, "name");
  CollectNames(context, kWaves, fleet.waves, &Wave::name, "name");
}

}  // namespace cassiastile::config
