#include "cassiastile/fleet/fleet_index.hpp"

#include "cassiastile/fleet/wave_plan.hpp"

namespace cassiastile::fleet {

FleetIndex MakeFleetIndex(const config::Fleet& fleet) {
  FleetIndex index;
  std::size_t position = 0;
  for (const config::Pool& pool : fleet.pools) {
    index.pools.emplace(pool.name, &pool);
    for (const config::Host& host : pool.hosts) {
      index.hosts.emplace(host.name, DeclaredHost{&pool, &host, position});
      index.racks[RackKey(host)].push_back(host.name);
      ++position;
    }
  }
  return index;
}

const config::Pool* FindPool(const FleetIndex& index, const std::string& pool) {
  const auto found = index.pools.find(pool);
  return found == index.pools.end() ? nullptr : found->second;
}

const DeclaredHost* FindHost(const FleetIndex& index, const std::string& host) {
  const auto found = index.hosts.find(host);
  return found == index.hosts.end() ? nullptr : &found->second;
}

}  // namespace cassiastile::fleet
