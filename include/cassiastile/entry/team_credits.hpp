#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/entry/credit_account.hpp"
#include "cassiastile/entry/service_shard.hpp"

namespace cassiastile::entry {

// A service's name and its shard on this host.
using NamedShard = std::pair<std::string, std::shared_ptr<ServiceShard>>;
// Lists the shards of all services on this host. TeamCredits calls it
// under its lock, so it must not call TeamCredits.
using ShardLister = std::function<std::vector<NamedShard>()>;

// Consumes the credits for teams' request limits: splits what this host was
// granted for each team among its services, and sets the weight of each team.
class TeamCredits final : public CreditConsumer {
 public:
  // The source must outlive this object.
  TeamCredits(const config::FleetSource& source, ShardLister list_shards);

  CreditNeeds Needs(const work::LedgerRow& row, base::TimePoint now) override;
  Grants ApplyGrants(const Grants& grants, base::TimePoint now) override;

  // Sets the quotas of all teams again, after a change of the fleet document or
  // a new service.
  void Refresh();

 private:
  using Demands = std::map<std::string, std::map<std::string, std::uint32_t>>;

  // These need m_mutex held.
  Grants ApplyGrantsLocked(const Grants& grants);
  std::uint32_t SplitAmongServicesLocked(const std::string& team,
                                         std::uint32_t weight,
                                         std::uint32_t granted);

  const config::FleetSource& m_source;
  ShardLister m_list_shards;
  std::mutex m_mutex;
  // By team; the holders in these ledgers are the services, by name.
  std::map<std::string, work::Ledger> m_split;
  std::map<std::string, std::uint32_t> m_running;  // Requests, by team.
  Grants m_granted;   // The grants of the last ApplyGrants.
  Demands m_demands;  // By team and service.
};

}  // namespace cassiastile::entry
