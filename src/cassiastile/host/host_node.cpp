#include "cassiastile/host/host_node.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cassiastile::host {

namespace {

// Gossip goes to a few random peers per round, so that an update reaches all
// hosts within a few rounds.
constexpr std::chrono::milliseconds kGossipInterval{500};
constexpr std::size_t kGossipFanout = 2;
// Of requests that other hosts pass on. Rows have names in their keys; the
// table refuses a whole transaction with a long key or row.
constexpr std::size_t kMaxJobIdBytes = 64;
constexpr std::size_t kMaxCustomerBytes = 1024;
constexpr std::size_t kMaxSpecBytes = 512U << 10U;
constexpr std::size_t kMaxHostBytes = 255;
// Several times as many as a fleet has.
constexpr std::size_t kMaxKnownPeers = 1024;
// While the leader asks for a takeover, or is not heard.
constexpr std::size_t kTakeoverFanout = 8;
constexpr std::chrono::milliseconds kFindPeersInterval{3000};
// How long the table may take to deliver a newer configuration before a peer is
// asked for it.
constexpr std::chrono::milliseconds kTableHeadStart{400};
constexpr std::chrono::milliseconds kConfigRequestInterval{500};
// Leadership passes to a live peer whose processor share is larger by this
// factor.
constexpr double kStrongerFactor = 1.5;
// A peer not heard from for this long counts as dead.
constexpr std::chrono::milliseconds kPeerTimeout{4000};
// How long a weaker host lets stronger peers try to become the leader first.
constexpr std::chrono::milliseconds kStrongerPeerHeadStart{400};
// How long a leader knows a stronger peer before it resigns.
constexpr std::chrono::milliseconds kYieldAfter{1500};
constexpr std::chrono::milliseconds kWatchInterval{250};
// A loop that runs nothing for longer than this was paused.
constexpr std::chrono::milliseconds kLoggedPause{1000};
// What has waited in a paused host's sockets is read within this time.
constexpr std::chrono::milliseconds kReadsBacklog{1000};
// While the leader is not heard.
constexpr std::chrono::milliseconds kQuietWatchInterval{150};
// Of peers not heard from for this long, it is not known whether they still
// don't hear the leader.
constexpr std::chrono::milliseconds kMaxSignAge{700};
// The leader's record is read after this long without gossip from the leader.
constexpr std::chrono::milliseconds kLeaderSilence{600};
// A read that hangs in an outage must not delay noticing that the store is
// back. After a timeout the next read waits longer, since the store may only be
// slow.
constexpr std::chrono::milliseconds kFirstReadTimeout{500};
constexpr std::chrono::milliseconds kMaxReadTimeout{1000};
// A connection may be refused although the process is alive, so one refusal is
// not enough.
constexpr std::uint32_t kConnectionRefusalsUntilProcessGone = 2;
constexpr std::chrono::milliseconds kConnectionRetryDelay{100};

}  // namespace

HostNode::HostNode(HostDependencies dependencies,
                   PeerPort& peers,
                   Loop& loop,
                   EventLog& log,
                   HostSettings settings,
                   JobFrontendFormat format,
                   base::Random random)
    : m_dependencies(std::move(dependencies)),
      m_peer_port(peers),
      m_loop(loop),
      m_log(log),
      m_odd_peers(log, "peer.bad_entry"),
      m_settings(std::move(settings)),
      m_random(random),
      m_incarnation(base::MakeId(m_random)),
      m_config_watcher(
          m_dependencies,
          loop,
          log,
          {.on_config =
               [this](const std::shared_ptr<const jobs::FleetConfig>& config) {
                 m_frontend.ApplyConfig(config);
                 if (IsLeader()) {
                   m_dispatcher->ApplyConfig(config);
                 }
                 Gossip();
               },
           .on_waves =
               [this] {
                 if (IsLeader()) {
                   m_dispatcher->ApplyWaves(m_config_watcher.Waves());
                 }
               },
           .on_evacuations_read = [this] { ApplyEvacuations(); }}),
      m_frontend(
          std::move(format),
          loop,
          log,
          [this](const JobRequest& request,
                 std::chrono::milliseconds timeout,
                 const std::function<void(JobAnswer)>& respond) {
            SendToLeader(request, timeout, respond);
          },
          [this] {
            return JobFrontend::LeaderView{
                m_leader.host, m_leader.fence,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_loop.GetClock().Now() - m_leader_heard_at)};
          },
          [this] {
            return m_loop.GetClock().Now() - m_config_watcher.ReadAsOf();
          }),
      m_worker_relay(m_dependencies.workers,
                     peers,
                     loop,
                     log,
                     {m_incarnation, m_settings.availability_zone}) {}

