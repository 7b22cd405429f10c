#include "cassiastile/host/host_node.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cassiastile::host {

namespace {

// How often a host greets some of the others. News reaches all of them in a
// few rounds.
constexpr std::chrono::milliseconds kGreetInterval{500};
constexpr std::size_t kGreetedEachRound = 2;
constexpr std::size_t kAskedForRelief = 8;
constexpr std::chrono::milliseconds kFindPeersInterval{3000};
constexpr std::chrono::milliseconds kTableGoesFirst{400};
constexpr std::chrono::milliseconds kConfigAgain{500};
// The office goes to a host with this much more of a processor, if one lives.
constexpr double kMuchStronger = 1.5;
constexpr std::chrono::milliseconds kPeerAlive{4000};
constexpr std::chrono::milliseconds kDeferToStronger{400};
constexpr std::chrono::milliseconds kWeakerFor{1500};
constexpr std::chrono::milliseconds kWatchInterval{250};
// The holder of the office rewrites its record twice a second. One that has not
// for so long may be replaced.
constexpr std::chrono::milliseconds kOfficeTerm{1800};
// Without a sign of life from the holder the record is looked at.
constexpr std::chrono::milliseconds kOfficeQuiet{600};
// A look that hangs in an outage must not hide the store's return for long; the
// next one waits longer, since the store may only be slow.
constexpr std::chrono::milliseconds kFirstLookTimeout{500};
constexpr std::chrono::milliseconds kMaxLookTimeout{1000};
// Connections are also refused for other reasons than that a process is gone.
constexpr std::uint32_t kRefusalsOfGoneProcess = 2;
constexpr std::chrono::milliseconds kRefusedAgain{100};

}  // namespace

HostNode::HostNode(HostPorts ports,
                   PeerPort& peers,
                   Loop& loop,
                   EventLog& log,
                   HostSettings settings,
                   JobFrontendFormat format,
                   base::Random random)
    : m_ports(std::move(ports)),
      m_peers(peers),
      m_loop(loop),
      m_log(log),
      m_settings(std::move(settings)),
      m_random(random),
      m_life(base::MakeId(m_random)),
      m_config(
          m_ports,
          loop,
          log,
          {.on_config =
               [this](const std::shared_ptr<const jobs::FleetConfig>& config) {
                 m_front.ApplyConfig(config);
                 if (IsOffice()) {
                   m_dispatcher->ApplyConfig(config);
                 }
                 Greet();
               },
           .on_waves =
               [this] {
                 if (IsOffice()) {
                   m_dispatcher->ApplyWaves(m_config.Waves());
                 }
               }}),
      m_front(
          std::move(format),
          loop,
          log,
          [this](const JobRequest& request,
                 std::chrono::milliseconds timeout,
                 const std::function<void(JobAnswer)>& respond) {
            AskOffice(request, timeout, respond);
          },
          [this] {
            return JobFrontend::LeaderView{
                m_office.host, m_office.fence,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_loop.GetClock().Now() - m_office_heard)};
          }) {}

std::string HostNode::OwnEndpoint() const {
  return m_settings.address + ":" + std::to_string(m_settings.peer_port);
}

void HostNode::Begin() {
  m_log.Write("host.start",
              {{"availability_zone", m_settings.availability_zone},
               {"life", m_life},
               {"peer_endpoint", OwnEndpoint()}});
  m_config.Begin();
  Announce();
  FindPeers();
  WatchOffice();
  KeepGreeting();
}

void HostNode::KeepGreeting() {
  Greet();
  m_loop.After(kGreetInterval, m_lifetime.Guard([this] { KeepGreeting(); }));
}

void HostNode::Announce() {
  RowTransaction transaction;
  transaction.puts.push_back(
      {kHostTable, "", m_settings.host, OwnEndpoint(), 0, false});
  m_ports.store.Commit(
      std::move(transaction), kFindPeersInterval,
      m_lifetime.Guard([this](const TransactionReply& reply) {
        if (reply.outcome != TransactionReply::Outcome::kApplied) {
          m_loop.After(kGreetInterval,
                       m_lifetime.Guard([this] { Announce(); }));
        }
      }));
}

void HostNode::FindPeers() {
  ReadAllRows(m_ports.store, kHostTable, "",
              m_lifetime.Guard([this](const base::Result<RowPage>& page) {
                if (page) {
                  for (const Row& row : page->rows) {
                    if (row.key != m_settings.host) {
                      m_known[row.key].endpoint = row.value;
                    }
                  }
                }
                m_loop.After(kFindPeersInterval,
                             m_lifetime.Guard([this] { FindPeers(); }));
              }));
}

