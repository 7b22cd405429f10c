#include "cassiastile/member/member.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/base/log.hpp"
#include "cassiastile/config/fleet_reader.hpp"
#include "cassiastile/member/datagram_socket.hpp"
#include "cassiastile/member/member_rows.hpp"
#include "cassiastile/member/peer_link.hpp"

namespace cassiastile::member {

namespace {

constexpr std::chrono::milliseconds kPullTimeout{1000};
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr base::Duration kPrepareDeadline = std::chrono::milliseconds(2000);
// Added to the freshness, because members' clocks may run at different rates.
constexpr base::Duration kExpiryMargin = std::chrono::milliseconds(500);
constexpr int kBindAttempts = 20;

struct Sockets {
  std::unique_ptr<DatagramSocket> datagrams;
  std::unique_ptr<PeerServer> peers;
};

// Binds TCP and UDP to the same port. If any port will do (port zero), tries up
// to kBindAttempts ports.
base::Result<Sockets> BindSockets(const MemberOptions& options,
                                  const PeerHandler& handler) {
  base::Error last;
  for (int i = 0; i < kBindAttempts; ++i) {
    auto peers = PeerServer::Start(options.listen_address, options.port,
                                   options.fleet_secret, handler);
    if (!peers) {
      return tl::unexpected(peers.error());
    }
    auto datagrams =
        DatagramSocket::Open(options.listen_address, (*peers)->Port());
    if (datagrams) {
      return Sockets{std::move(*datagrams), std::move(*peers)};
    }
    last = datagrams.error();
    if (options.port != 0) {
      break;
    }
  }
  return tl::unexpected(last);
}

MembershipOptions MakeMembershipOptions(const MemberOptions& options) {
  MembershipOptions membership;
  membership.self.name = options.name;
  membership.self.incarnation = options.incarnation;
  membership.self.role = options.role;
  membership.self.zone = options.zone;
  membership.self.http_address = options.http_address;
  membership.secret = options.fleet_secret;
  membership.seeds = options.peers;
  membership.times = options.times;
  return membership;
}

std::string MakeOwnerId(const MemberRecord& record) {
  return fmt::format("{}#{}", record.name, record.incarnation);
}

}  // namespace

class Member::Impl {
 public:
  Impl(MemberOptions options, platform::Table& table, const base::Clock& clock)
      : m_options(std::move(options)),
        m_table(table),
        m_clock(clock),
        m_random(base::MakeRandom()),
        m_log("member") {}

  ~Impl() { Stop(); }

  base::Result<void> Bind() {
    auto sockets = BindSockets(m_options, [this](const PeerRequest& request) {
      return AnswerPeer(request);
    });
    if (!sockets) {
      return tl::unexpected(sockets.error());
    }
    m_sockets = std::move(*sockets);
    MembershipOptions membership = MakeMembershipOptions(m_options);
    membership.self.address =
        fmt::format("{}:{}", m_options.listen_address, m_sockets.peers->Port());
    m_self = membership.self;
    const std::lock_guard lock(m_mutex);
    m_membership =
        std::make_unique<Membership>(std::move(membership), m_clock.Now());
    return {};
  }

  void Start() {
    m_table_thread = std::thread([this] { RunTableThread(); });
    m_sockets.datagrams->Start(
        {[this](std::string_view datagram, const std::string& from) {
           return OnDatagram(datagram, from);
         },
         [this] { return OnTick(); }});
  }

  void Stop() {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_all();
    if (m_table_thread.joinable()) {
      m_table_thread.join();
    }
    if (m_sockets.datagrams) {
      m_sockets.datagrams->Stop();
    }
    m_sockets.peers.reset();
  }

  // Calls a function with the membership under the lock and then updates the
  // time that IsFresh reads.
  template <typename Function>
  auto WithMembership(const Function& function) {
    const std::lock_guard lock(m_mutex);
    auto result = function(*m_membership);
    UpdateConfirmedTime();
    return result;
  }

  std::shared_ptr<const config::AcceptedFleet> Current() const {
    const std::lock_guard lock(m_fleet_mutex);
    return m_fleet;
  }

  bool IsFresh(base::TimePoint now) const {
    const base::Duration confirmed(m_confirmed_at.load());
    return confirmed != kNever &&
           now.time_since_epoch() - confirmed <= m_options.times.freshness;
  }

  MemberStatus Status() {
    const base::TimePoint now = m_clock.Now();
    return WithMembership([&](Membership& membership) {
      MemberStatus status;
      status.head = membership.KnownHead();
      status.in_force = membership.InForce();
      status.fresh = membership.IsFresh(now);
      status.reaches_store = membership.ReachesStore();
      status.superseded = membership.IsSuperseded();
      status.members = membership.Members(now);
      status.faults = membership.Faults();
      return status;
    });
  }