std::string HostNode::OwnEndpoint() const {
  return m_settings.address + ":" + std::to_string(m_settings.peer_port);
}

void HostNode::Begin() {
  m_log.Write("host.start",
              {{"availability_zone", m_settings.availability_zone},
               {"life", m_incarnation},
               {"peer_endpoint", OwnEndpoint()}});
  m_config_watcher.Begin();
  RegisterEndpoint();
  FindPeers();
  m_watched_at = m_loop.GetClock().Now();
  m_watched_wall = m_loop.GetClock().WallNow();
  WatchLeader();
  GossipPeriodically();
}

void HostNode::GossipPeriodically() {
  Gossip();
  m_loop.After(kGossipInterval,
               m_lifetime.Guard([this] { GossipPeriodically(); }));
}

void HostNode::RegisterEndpoint() {
  RowTransaction transaction;
  transaction.puts.push_back(
      {kHostTable, "", m_settings.host, OwnEndpoint(), 0, false});
  m_dependencies.store.Commit(
      std::move(transaction), kFindPeersInterval,
      m_lifetime.Guard([this](const TransactionReply& reply) {
        if (reply.outcome != TransactionReply::Outcome::kApplied) {
          m_loop.After(kGossipInterval,
                       m_lifetime.Guard([this] { RegisterEndpoint(); }));
        }
      }));
}

void HostNode::FindPeers() {
  ReadAllRows(m_dependencies.store, kHostTable, "",
              m_lifetime.Guard([this](const base::Result<RowPage>& page) {
                if (page) {
                  for (const Row& row : page->rows) {
                    const auto endpoint = ParseDestination(row.value);
                    if (!endpoint) {
                      m_odd_peers.LeftOut(row.table, row.key,
                                          endpoint.error().message);
                    } else if (row.key != m_settings.host) {
                      m_known_peers[row.key].endpoint = row.value;
                    }
                  }
                }
                m_loop.After(kFindPeersInterval,
                             m_lifetime.Guard([this] { FindPeers(); }));
              }));
}

void HostNode::Gossip() {
  std::vector<std::string> endpoints;
  for (const auto& [host, peer] : m_known_peers) {
    endpoints.push_back(peer.endpoint);
  }
  std::ranges::shuffle(endpoints, m_random);
  const bool requests_takeover =
      IsLeader() && m_dispatcher->IsStoreUnavailable();
  const bool misses_leader =
      !IsLeader() &&
      m_loop.GetClock().Now() - m_leader_heard_at > kLeaderSilence;
  const std::size_t fanout =
      requests_takeover || misses_leader ? kTakeoverFanout : kGossipFanout;
  endpoints.resize(std::min(endpoints.size(), fanout));
  const bool gossip_to_leader = !IsLeader() && !m_leader.host.empty();
  if (gossip_to_leader &&
      std::ranges::find(endpoints, m_leader.endpoint) == endpoints.end()) {
    endpoints.push_back(m_leader.endpoint);
  }
  for (const std::string& endpoint : endpoints) {
    SendGossip(endpoint);
  }
}

void HostNode::SendGossip(const std::string& endpoint) {
  SendGossip(endpoint, MakeGossip(m_config_watcher.Version(), false));
}

void HostNode::SendGossip(const std::string& endpoint,
                          const GossipMessage& gossip) {
  m_peer_port.Gossip(
      endpoint, gossip,
      m_lifetime.Guard(
          [this, endpoint](
              const tl::expected<GossipMessage, PeerPort::Failure>& answer) {
            if (answer) {
              MergeGossip(*answer);
            } else if (answer.error().refused &&
                       endpoint == m_leader.endpoint) {
              HandleLeaderConnectionRefused();
            }
          }));
}

void HostNode::HandleLeaderConnectionRefused() {
  if (++m_leader_connection_refusals < kConnectionRefusalsUntilProcessGone) {
    m_loop.After(kConnectionRetryDelay, m_lifetime.Guard([this] {
      if (!m_leader.host.empty() && !IsLeader()) {
        SendGossip(m_leader.endpoint);
      }
    }));
    return;
  }
  // The leader's process is gone, so there is no need to wait for its timeout.
  m_replaceable_leader = m_leader.host;
  CheckLeader();
}