void HostNode::Greet() {
  std::vector<std::string> endpoints;
  for (const auto& [host, peer] : m_known) {
    endpoints.push_back(peer.endpoint);
  }
  std::ranges::shuffle(endpoints, m_random);
  const bool requests_takeover =
      IsOffice() && m_dispatcher->IsStoreUnavailable();
  const std::size_t most =
      requests_takeover ? kAskedForRelief : kGreetedEachRound;
  endpoints.resize(std::min(endpoints.size(), most));
  const bool ask_office = !IsOffice() && !m_office.host.empty();
  if (ask_office &&
      std::ranges::find(endpoints, m_office.endpoint) == endpoints.end()) {
    endpoints.push_back(m_office.endpoint);
  }
  for (const std::string& endpoint : endpoints) {
    SendGreeting(endpoint);
  }
}

void HostNode::SendGreeting(const std::string& endpoint) {
  SendGreeting(endpoint, MakeGreeting(m_config.Version(), false));
}

void HostNode::SendGreeting(const std::string& endpoint,
                            const GossipMessage& greeting) {
  m_peers.Greet(
      endpoint, greeting,
      m_lifetime.Guard(
          [this, endpoint](
              const tl::expected<GossipMessage, PeerPort::Failure>& answer) {
            if (answer) {
              TakeGreeting(*answer);
            } else if (answer.error().refused &&
                       endpoint == m_office.endpoint) {
              HolderRefused();
            }
          }));
}

void HostNode::HolderRefused() {
  if (++m_refusals < kRefusalsOfGoneProcess) {
    m_loop.After(kRefusedAgain, m_lifetime.Guard([this] {
      if (!m_office.host.empty() && !IsOffice()) {
        SendGreeting(m_office.endpoint);
      }
    }));
    return;
  }
  // The process is gone; there is no term to wait for.
  m_holder_gone = m_office.host;
  CheckOffice();
}

GossipMessage HostNode::MakeGreeting(std::uint64_t known_version,
                                     bool with_config) const {
  GossipMessage greeting;
  greeting.host = m_settings.host;
  greeting.endpoint = OwnEndpoint();
  greeting.config_version = m_config.Version();
  if (with_config && greeting.config_version > known_version) {
    greeting.config = m_config.Text();
  }
  greeting.office = m_office;
  greeting.in_office = IsOffice() && !m_resigning;
  greeting.requests_takeover = IsOffice() && m_dispatcher->IsStoreUnavailable();
  greeting.store_answers = m_config.IsStoreReachable();
  greeting.processor_share = m_settings.processor_share;
  return greeting;
}

GossipMessage HostNode::HandleGossip(const GossipMessage& greeting) {
  TakeGreeting(greeting);
  return MakeGreeting(greeting.config_version, greeting.wants_config);
}

void HostNode::TakeGreeting(const GossipMessage& greeting) {
  if (greeting.host == m_settings.host) {
    return;
  }
  Peer& peer = m_known[greeting.host];
  peer.endpoint = greeting.endpoint;
  peer.heard = m_loop.GetClock().Now();
  peer.store_answers = greeting.store_answers;
  peer.processor_share = greeting.processor_share;
  if (greeting.config_version <= m_config.Version()) {
    m_behind_since = {};
  } else if (!greeting.config.empty()) {
    m_config.Offer(greeting.config, greeting.host);
  } else {
    FetchConfig(greeting.endpoint);
  }
  TakeNotice(greeting.office);
  if (greeting.host != m_office.host || !greeting.in_office) {
    return;
  }
  m_refusals = 0;
  if (greeting.requests_takeover) {
    // No term to wait for: it gives no orders that it can't record.
    m_holder_gone = greeting.host;
    CheckOffice();
  } else {
    m_office_heard = m_loop.GetClock().Now();
  }
}

// Configurations are large and some hosts' links are slow: the table gets its
// chance first, and one host at a time is asked.
void HostNode::FetchConfig(const std::string& endpoint) {
  const base::TimePoint now = m_loop.GetClock().Now();
  if (m_behind_since == base::TimePoint{}) {
    m_behind_since = now;
  }
  if (now - m_behind_since < kTableGoesFirst ||
      now - m_config_asked_at < kConfigAgain) {
    return;
  }
  m_config_asked_at = now;
  GossipMessage greeting = MakeGreeting(m_config.Version(), false);
  greeting.wants_config = true;
  SendGreeting(endpoint, greeting);
}

