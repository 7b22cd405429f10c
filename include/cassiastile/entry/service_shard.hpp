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

// Settings of a service's shard.
struct ServiceShardOptions {
  work::RequestDispatcherOptions dispatcher;
  work::HolderName holder;
  std::uint32_t slots_per_runner = 8;
  // How long a demand peak is remembered.
  base::Duration demand_window = std::chrono::seconds(5);
};

// Callbacks that carry out the decisions of the dispatcher. They run without
// the shard's lock, on the thread that caused the decision, and must not block.
struct ServiceShardHooks {
  std::function<void(const work::SendTry&)> send;
  std::function<void(const work::SendProbe&)> probe;
  std::function<void(work::FinishRequest)> finish;
};

// The requests of one service on this host, guarded by its own lock. Consumes
// the credits for the slots of the service's runners.
class ServiceShard final : public CreditConsumer {
 public:
  ServiceShard(ServiceShardOptions options,
               ServiceShardHooks hooks,
               std::uint64_t seed);

  // Adds a request that has arrived.
  void Arrive(const work::RequestTicket& ticket, base::TimePoint now);
  // The refusal that a request arriving now would get, or nothing.
  std::optional<work::NotRun> Preview(const work::RequestTicket& ticket,
                                      base::TimePoint now);
  // Records how an attempt to run a request on a runner ended.
  void EndTry(work::TryId try_id, work::TryResult result, base::TimePoint now);
  // Records the result of a runner's health probe.
  void EndProbe(const std::string& runner, bool healthy, base::TimePoint now);
  // Handles all that is due by time, such as timeouts, probes and hedging. Must
  // be called every few tens of milliseconds.
  void Tick(base::TimePoint now);
  // Sets the listed runners; one that is missing gets no new requests.
  void SetRunners(const std::vector<work::ListedRunner>& listed,
                  base::TimePoint now);
  // Sets the capacity of each runner, in requests at once.
  void SetSlotsPerRunner(std::uint32_t slots);
  // Refuses the waiting requests whose key is not one of these.
  void RefuseInvalidKeys(const std::set<std::string>& valid_keys,
                         work::RefusalReason reason);

  CreditNeeds Needs(const work::LedgerRow& row, base::TimePoint now) override;
  Grants ApplyGrants(const Grants& grants, base::TimePoint now) override;

  // Whether requests wait for slots on this host.
  bool HasWaitingRequests() const;

  // The recent peak of requests that wait or run here, by team.
  std::map<std::string, std::uint32_t> TeamDemand(base::TimePoint now);
  // Sets one team's quota; `decide` is given how many of its requests run. It
  // is called under the shard's lock, so it must not call the shard.
  using QuotaDecision = std::function<work::TeamQuota(std::uint32_t running)>;
  void UpdateQuota(const std::string& team, const QuotaDecision& decide);

  // Counts for metrics and decision records.
  struct Stats {
    std::size_t waiting = 0;
    std::size_t unfinished = 0;
    std::uint32_t slots = 0;  // Granted to this host.
    std::uint32_t in_use = 0;
    std::uint32_t ejected = 0;  // Runners that are not healthy.
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