GossipMessage HostNode::MakeGossip(std::uint64_t known_version,
                                   bool with_config) const {
  GossipMessage gossip;
  gossip.host = m_settings.host;
  gossip.endpoint = OwnEndpoint();
  gossip.config_version = m_config_watcher.Version();
  if (with_config && gossip.config_version > known_version) {
    gossip.config = m_config_watcher.Text();
  }
  gossip.leader = m_leader;
  gossip.is_leader = IsLeader() && !m_resigning;
  gossip.requests_takeover = IsLeader() && m_dispatcher->IsStoreUnavailable();
  gossip.store_reachable = m_config_watcher.IsStoreReachable();
  gossip.processor_share = m_settings.processor_share;
  gossip.leader_silence_ms =
      base::Milliseconds(m_loop.GetClock().Now() - m_leader_heard_at);
  return gossip;
}

GossipMessage HostNode::HandleGossip(const GossipMessage& gossip) {
  MergeGossip(gossip);
  return MakeGossip(gossip.config_version, gossip.wants_config);
}

bool HostNode::HasAddresses(const GossipMessage& gossip) {
  auto parsed = ParseDestination(gossip.endpoint);
  if (parsed && !gossip.leader.host.empty()) {
    parsed = ParseDestination(gossip.leader.endpoint);
  }
  if (!parsed) {
    m_odd_peers.LeftOut("gossip", gossip.host, parsed.error().message);
  }
  return parsed.has_value();
}

void HostNode::MergeGossip(const GossipMessage& gossip) {
  if (gossip.host == m_settings.host || gossip.host.size() > kMaxHostBytes) {
    return;
  }
  if (!HasAddresses(gossip)) {
    return;
  }
  if (m_known_peers.size() >= kMaxKnownPeers &&
      !m_known_peers.contains(gossip.host)) {
    m_known_peers.erase(std::ranges::min_element(
        m_known_peers, {},
        [](const auto& entry) { return entry.second.heard_at; }));
  }
  Peer& peer = m_known_peers[gossip.host];
  peer.endpoint = gossip.endpoint;
  peer.heard_at = m_loop.GetClock().Now();
  peer.store_reachable = gossip.store_reachable;
  peer.processor_share = gossip.processor_share;
  peer.leader_fence = gossip.leader.fence;
  peer.leader_silence = std::chrono::milliseconds(gossip.leader_silence_ms);
  if (gossip.config_version <= m_config_watcher.Version()) {
    m_config_behind_since = {};
  } else if (!gossip.config.empty()) {
    m_config_watcher.ApplyConfigText(gossip.config, gossip.host);
  } else {
    FetchConfig(gossip.endpoint);
  }
  HandleAnnouncement(gossip.leader);
  if (gossip.host != m_leader.host || !gossip.is_leader) {
    return;
  }
  m_leader_connection_refusals = 0;
  if (gossip.requests_takeover) {
    // No need to wait for its timeout: a leader gives no orders that it can't
    // store.
    m_replaceable_leader = gossip.host;
    CheckLeader();
  } else {
    m_leader_heard_at = m_loop.GetClock().Now();
    m_unreachable_fence = 0;
  }
}

// Configurations are large and some hosts have slow links. So the table gets a
// head start, and only one peer at a time is asked.
void HostNode::FetchConfig(const std::string& endpoint) {
  const base::TimePoint now = m_loop.GetClock().Now();
  if (m_config_behind_since == base::TimePoint{}) {
    m_config_behind_since = now;
  }
  if (now - m_config_behind_since < kTableHeadStart ||
      now - m_config_requested_at < kConfigRequestInterval) {
    return;
  }
  m_config_requested_at = now;
  GossipMessage gossip = MakeGossip(m_config_watcher.Version(), false);
  gossip.wants_config = true;
  SendGossip(endpoint, gossip);
}

void HostNode::HandleAnnouncement(const LeaderAnnouncement& announcement) {
  const bool newer = announcement.fence > m_leader.fence;
  const bool resigned = announcement.fence == m_leader.fence &&
                        announcement.host.empty() && !m_leader.host.empty();
  if (!newer && !resigned) {
    return;
  }
  m_leader = announcement;
  m_leader_connection_refusals = 0;
  m_leader_heard_at = m_loop.GetClock().Now();
  m_log.Write("office.notice",
              {{"holder", announcement.host}, {"fence", announcement.fence}});
  if (IsLeader() && newer && announcement.host != m_settings.host) {
    HandleTermEnded();
  }
  if (resigned) {
    CheckLeader();
  }
}