void HostNode::TakeNotice(const LeaderAnnouncement& notice) {
  const bool newer = notice.fence > m_office.fence;
  const bool resigned = notice.fence == m_office.fence && notice.host.empty() &&
                        !m_office.host.empty();
  if (!newer && !resigned) {
    return;
  }
  m_office = notice;
  m_refusals = 0;
  m_office_heard = m_loop.GetClock().Now();
  m_log.Write("office.notice",
              {{"holder", notice.host}, {"fence", notice.fence}});
  if (IsOffice() && newer && notice.host != m_settings.host) {
    OfficeLost();
  }
  if (resigned) {
    CheckOffice();
  }
}

void HostNode::WatchOffice() {
  const base::TimePoint now = m_loop.GetClock().Now();
  const bool quiet = now - m_office_heard > kOfficeQuiet;
  if (!IsOffice() && !m_stopping && quiet) {
    CheckOffice();
  }
  PassToStronger();
  m_loop.After(kWatchInterval, m_lifetime.Guard([this] { WatchOffice(); }));
}

void HostNode::CheckOffice() {
  if (m_checking || m_taking || IsOffice() || m_stopping) {
    return;
  }
  m_checking = true;
  m_ports.store.Read(
      kLeaderTable, kLeaderPart, "", m_look_timeout,
      m_lifetime.Guard([this](const base::Result<RowPage>& page) {
        m_checking = false;
        if (!page) {
          m_look_timeout = m_look_timeout == kMaxLookTimeout
                               ? kFirstLookTimeout
                               : std::min(2 * m_look_timeout, kMaxLookTimeout);
          return;
        }
        m_look_timeout = kFirstLookTimeout;
        ObservedLeaderRecord sight;
        for (const Row& row : page->rows) {
          if (row.key == kLeaderKey) {
            sight = DecodeLeaderRow(row);
          }
        }
        SawOffice(sight);
      }));
}

void HostNode::SawOffice(const ObservedLeaderRecord& sight) {
  const base::TimePoint now = m_loop.GetClock().Now();
  const std::string gone = std::exchange(m_holder_gone, "");
  const bool process_gone = !gone.empty() && sight.record.host == gone;
  if (sight.version != m_sight.version ||
      m_sight_changed == base::TimePoint{}) {
    m_sight = sight;
    m_sight_changed = now;
  }
  const bool vacant = sight.version == 0 || sight.record.host.empty() ||
                      sight.record.host == m_settings.host;
  if (!vacant && !process_gone && now - m_sight_changed <= kOfficeTerm) {
    m_vacant_since = {};
    return;
  }
  if (m_vacant_since == base::TimePoint{}) {
    m_vacant_since = now;
  }
  // After an outage no peer has lately heard from the store.
  if (HasStrongerPeer(StoreSight::kAny) &&
      now - m_vacant_since < kDeferToStronger) {
    m_holder_gone = gone;
    m_loop.After(kDeferToStronger / 2,
                 m_lifetime.Guard([this] { CheckOffice(); }));
    return;
  }
  TakeOffice(sight);
}

bool HostNode::HasStrongerPeer(StoreSight sight) const {
  const base::TimePoint now = m_loop.GetClock().Now();
  return std::ranges::any_of(m_known, [this, now, sight](const auto& row) {
    const Peer& peer = row.second;
    return now - peer.heard < kPeerAlive &&
           (peer.store_answers || sight == StoreSight::kAny) &&
           peer.processor_share > kMuchStronger * m_settings.processor_share;
  });
}

void HostNode::PassToStronger() {
  const base::TimePoint now = m_loop.GetClock().Now();
  if (!IsOffice() || m_resigning || !HasStrongerPeer(StoreSight::kAnswers)) {
    m_weaker_since = now;
    return;
  }
  if (now - m_weaker_since > kWeakerFor) {
    m_weaker_since = now;
    PassOffice();
  }
}

std::string HostNode::WhyTaken(const ObservedLeaderRecord& sight) const {
  if (sight.version == 0) {
    return "no record";
  }
  if (sight.record.host.empty()) {
    return "resigned";
  }
  if (sight.record.host == m_settings.host) {
    return "former life";
  }
  return m_loop.GetClock().Now() - m_sight_changed > kOfficeTerm
             ? "term over"
             : "process gone or without store";
}

