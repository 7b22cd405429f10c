#include <algorithm>
#include <set>
#include <utility>

#include "cassiastile/entry/entry_service.hpp"
#include "cassiastile/member/member_rows.hpp"

// The background threads of an entry service: they follow the configuration and
// the host list, and synchronize the credits with the table.
namespace cassiastile::entry {

namespace {

work::ListedRunner MakeRunner(const platform::ListedHost& host) {
  work::ListedRunner runner;
  runner.name = host.name;
  runner.address = host.address;
  runner.zone = host.zone;
  runner.incarnation = host.incarnation;
  runner.leaving = host.state == platform::ListedState::kLeaving;
  return runner;
}

std::vector<work::ListedRunner> RunnersOf(
    const std::vector<platform::ListedHost>& listed,
    const std::string& service) {
  std::vector<work::ListedRunner> runners;
  for (const platform::ListedHost& host : listed) {
    if (host.role == platform::ListedRole::kRunner && host.service == service) {
      runners.push_back(MakeRunner(host));
    }
  }
  return runners;
}

std::set<std::string> KeysOf(const config::Fleet& fleet) {
  std::set<std::string> ids;
  for (const config::Key& key : fleet.keys) {
    ids.insert(key.id);
  }
  return ids;
}

}  // namespace

void EntryService::ReleaseCredits() {
  const std::lock_guard lock(m_credits_mutex);
  m_credits_released = true;
  ReleasingConsumer teams(m_team_credits);
  static_cast<void>(SyncAccount(m_team_account, teams));
  for (const auto& [account, shard] : AllAccounts()) {
    ReleasingConsumer slots(*shard);
    static_cast<void>(SyncAccount(*account, slots));
  }
}

void EntryService::RunTicks() {
  while (SleepUnlessStopping(m_options.tick)) {
    ApplyConfiguration();
    RecheckKeys();
    for (const auto& [name, shard] : AllShards()) {
      shard->Tick(m_dependencies.clock.Now());
    }
  }
}

void EntryService::RunListing() {
  base::TimePoint next_members{};
  do {
    RefreshHostList();
    if (m_dependencies.clock.Now() >= next_members) {
      ReadIncarnations();
      next_members =
          m_dependencies.clock.Now() + m_options.member_read_interval;
    }
  } while (SleepUnlessStopping(m_options.listing_interval));
}

// Synchronizes credits periodically, and at once when requests begin to wait.
void EntryService::RunCredits() {
  std::chrono::milliseconds until_sync{0};
  bool was_waiting = false;
  while (SleepUnlessStopping(m_options.tick)) {
    until_sync -= m_options.tick;
    const bool waiting = HasWaitingRequests();
    if (until_sync.count() > 0 && !(waiting && !was_waiting)) {
      continue;
    }
    was_waiting = waiting;
    SyncCredits();
    std::uniform_int_distribution<std::int64_t> jitter(
        0, m_options.credit_sync_jitter.count());
    const std::lock_guard lock(m_random_mutex);
    until_sync = m_options.credit_sync_interval +
                 std::chrono::milliseconds(jitter(m_random));
  }
}

// Returns false at once when the service stops.
bool EntryService::SleepUnlessStopping(std::chrono::milliseconds length) {
  std::unique_lock lock(m_stop_mutex);
  return !m_stop_wake.wait_for(lock, length, [this] { return m_stopping; });
}

void EntryService::ApplyConfiguration() {
  const auto accepted = m_dependencies.fleet.Current();
  if (!accepted || accepted->version == m_applied_version.load()) {
    return;
  }
  for (const config::Service& service : accepted->fleet.services) {
    AddService(service);
  }
  for (const auto& [name, shard] : AllShards()) {
    const config::Service* service = config::FindService(accepted->fleet, name);
    shard->SetSlotsPerRunner(service == nullptr ? 0
                                                : service->slots_per_runner);
  }
  m_team_credits.Refresh();
  m_applied_version.store(accepted->version);
}

void EntryService::AddService(const config::Service& service) {
  const std::lock_guard list_lock(m_list_mutex);
  const std::lock_guard lock(m_services_mutex);
  if (m_services.contains(service.name)) {
    return;
  }
  ServiceGatewayOptions options;
  options.host = m_options.name;
  options.max_answer_bytes = m_options.max_answer_bytes;
  options.shard.holder = m_holder;
  options.shard.slots_per_runner = service.slots_per_runner;
  options.shard.dispatcher = m_options.dispatcher;
  options.shard.dispatcher.routing.zone = m_options.zone;
  options.shard.dispatcher.admission.queue_limit = service.queue_limit;
  ServiceSlots slots;
  slots.gateway =
      std::make_shared<ServiceGateway>(options, m_dependencies.clock, *m_client,
                                       m_options.seed + m_services.size());
  slots.shard = {slots.gateway, &slots.gateway->Shard()};
  slots.account = std::make_unique<CreditAccount>(
      m_dependencies.table, work::SlotsLedgerKey(service.name), m_holder,
      m_options.seed + m_services.size() + 1);
  slots.shard->SetRunners(RunnersOf(m_listed, service.name),
                          m_dependencies.clock.Now());
  m_services.emplace(service.name, std::move(slots));
}

// Refuses waiting requests whose key was revoked since they arrived, or can
// no longer be checked because the configuration is stale.
void EntryService::RecheckKeys() {
  const auto accepted = m_dependencies.fleet.Current();
  if (!accepted) {
    return;
  }
  const bool fresh = m_dependencies.fleet.IsFresh(m_dependencies.clock.Now());
  const std::set<std::string> keys =
      fresh ? KeysOf(accepted->fleet) : std::set<std::string>();
  const auto reason = fresh ? work::RefusalReason::kUnknownKey
                            : work::RefusalReason::kStaleConfiguration;
  for (const auto& [name, shard] : AllShards()) {
    shard->RefuseInvalidKeys(keys, reason);
  }
}

// Reads the host list. While it can't be read, the last one stays in use.
void EntryService::RefreshHostList() {
  const auto listed = m_dependencies.hosts.List();
  if (!listed) {
    return;
  }
  const base::TimePoint now = m_dependencies.clock.Now();
  const std::lock_guard lock(m_list_mutex);
  m_listed = *listed;
  m_has_list = true;
  m_watch.ObserveHostList(m_listed, now);
  for (const auto& [name, shard] : AllShards()) {
    shard->SetRunners(RunnersOf(m_listed, name), now);
  }
}

// Learns from the member rows which processes were replaced by a newer
// incarnation.
void EntryService::ReadIncarnations() {
  const auto members = member::ReadMembers(m_dependencies.table);
  if (!members) {
    return;
  }
  const base::TimePoint now = m_dependencies.clock.Now();
  const std::lock_guard lock(m_list_mutex);
  for (const member::MemberRecord& record : *members) {
    m_watch.ObserveIncarnation(record.name, record.incarnation, now);
  }
}

void EntryService::SyncCredits() {
  const std::lock_guard lock(m_credits_mutex);
  if (m_credits_released) {
    return;
  }
  static_cast<void>(SyncAccount(m_team_account, m_team_credits));
  for (const auto& [account, shard] : AllAccounts()) {
    static_cast<void>(SyncAccount(*account, *shard));
  }
}

std::vector<std::pair<CreditAccount*, std::shared_ptr<ServiceShard>>>
EntryService::AllAccounts() {
  std::vector<std::pair<CreditAccount*, std::shared_ptr<ServiceShard>>> all;
  const std::lock_guard lock(m_services_mutex);
  for (auto& [name, service] : m_services) {
    all.emplace_back(service.account.get(), service.shard);
  }
  return all;
}

bool EntryService::HasWaitingRequests() const {
  const std::vector<NamedShard> shards = AllShards();
  return std::any_of(shards.begin(), shards.end(), [](const NamedShard& named) {
    return named.second->HasWaitingRequests();
  });
}

// Synchronizes one account, retrying conflicts. Stops all use of its credits
// when the table is unreachable and other hosts may soon forfeit them.
CreditSyncResult EntryService::SyncAccount(CreditAccount& account,
                                           CreditConsumer& consumer) {
  constexpr int kMaxTries = 3;
  const auto find_gone = [this](const std::set<work::HolderName>& holders) {
    const std::lock_guard lock(m_list_mutex);
    return m_watch.FindGoneHolders(holders, m_dependencies.clock.Now());
  };
  CreditSyncResult sync_result = CreditSyncResult::kConflict;
  for (int i = 0; i < kMaxTries && sync_result == CreditSyncResult::kConflict;
       ++i) {
    sync_result = account.Sync(consumer, find_gone, m_dependencies.clock.Now());
  }
  const std::lock_guard lock(m_list_mutex);
  if (sync_result == CreditSyncResult::kUnreachable &&
      m_watch.MayBeForfeited(account.LastAnswer(),
                             m_dependencies.clock.Now())) {
    consumer.ApplyGrants({}, m_dependencies.clock.Now());
  }
  return sync_result;
}

}  // namespace cassiastile::entry