bool HostNode::IsLongPause() const {
  const base::Clock& clock = m_loop.GetClock();
  const base::Duration longest = m_settings.keep_finished / 2;
  // The steady clock stands still while a machine is suspended.
  return clock.Now() - m_watched_at > longest ||
         clock.WallNow() - m_watched_wall > longest;
}

void HostNode::NotePause() {
  const base::Clock& clock = m_loop.GetClock();
  const base::Duration gap = clock.Now() - m_watched_at;
  const bool is_long = IsLongPause();
  m_watched_at = clock.Now();
  m_watched_wall = clock.WallNow();
  if (gap > kLoggedPause || is_long) {
    m_log.Write("host.paused", {{"paused_ms", base::Milliseconds(gap)}});
  }
  if (is_long) {
    m_backlog_until = m_watched_at + kReadsBacklog;
  }
}

bool HostNode::DropOldSubmission(
    const JobRequest& request,
    const std::function<void(JobAnswer)>& respond) {
  const bool may_be_old =
      IsLongPause() || m_loop.GetClock().Now() < m_backlog_until;
  if (request.verb != JobVerb::kSubmit || !may_be_old) {
    return false;
  }
  m_log.Write("request.too_old",
              {{"job", request.job}, {"queue", request.queue}});
  respond({.kind = JobAnswerKind::kOutcomeUnknown});
  return true;
}

void HostNode::WatchLeader() {
  const base::TimePoint now = m_loop.GetClock().Now();
  NotePause();
  const bool quiet = now - m_leader_heard_at > kLeaderSilence;
  if (!IsLeader() && !m_stopping && quiet) {
    CheckLeader();
  }
  YieldToStrongerPeer();
  OfferRelays();
  m_loop.After(quiet && !IsLeader() ? kQuietWatchInterval : kWatchInterval,
               m_lifetime.Guard([this] { WatchLeader(); }));
}

void HostNode::OfferRelays() {
  if (!IsLeader()) {
    return;
  }
  const base::TimePoint now = m_loop.GetClock().Now();
  std::vector<RelayCandidate> candidates;
  for (const auto& [host, peer] : m_known_peers) {
    if (now - peer.heard_at < kPeerTimeout) {
      candidates.push_back({host, peer.endpoint, peer.processor_share});
    }
  }
  m_dispatcher->OfferRelays(candidates);
}

void HostNode::CheckLeader() {
  if (m_reading_record || m_acquiring || IsLeader() || m_stopping) {
    return;
  }
  m_reading_record = true;
  m_dependencies.store.Read(
      kLeaderTable, kLeaderPart, "", m_record_read_timeout,
      m_lifetime.Guard([this](const base::Result<RowPage>& page) {
        m_reading_record = false;
        if (!page) {
          m_record_read_timeout =
              m_record_read_timeout == kMaxReadTimeout
                  ? kFirstReadTimeout
                  : std::min(2 * m_record_read_timeout, kMaxReadTimeout);
          return;
        }
        m_record_read_timeout = kFirstReadTimeout;
        ObservedLeaderRecord observed;
        for (const Row& row : page->rows) {
          if (row.key == kLeaderKey) {
            observed = DecodeLeaderRow(row);
          }
        }
        HandleLeaderRecord(observed);
      }));
}

void HostNode::HandleLeaderRecord(const ObservedLeaderRecord& observed) {
  const base::TimePoint now = m_loop.GetClock().Now();
  const std::string gone = std::exchange(m_replaceable_leader, "");
  const bool process_gone = !gone.empty() && observed.record.host == gone;
  if (observed.version != m_last_record.version ||
      m_record_changed_at == base::TimePoint{}) {
    m_last_record = observed;
    m_record_changed_at = now;
  }
  const bool vacant = observed.version == 0 || observed.record.host.empty() ||
                      observed.record.host == m_settings.host;
  if (!vacant && !process_gone && !IsLeaderLost(CollectLeaderSigns(now))) {
    m_replaceable_since = {};
    return;
  }
  if (m_replaceable_since == base::TimePoint{}) {
    m_replaceable_since = now;
  }
  // Counts all peers: after an outage none has recently reached the store.
  if (HasStrongerPeer(PeerFilter::kAll) &&
      now - m_replaceable_since < kStrongerPeerHeadStart) {
    m_replaceable_leader = gone;
    m_loop.After(kStrongerPeerHeadStart / 2,
                 m_lifetime.Guard([this] { CheckLeader(); }));
    return;
  }
  AcquireLeadership(observed);
}