  base::Result<void> Prepare(std::uint64_t version, std::uint64_t id) {
    WithMembership([&](Membership& membership) {
      membership.Prepare(version, id);
      return true;
    });
    const base::TimePoint end = m_clock.Now() + kPrepareDeadline;
    while (m_clock.Now() < end) {
      if (WithMembership(
              [](Membership& membership) { return membership.IsPrepared(); })) {
        return {};
      }
      if (WithMembership([](Membership& membership) {
            return membership.KnownHead().version;
          }) >= version) {
        return base::Fail(base::ErrorCode::kConflict,
                          "Another edit was committed as this version first.");
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return base::Fail(
        base::ErrorCode::kUnavailable,
        "No majority of the members promised in time; nothing was accepted.");
  }

  InForceResult WaitUntilInForce(std::uint64_t version) {
    const base::TimePoint end =
        m_clock.Now() + m_options.times.freshness + kExpiryMargin;
    InForceResult result;
    while (true) {
      result.missing = WithMembership([&](Membership& membership) {
        return membership.MembersWithoutVersion(version);
      });
      result.expired = m_clock.Now() >= end;
      if (result.missing.empty() || result.expired) {
        return result;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  const MemberRecord& Self() const { return m_self; }
  base::TimePoint Now() const { return m_clock.Now(); }

 private:
  static constexpr base::Duration kNever = base::Duration::min();

  void UpdateConfirmedTime() {
    const base::TimePoint now = m_clock.Now();
    const auto confirmed = m_membership->ConfirmedAt(now);
    const bool valid = confirmed && !m_membership->IsSuperseded();
    m_confirmed_at =
        valid ? confirmed->time_since_epoch().count() : kNever.count();
  }

  std::vector<Datagram> OnDatagram(std::string_view datagram,
                                   const std::string& from) {
    const base::TimePoint now = m_clock.Now();
    return WithMembership([&](Membership& membership) {
      return membership.Receive(datagram, from, now, m_random);
    });
  }

  std::vector<Datagram> OnTick() {
    const base::TimePoint now = m_clock.Now();
    MemberActions actions = WithMembership(
        [&](Membership& membership) { return membership.Tick(now, m_random); });
    const std::lock_guard lock(m_mutex);
    m_pending_actions.read_head |= actions.read_head;
    m_pending_actions.read_list |= actions.read_list;
    if (actions.pull) {
      m_pending_actions.pull = std::move(actions.pull);
    }
    m_wake.notify_all();
    return std::move(actions.datagrams);
  }

  bool HasWork() const {
    return m_pending_actions.read_head || m_pending_actions.read_list ||
           m_pending_actions.pull;
  }

  void RunTableThread() {
    std::unique_lock lock(m_mutex);
    while (true) {
      m_wake.wait(lock, [this] { return m_stopping || HasWork(); });
      if (m_stopping) {
        return;
      }
      const MemberActions work = std::exchange(m_pending_actions, {});
      lock.unlock();
      if (work.read_head) {
        RefreshHead();
      }
      if (work.pull) {
        PullBody(*work.pull);
      }
      if (work.read_list) {
        RefreshMemberList();
      }
      lock.lock();
    }
  }

  void RefreshHead() {
    const base::TimePoint started = m_clock.Now();
    const auto row = ReadHead(m_table);
    WithMembership([&](Membership& membership) {
      row ? membership.ObserveHead(row->head, started)
          : membership.ObserveStoreFailure();
      return true;
    });
  }

  void RefreshMemberList() {
    if (!m_joined) {
      const auto joined = WriteMember(m_table, m_self, NextNonce());
      m_joined = joined.has_value();
      if (!joined && joined.error().code == base::ErrorCode::kConflict) {
        m_log.Warn(joined.error().message);
      }
    }
    const auto list = ReadMembers(m_table);
    if (list) {
      WithMembership([&](Membership& membership) {
        membership.ObserveList(*list, m_clock.Now());
        return true;
      });
      const auto removal = WithMembership([&](Membership& membership) {
        return membership.NextRemoval(m_clock.Now());
      });
      if (removal && RemoveMember(m_table, *removal, NextNonce())) {
        m_log.Info("Removed the member " + removal->name +
                   " from the member list.");
      }
      m_joined = IsListed(*list);
    }
  }

  // Whether this process is in the list. Its row may have been removed while
  // the process was unreachable; the row is then written again.
  bool IsListed(const std::vector<MemberRecord>& list) const {
    return std::any_of(list.begin(), list.end(), [this](const auto& record) {
      return record.name == m_self.name;
    });
  }

  std::string NextNonce() {
    const std::lock_guard lock(m_mutex);
    return base::MakeId(m_random);
  }

  void PullBody(const BodyPull& pull) {
    const auto body = ReadBody(m_table, pull.head.version);
    if (body && PutInForce(pull.head, *body)) {
      return;
    }
    for (const std::string& address : pull.peers) {
      const auto reply = AskPeer(address, {pull.head.version, NextNonce()},
                                 m_options.fleet_secret, kPullTimeout);
      if (!reply) {
        continue;
      }
      WithMembership([&](Membership& membership) {
        membership.LearnList(reply->list, m_clock.Now());
        return true;
      });
      if (PutInForce(pull.head, reply->text)) {
        return;
      }
    }
  }

  // Puts a text in force if its digest is that of the head.
  bool PutInForce(const ConfigHead& head, const std::string& text) {
    if (base::Sha256Hex(text) != head.digest) {
      return false;
    }
    auto fleet =
        config::ReadFleet(text, fmt::format("version {}", head.version));
    if (!fleet) {
      m_log.Error(
          fmt::format("Configuration version {} can't be read by this release.",
                      head.version));
      return false;
    }
    auto accepted = std::make_shared<config::AcceptedFleet>();
    accepted->version = head.version;
    accepted->digest = head.digest;
    accepted->text = text;
    accepted->fleet = std::move(*fleet);
    Publish(std::move(accepted));
    m_log.Info(
        fmt::format("Configuration version {} is in force.", head.version));
    return true;
  }

  // Publishes a version unless one that is as new or newer is in force.
  void Publish(std::shared_ptr<const config::AcceptedFleet> accepted) {
    const std::uint64_t version = accepted->version;
    {
      const std::lock_guard lock(m_fleet_mutex);
      if (m_fleet && m_fleet->version >= version) {
        return;
      }
      m_fleet = std::move(accepted);
    }
    WithMembership([&](Membership& membership) {
      membership.SetInForce(version);
      return true;
    });
  }

  PeerReply AnswerPeer(const PeerRequest& request) {
    PeerReply reply;
    const auto fleet = Current();
    if (fleet && fleet->version == request.version) {
      reply.version = fleet->version;
      reply.text = fleet->text;
    }
    const std::lock_guard lock(m_mutex);
    if (m_membership) {
      reply.list = m_membership->List();
    }
    return reply;
  }

  MemberOptions m_options;
  platform::Table& m_table;
  const base::Clock& m_clock;
  MemberRecord m_self;
  // Whether this member is in the table's list. Only used on the table thread.
  bool m_joined = false;

  std::mutex m_mutex;  // Guards the fields up to the next mutex.
  base::Random m_random;
  std::unique_ptr<Membership> m_membership;
  MemberActions m_pending_actions;
  bool m_stopping = false;
  std::condition_variable m_wake;

  mutable std::mutex m_fleet_mutex;
  std::shared_ptr<const config::AcceptedFleet> m_fleet;

  // When the version in force was last confirmed to be the head. Atomic, so
  // that IsFresh needs no lock.
  std::atomic<base::Duration::rep> m_confirmed_at{kNever.count()};
  base::Log m_log;
  std::thread m_table_thread;
  Sockets m_sockets;
};

base::Result<std::unique_ptr<Member>> Member::Create(MemberOptions options,
                                                     platform::Table& table,
                                                     const base::Clock& clock) {
  auto impl = std::make_unique<Impl>(std::move(options), table, clock);
  const base::Result<void> bound = impl->Bind();
  if (!bound) {
    return tl::unexpected(bound.error());
  }
  return std::unique_ptr<Member>(new Member(std::move(impl)));
}

Member::Member(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Member::~Member() = default;

void Member::Start() {
  m_impl->Start();
}

void Member::Stop() {
  m_impl->Stop();
}

std::string Member::Address() const {
  return m_impl->Self().address;
}

std::shared_ptr<const config::AcceptedFleet> Member::Current() const {
  return m_impl->Current();
}

bool Member::IsFresh(base::TimePoint now) const {
  return m_impl->IsFresh(now);
}

base::Result<void> Member::Prepare(std::uint64_t version, std::uint64_t id) {
  return m_impl->Prepare(version, id);
}

void Member::AbortPrepare() {
  m_impl->WithMembership([this](Membership& membership) {
    membership.AbortPrepare(m_impl->Now());
    return true;
  });
}

void Member::Announce(const ConfigHead& head, base::TimePoint started) {
  m_impl->WithMembership([&](Membership& membership) {
    membership.ObserveHead(head, started);
    membership.BroadcastHead();
    return true;
  });
}

EditQuorum::InForceResult Member::WaitUntilInForce(std::uint64_t version) {
  return m_impl->WaitUntilInForce(version);
}

MemberStatus Member::Status() const {
  return m_impl->Status();
}

std::string Member::OwnerId() const {
  return MakeOwnerId(m_impl->Self());
}

std::vector<std::string> Member::LiveControlOwners() const {
  std::vector<std::string> owners;
  for (const MemberView& view : Status().members) {
    if (view.record.role == MemberRole::kControl &&
        view.state != MemberState::kDead) {
      owners.push_back(MakeOwnerId(view.record));
    }
  }
  return owners;
}

void Member::SetShardCount(std::uint16_t shards) {
  m_impl->WithMembership([&](Membership& membership) {
    membership.SetShardCount(shards);
    return true;
  });
}

void Member::SetSeeds(std::vector<std::string> seeds) {
  m_impl->WithMembership([&](Membership& membership) {
    membership.SetSeeds(std::move(seeds));
    return true;
  });
}

}  // namespace cassiastile::member
