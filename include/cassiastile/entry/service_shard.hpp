#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/entry/credit_account.hpp"
#include "cassiastile/work/request_dispatcher.hpp"

namespace cassiastile::entry {

struct ServiceShardOptions {
  work::DispatcherOptions dispatcher;
  work::HolderName holder;
  std::uint32_t slots_per_runner = 8;
  // How long a peak of demand is remembered.
  base::Duration demand_window = std::chrono::seconds(5);
};

// What carries out the decisions. Called without the shard's lock, from the
// thread that brought the decision about; must not block.
struct ServiceShardHooks {
  std::function<void(const work::SendTry&)> send;
  std::function<void(const work::SendProbe&)> probe;
  std::function<void(work::FinishRequest)> finish;
};

// The requests of one service on this host, under a lock of their own. Spends
// the credits for the slots of the service's runners.
class ServiceShard final : public CreditConsumer {
 public:
  ServiceShard(ServiceShardOptions options,
               ServiceShardHooks hooks,
               std::uint64_t seed);

  void Arrive(const work::RequestTicket& ticket, base::TimePoint now);
  std::optional<work::NotRun> Preview(const work::RequestTicket& ticket,
                                      base::TimePoint now);
  void EndTry(work::TryId try_id, work::TryResult result, base::TimePoint now);
  void EndProbe(const std::string& runner, bool healthy, base::TimePoint now);
  void Tick(base::TimePoint now);
  void SetRunners(const std::vector<work::ListedRunner>& listed,
                  base::TimePoint now);
  void SetSlotsPerRunner(std::uint32_t slots);
  void RefuseInvalidKeys(const std::set<std::string>& valid_keys,
                         work::RefusalReason reason);

  CreditNeeds Needs(const work::LedgerRow& row, base::TimePoint now) override;
  Grants Allow(const Grants& grants, base::TimePoint now) override;

  // Whether requests wait while this host holds too few slots.
  bool LacksSlots() const;

  // What teams want and have running here, by team.
  std::map<std::string, std::uint32_t> TeamDemand(base::TimePoint now);
  // Sets one team's terms; `decide` is given what the team has running.
  using TermsDecision = std::function<work::TeamQuota(std::uint32_t running)>;
  void DecideTerms(const std::string& team, const TermsDecision& decide);

  struct Stats {
    std::size_t waiting = 0;
    std::size_t unfinished = 0;
    std::uint32_t slots = 0;
    std::uint32_t in_use = 0;
    std::uint32_t ejected = 0;
  };
  Stats ReadStats() const;

 private:
  void CarryOut(work::RequestActions actions);
  void NoteDemand(base::TimePoint now);

  ServiceShardOptions m_options;
  ServiceShardHooks m_hooks;

  mutable std::mutex m_mutex;
  work::RequestDispatcher m_dispatcher;
  PeakWindow m_peak;
  std::map<std::string, PeakWindow> m_team_peaks;
};

}  // namespace cassiastile::entry