LeaderSigns HostNode::CollectLeaderSigns(base::TimePoint now) const {
  LeaderSigns signs{now - m_record_changed_at, now - m_leader_heard_at, {}};
  for (const auto& [host, peer] : m_known_peers) {
    if (host != m_leader.host && peer.leader_fence == m_leader.fence &&
        now - peer.heard_at < kMaxSignAge) {
      signs.peer_silences.emplace_back(peer.leader_silence);
    }
  }
  return signs;
}

bool HostNode::HasStrongerPeer(PeerFilter filter) const {
  const base::TimePoint now = m_loop.GetClock().Now();
  return std::ranges::any_of(m_known_peers, [this, now,
                                             filter](const auto& entry) {
    const Peer& peer = entry.second;
    return now - peer.heard_at < kPeerTimeout &&
           (peer.store_reachable || filter == PeerFilter::kAll) &&
           peer.processor_share > kStrongerFactor * m_settings.processor_share;
  });
}

void HostNode::YieldToStrongerPeer() {
  const base::TimePoint now = m_loop.GetClock().Now();
  if (!IsLeader() || m_resigning ||
      !HasStrongerPeer(PeerFilter::kStoreReachable)) {
    m_stronger_peer_since = now;
    return;
  }
  if (now - m_stronger_peer_since > kYieldAfter) {
    m_stronger_peer_since = now;
    ResignLeadership();
  }
}

std::string HostNode::AcquisitionReason(
    const ObservedLeaderRecord& observed) const {
  if (observed.version == 0) {
    return "no record";
  }
  if (observed.record.host.empty()) {
    return "resigned";
  }
  if (observed.record.host == m_settings.host) {
    return "former life";
  }
  return IsLeaderLost(CollectLeaderSigns(m_loop.GetClock().Now()))
             ? "term over"
             : "process gone or without store";
}

void HostNode::AcquireLeadership(const ObservedLeaderRecord& observed) {
  if (m_config_watcher.Config() == nullptr || m_stopping) {
    return;
  }
  m_acquiring = true;
  m_log.Write("office.take", {{"why", AcquisitionReason(observed)},
                              {"seen_version", observed.version},
                              {"seen_holder", observed.record.host}});
  m_acquiring_transactions = std::make_unique<LeaderTransactions>(
      m_dependencies.store, m_loop, m_log,
      LeaderRecord{m_settings.host, OwnEndpoint(), m_incarnation, 0});
  m_acquiring_transactions->Acquire(
      observed, m_lifetime.Guard([this](bool taken) {
        m_acquiring = false;
        if (taken) {
          BecomeLeader();
          return;
        }
        m_loop.After(kWatchInterval,
                     m_lifetime.Guard([this] { CheckLeader(); }));
      }));
}

void HostNode::BecomeLeader() {
  m_leader = {m_acquiring_transactions->FencingToken(), m_settings.host,
              OwnEndpoint()};
  m_replaceable_since = {};
  m_log.Write("office.elected", {{"fence", m_leader.fence}});
  m_dispatcher = std::make_unique<Dispatcher>(
      m_dependencies, m_peer_port, m_loop, m_log, m_settings,
      std::move(m_acquiring_transactions), [this] {
        m_loop.After({}, m_lifetime.Guard([this] { HandleTermEnded(); }));
      });
  m_dispatcher->ApplyConfig(m_config_watcher.Config());
  m_dispatcher->ApplyWaves(m_config_watcher.Waves());
  ApplyEvacuations();
  m_dispatcher->Begin();
  for (const auto& [host, peer] : m_known_peers) {
    SendGossip(peer.endpoint);
  }
}

void HostNode::ApplyEvacuations() {
  if (IsLeader()) {
    m_dispatcher->ApplyEvacuations(m_config_watcher.EvacuatedZones(),
                                   m_config_watcher.ReadAsOf());
  }
}

void HostNode::HandleTermEnded() {
  if (!IsLeader()) {
    return;
  }
  // Destroyed later, since callers on the stack may still use it.
  m_loop.After(
      {}, [gone = std::shared_ptr<Dispatcher>(std::move(m_dispatcher))] {});
  if (m_leader.host == m_settings.host) {
    m_leader.host.clear();
  }
  m_record_changed_at = {};
  // The commit that a resignation waits for may have failed.
  m_resigning = false;
  CheckLeader();
}