void HostNode::TakeOffice(const ObservedLeaderRecord& sight) {
  if (m_config.Config() == nullptr || m_stopping) {
    return;
  }
  m_taking = true;
  m_log.Write("office.take", {{"why", WhyTaken(sight)},
                              {"seen_version", sight.version},
                              {"seen_holder", sight.record.host}});
  m_candidate = std::make_unique<LeaderTransactions>(
      m_ports.store, m_loop, m_log,
      LeaderRecord{m_settings.host, OwnEndpoint(), m_life, 0});
  m_candidate->Acquire(sight, m_lifetime.Guard([this](bool taken) {
    m_taking = false;
    if (taken) {
      Elected();
      return;
    }
    m_loop.After(kWatchInterval, m_lifetime.Guard([this] { CheckOffice(); }));
  }));
}

void HostNode::Elected() {
  m_office = {m_candidate->FencingToken(), m_settings.host, OwnEndpoint()};
  m_log.Write("office.elected", {{"fence", m_office.fence}});
  m_dispatcher = std::make_unique<Dispatcher>(
      m_ports, m_loop, m_log, m_settings, std::move(m_candidate),
      [this] { m_loop.After({}, m_lifetime.Guard([this] { OfficeLost(); })); });
  m_dispatcher->ApplyConfig(m_config.Config());
  m_dispatcher->ApplyWaves(m_config.Waves());
  m_dispatcher->Begin();
  for (const auto& [host, peer] : m_known) {
    SendGreeting(peer.endpoint);
  }
}

void HostNode::OfficeLost() {
  if (!IsOffice()) {
    return;
  }
  // Callers on the stack may still be using it.
  m_loop.After(
      {}, [gone = std::shared_ptr<Dispatcher>(std::move(m_dispatcher))] {});
  if (m_office.host == m_settings.host) {
    m_office.host.clear();
  }
  m_sight_changed = {};
  CheckOffice();
}

void HostNode::AskOffice(const JobRequest& request,
                         std::chrono::milliseconds timeout,
                         const std::function<void(JobAnswer)>& respond) {
  if (IsOffice()) {
    auto answered = std::make_shared<bool>(false);
    const auto once = [answered, respond](const JobAnswer& answer) {
      if (!std::exchange(*answered, true)) {
        respond(answer);
      }
    };
    m_loop.After(timeout,
                 [once] { once({.kind = JobAnswerKind::kOutcomeUnknown}); });
    m_dispatcher->Answer(request, once);
    return;
  }
  if (m_office.host.empty() || m_office.host == m_settings.host) {
    respond({.kind = JobAnswerKind::kNotLeader});
    return;
  }
  m_peers.Ask(
      m_office.endpoint, request, timeout,
      [respond](const tl::expected<JobAnswer, PeerPort::Failure>& answer) {
        if (answer) {
          respond(*answer);
        } else {
          respond({.kind = answer.error().refused
                               ? JobAnswerKind::kNotLeader
                               : JobAnswerKind::kOutcomeUnknown});
        }
      });
}

void HostNode::Handle(const wire::HttpRequest& request,
                      const wire::HttpResponder& respond) {
  m_front.Handle(request, respond);
}

void HostNode::Asked(const JobRequest& request,
                     const std::function<void(JobAnswer)>& respond) {
  if (!IsOffice()) {
    respond({.kind = JobAnswerKind::kNotLeader});
    return;
  }
  m_dispatcher->Answer(request, respond);
}

bool HostNode::IsReady() const {
  return !m_stopping && m_config.Config() != nullptr;
}

void HostNode::BeginStop() {
  m_stopping = true;
  m_log.Write("host.stop",
              {{"in_office", IsOffice()}, {"requests", m_front.InFlight()}});
  if (!IsOffice()) {
    return;
  }
  PassOffice();
}

void HostNode::PassOffice() {
  m_resigning = true;
  m_dispatcher->Resign(m_lifetime.Guard([this] {
    m_office.host.clear();
    for (const auto& [host, peer] : m_known) {
      SendGreeting(peer.endpoint);
    }
    m_resigning = false;
    OfficeLost();
  }));
}

bool HostNode::IsReadyToExit() const {
  return m_front.InFlight() == 0 && !IsOffice();
}

}  // namespace cassiastile::host
