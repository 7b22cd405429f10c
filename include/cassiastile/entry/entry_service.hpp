#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/decision.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/entry/claim_store.hpp"
#include "cassiastile/entry/holder_watch.hpp"
#include "cassiastile/entry/request_validation.hpp"
#include "cassiastile/entry/service_gateway.hpp"
#include "cassiastile/entry/team_credits.hpp"
#include "cassiastile/platform/host_list.hpp"
#include "cassiastile/platform/table.hpp"
#include "cassiastile/wire/http_client.hpp"
#include "cassiastile/wire/metrics.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::entry {

// Settings of the entry service.
struct EntryOptions {
  std::string name;  // This host's, as in the host list.
  std::string zone;
  std::uint64_t incarnation = 1;
  std::uint64_t seed = 1;
  RequestLimits limits;
  HolderWatchOptions watch;
  ClaimStoreOptions claims;
  work::RequestDispatcherOptions dispatcher;
  std::size_t max_answer_bytes = 4U << 20U;
  std::size_t connections_per_runner = 8;  // Of this host, idle ones included.
  std::chrono::milliseconds tick{20};
  std::chrono::milliseconds listing_interval{500};
  std::chrono::milliseconds member_read_interval{5000};
  // A random time of up to the jitter is added to each credit_sync_interval.
  std::chrono::milliseconds credit_sync_interval{250};
  std::chrono::milliseconds credit_sync_jitter{100};
};

// What the service uses. All of it must outlive the service.
struct EntryDependencies {
  platform::Table& table;
  platform::HostList& hosts;
  const config::FleetSource& fleet;
  base::DecisionSink& decisions;
  const base::Clock& clock;
  wire::Metrics& metrics;
};

// Serves the requests for all services at one entry host: accepts them over
// HTTP, checks their keys, and returns the responses of the runners.
class EntryService {
 public:
  // Fails with kInvalid when an option is invalid.
  static base::Result<std::unique_ptr<EntryService>> Create(
      EntryOptions options,
      const EntryDependencies& dependencies);
  // Ends the calls in progress; drain the HTTP server first.
  ~EntryService();
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  // Adds the route /v1/services/<service>/<path>. The service must outlive the
  // router.
  void AddRoutes(wire::Router& router);

  // Whether this host should get requests: it has applied a configuration and
  // is not draining. Says nothing about runners.
  bool IsReady() const;
  // Makes IsReady false, so that the load balancer sends requests elsewhere.
  // Requests are still accepted and finished.
  void BeginDrain();
  // Releases this host's credits in the table. Call it once no request runs.
  void ReleaseCredits();

  // Updates the gauges.
  void UpdateMetrics();

 private:
  // A service with its account of runner slots.
  struct ServiceSlots {
    std::shared_ptr<ServiceGateway> gateway;
    std::shared_ptr<ServiceShard> shard;  // Owned by the gateway.
    std::unique_ptr<CreditAccount> account;
  };

  EntryService(EntryOptions options, const EntryDependencies& dependencies);
  void Start();
  void HandleRequest(wire::HttpRequest request, wire::HttpResponder respond);
  void HandleValidRequest(
      ValidatedRequest validated,
      const std::shared_ptr<const wire::HttpRequest>& request,
      wire::HttpResponder respond);
  void ClaimAndAccept(const ValidatedRequest& validated,
                      const std::string& key,
                      const std::shared_ptr<ServiceGateway>& gateway,
                      GatewayRequest request);
  void Answer(const std::string& service,
              const work::RequestTicket& ticket,
              const wire::HttpRequest& request,
              const work::Outcome& outcome,
              const wire::HttpResponder& respond);
  std::string RecordRefusal(const std::string& service,
                            const work::RequestTicket& ticket,
                            const work::Outcome& outcome);
  std::string NewId();

  std::shared_ptr<ServiceGateway> FindGateway(const std::string& service) const;
  std::vector<NamedShard> AllShards() const;

  void RunTicks();
  void RunListing();
  void RunCredits();
  bool SleepUnlessStopping(std::chrono::milliseconds length);
  void ApplyConfiguration();
  void AddService(const config::Service& service);
  void RecheckKeys();
  void RefreshHostList();
  void ReadIncarnations();
  void SyncCredits();
  std::vector<std::pair<CreditAccount*, std::shared_ptr<ServiceShard>>>
  AllAccounts();
  bool HasWaitingRequests() const;
  CreditSyncResult SyncAccount(CreditAccount& account,
                               CreditConsumer& consumer);

  EntryOptions m_options;
  EntryDependencies m_dependencies;
  work::HolderName m_holder;
  std::atomic<work::RequestId> m_next_id{1};
  std::atomic<bool> m_draining{false};
  std::atomic<std::uint64_t> m_applied_version{0};

  std::mutex m_random_mutex;
  base::Random m_random;

  // Locked after m_list_mutex where both are held.
  mutable std::mutex m_services_mutex;
  std::map<std::string, ServiceSlots> m_services;

  std::mutex m_list_mutex;
  std::vector<platform::ListedHost> m_listed;
  bool m_has_list = false;
  HolderWatch m_watch;

  TeamCredits m_team_credits;
  CreditAccount m_team_account;
  std::mutex m_credits_mutex;       // Guards all accounts.
  bool m_credits_released = false;  // No credits are taken any more.

  std::unique_ptr<ClaimStore> m_claims;
  std::unique_ptr<wire::HttpClient> m_client;

  std::mutex m_stop_mutex;
  std::condition_variable m_stop_wake;
  bool m_stopping = false;
  std::vector<std::thread> m_threads;
};

}  // namespace cassiastile::entry