bool HostNode::IsIsolated() const {
  const base::TimePoint now = m_loop.GetClock().Now();
  return !m_known_peers.empty() &&
         std::ranges::none_of(m_known_peers, [now](const auto& entry) {
           return now - entry.second.heard_at < kPeerTimeout;
         });
}

void HostNode::AnswerAsLeader(const JobRequest& request,
                              const std::function<void(JobAnswer)>& respond) {
  m_dispatcher->Answer(
      request, [respond, is_isolated = IsIsolated()](const JobAnswer& answer) {
        const bool rests_on_the_store =
            answer.kind == JobAnswerKind::kRefused &&
            answer.reason == static_cast<std::uint8_t>(
                                 jobs::RefusalReason::kStoreUnavailable);
        respond(is_isolated && rests_on_the_store
                    ? JobAnswer{.kind = JobAnswerKind::kOutcomeUnknown}
                    : answer);
      });
}

void HostNode::SendToLeader(const JobRequest& request,
                            std::chrono::milliseconds timeout,
                            const std::function<void(JobAnswer)>& respond) {
  if (DropOldSubmission(request, respond)) {
    return;
  }
  if (IsLeader()) {
    auto answered = std::make_shared<bool>(false);
    const auto once = [answered, respond](const JobAnswer& answer) {
      if (!std::exchange(*answered, true)) {
        respond(answer);
      }
    };
    m_loop.After(timeout,
                 [once] { once({.kind = JobAnswerKind::kOutcomeUnknown}); });
    AnswerAsLeader(request, once);
    return;
  }
  if (m_leader.host.empty() || m_leader.host == m_settings.host) {
    respond({.kind = JobAnswerKind::kNotLeader});
    return;
  }
  const bool is_silent =
      m_loop.GetClock().Now() - m_leader_heard_at > kLeaderSilence;
  if (is_silent && m_unreachable_fence == m_leader.fence) {
    respond({.kind = JobAnswerKind::kNotLeader});
    return;
  }
  m_peer_port.ForwardJob(
      m_leader.endpoint, request, timeout,
      m_lifetime.Guard(
          [this, respond, fence = m_leader.fence](
              const tl::expected<JobAnswer, PeerPort::Failure>& answer) {
            if (answer) {
              respond(*answer);
              return;
            }
            if (answer.error().not_sent) {
              m_unreachable_fence = fence;
            }
            respond({.kind = answer.error().not_sent
                                 ? JobAnswerKind::kNotLeader
                                 : JobAnswerKind::kOutcomeUnknown});
          }));
}

void HostNode::ServeCaller(const wire::HttpRequest& request,
                           const wire::HttpResponder& respond) {
  m_frontend.Serve(request, respond);
}

void HostNode::HandleJobRequest(const JobRequest& request,
                                const std::function<void(JobAnswer)>& respond) {
  if (request.job.size() > kMaxJobIdBytes ||
      request.customer.size() > kMaxCustomerBytes ||
      request.spec.size() > kMaxSpecBytes) {
    respond({.kind = JobAnswerKind::kInvalid,
             .detail = "a name or the specification is too long"});
    return;
  }
  if (DropOldSubmission(request, respond)) {
    return;
  }
  if (!IsLeader()) {
    respond({.kind = JobAnswerKind::kNotLeader});
    return;
  }
  AnswerAsLeader(request, respond);
}

RelayReply HostNode::HandleRelayBatch(const RelayBatch& batch) {
  return m_worker_relay.Handle(batch);
}

void HostNode::HandleRelayResults(RelayResults results) {
  if (IsLeader()) {
    m_dispatcher->HandleRelayResults(std::move(results));
  }
}

bool HostNode::IsReady() const {
  return !m_stopping && m_config_watcher.Config() != nullptr;
}

void HostNode::BeginStop() {
  m_stopping = true;
  m_log.Write("host.stop",
              {{"in_office", IsLeader()}, {"requests", m_frontend.InFlight()}});
  if (!IsLeader()) {
    return;
  }
  ResignLeadership();
}

void HostNode::ResignLeadership() {
  m_resigning = true;
  m_dispatcher->Resign(m_lifetime.Guard([this] {
    m_leader.host.clear();
    for (const auto& [host, peer] : m_known_peers) {
      SendGossip(peer.endpoint);
    }
    m_resigning = false;
    HandleTermEnded();
  }));
}

bool HostNode::IsReadyToExit() const {
  return m_frontend.InFlight() == 0 && !IsLeader();
}

}  // namespace cassiastile::host
