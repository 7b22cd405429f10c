#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cassiastile/base/random.hpp"
#include "cassiastile/host/config_watcher.hpp"
#include "cassiastile/host/dispatcher.hpp"
#include "cassiastile/host/job_frontend.hpp"
#include "cassiastile/host/peer_message.hpp"

namespace cassiastile::host {

// Calls between hosts.
class PeerPort {
 public:
  struct Failure {
    bool refused = false;  // No process listens there; nothing was done.
  };
  template <typename Value>
  using Done = std::function<void(tl::expected<Value, Failure>)>;

  virtual ~PeerPort() = default;
  virtual void Greet(const std::string& endpoint,
                     const GossipMessage& greeting,
                     Done<GossipMessage> done) = 0;
  virtual void Ask(const std::string& endpoint,
                   const JobRequest& request,
                   std::chrono::milliseconds timeout,
                   Done<JobAnswer> done) = 0;
};

// One entry host: takes callers' requests, follows the configuration and, when
// it holds the office, gives the orders. Any host may hold it; who does is a
// row in the platform's table.
class HostNode {
 public:
  HostNode(HostPorts ports,
           PeerPort& peers,
           Loop& loop,
           EventLog& log,
           HostSettings settings,
           JobFrontendFormat format,
           base::Random random);

  void Begin();
  void Handle(const wire::HttpRequest& request,
              const wire::HttpResponder& respond);
  GossipMessage HandleGossip(const GossipMessage& greeting);
  void Asked(const JobRequest& request,
             const std::function<void(JobAnswer)>& respond);
  bool IsReady() const;

  // Stops taking part: not ready any more, the office passes on.
  void BeginStop();
  // Whether all that was taken is answered and the office has passed on.
  bool IsReadyToExit() const;

  const Dispatcher* LeaderDispatcher() const { return m_dispatcher.get(); }
  const ConfigWatcher& Config() const { return m_config; }
  const HostSettings& Settings() const { return m_settings; }

 private:
  struct Peer {
    std::string endpoint;
    base::TimePoint heard{};
    bool store_answers = false;
    double processor_share = 0;
  };

  void Announce();
  void FindPeers();
  void KeepGreeting();
  void Greet();
  void HolderRefused();
  void SendGreeting(const std::string& endpoint);
  void SendGreeting(const std::string& endpoint, const GossipMessage& greeting);
  void FetchConfig(const std::string& endpoint);
  GossipMessage MakeGreeting(std::uint64_t known_version,
                             bool with_config) const;
  void TakeGreeting(const GossipMessage& greeting);
  void TakeNotice(const LeaderAnnouncement& notice);
  void WatchOffice();
  void CheckOffice();
  void SawOffice(const ObservedLeaderRecord& sight);
  std::string WhyTaken(const ObservedLeaderRecord& sight) const;
  void TakeOffice(const ObservedLeaderRecord& sight);
  // Whether a host with much more of a processor could hold the office.
  // Which peers count: those that lately reached the store, or all.
  enum class StoreSight : std::uint8_t { kAnswers, kAny };
  bool HasStrongerPeer(StoreSight sight) const;
  void PassToStronger();
  void PassOffice();
  void Elected();
  void OfficeLost();
  void AskOffice(const JobRequest& request,
                 std::chrono::milliseconds timeout,
                 const std::function<void(JobAnswer)>& respond);
  std::string OwnEndpoint() const;
  bool IsOffice() const { return m_dispatcher != nullptr; }

  HostPorts m_ports;
  PeerPort& m_peers;
  Loop& m_loop;
  EventLog& m_log;
  HostSettings m_settings;
  base::Random m_random;
  std::string m_life;
  ConfigWatcher m_config;
  JobFrontend m_front;
  std::map<std::string, Peer> m_known;  // By host.
  LeaderAnnouncement m_office;
  std::uint32_t m_refusals = 0;  // Of connections to the holder, in a row.
  std::string m_holder_gone;     // A holder whose process is gone.
  base::TimePoint m_office_heard{};
  ObservedLeaderRecord m_sight;
  base::TimePoint m_sight_changed{};
  bool m_checking = false;
  std::chrono::milliseconds m_look_timeout{500};  // Of the next look.
  bool m_taking = false;
  std::unique_ptr<LeaderTransactions> m_candidate;
  std::unique_ptr<Dispatcher> m_dispatcher;
  base::TimePoint m_behind_since{};  // Of a newer configuration.
  base::TimePoint m_config_asked_at{};
  base::TimePoint m_vacant_since{};
  base::TimePoint m_weaker_since{};
  bool m_stopping = false;
  bool m_resigning = false;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
