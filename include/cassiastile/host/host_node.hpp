#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cassiastile/base/random.hpp"
#include "cassiastile/host/config_watcher.hpp"
#include "cassiastile/host/dispatcher.hpp"
#include "cassiastile/host/job_frontend.hpp"
#include "cassiastile/host/leader_loss.hpp"
#include "cassiastile/host/odd_entries.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/host/peer_port.hpp"
#include "cassiastile/host/worker_relay.hpp"

namespace cassiastile::host {

// One scheduler host (cassia-host): serves callers' requests, follows the
// configuration and, while it is the leader, schedules jobs on the workers. Any
// host can become the leader; a row in the table store says which one is. Use
// it on the loop's thread only.
class HostNode {
 public:
  // The references, also those in `dependencies`, must outlive the node.
  HostNode(HostDependencies dependencies,
           PeerPort& peers,
           Loop& loop,
           EventLog& log,
           HostSettings settings,
           JobFrontendFormat format,
           base::Random random);

  // Registers the host and starts gossip and leader election.
  void Begin();
  // Serves a caller's HTTP request.
  void ServeCaller(const wire::HttpRequest& request,
                   const wire::HttpResponder& respond);
  // Merges a peer's gossip message and returns this host's own.
  GossipMessage HandleGossip(const GossipMessage& gossip);
  // Answers a job request that another host forwarded; with kNotLeader unless
  // this host is the leader.
  void HandleJobRequest(const JobRequest& request,
                        const std::function<void(JobAnswer)>& respond);
  // Carries out calls to workers for the leader.
  RelayReply HandleRelayBatch(const RelayBatch& batch);
  // Takes outcomes of calls that another host carried out for this one.
  void HandleRelayResults(RelayResults results);
  // Whether callers may be sent here: a configuration is in force and the host
  // is not stopping.
  bool IsReady() const;

  // Starts a graceful stop: the host is no longer ready and resigns if it is
  // the leader.
  void BeginStop();
  // Whether every caller's request is answered and this host is not the leader.
  bool IsReadyToExit() const;
  // Answers all callers that still wait. The process exits soon.
  void CloseFrontend() { m_frontend.Close(); }

  // Null unless this host is the leader. Valid until the current callback of
  // the loop returns.
  const Dispatcher* LeaderDispatcher() const { return m_dispatcher.get(); }
  const ConfigWatcher& GetConfigWatcher() const { return m_config_watcher; }
  const HostSettings& Settings() const { return m_settings; }

 private:
  // A time of base::TimePoint{} means here that the event has not happened or
  // that the condition does not hold.

  struct Peer {
    std::string endpoint;
    base::TimePoint heard_at{};
    bool store_reachable = false;
    double processor_share = 0;
    // What it told of which leader; see GossipMessage::leader_silence_ms.
    std::uint64_t leader_fence = 0;
    std::chrono::milliseconds leader_silence{0};
  };

  void RegisterEndpoint();
  void FindPeers();
  void GossipPeriodically();
  void Gossip();
  void HandleLeaderConnectionRefused();
  void SendGossip(const std::string& endpoint);
  void SendGossip(const std::string& endpoint, const GossipMessage& gossip);
  void FetchConfig(const std::string& endpoint);
  GossipMessage MakeGossip(std::uint64_t known_version, bool with_config) const;
  // Whether calls can go to the addresses that the message names.
  bool HasAddresses(const GossipMessage& gossip);
  void MergeGossip(const GossipMessage& gossip);
  void HandleAnnouncement(const LeaderAnnouncement& announcement);
  void WatchLeader();
  // Whether the loop has run nothing for so long that submissions which waited
  // in this host's sockets may be older than the markers of their cancels: the
  // process was stopped, or its machine suspended.
  bool IsLongPause() const;
  // Logs a pause that has just ended.
  void NotePause();
  // Passes on no submission that may be that old, and returns whether it is.
  bool DropOldSubmission(const JobRequest& request,
                         const std::function<void(JobAnswer)>& respond);
  // Tells the dispatcher which hosts may relay its calls.
  void OfferRelays();
  // Reads the leader's record, and tries to acquire leadership if the record
  // allows it.
  void CheckLeader();
  void HandleLeaderRecord(const ObservedLeaderRecord& observed);
  LeaderSigns CollectLeaderSigns(base::TimePoint now) const;
  std::string AcquisitionReason(const ObservedLeaderRecord& observed) const;
  void AcquireLeadership(const ObservedLeaderRecord& observed);
  // Which live peers HasStrongerPeer counts: those whose last gossip says that
  // they can reach the store, or all.
  enum class PeerFilter : std::uint8_t { kStoreReachable, kAll };
  // Whether a live peer has a much larger processor share than this host.
  bool HasStrongerPeer(PeerFilter filter) const;
  void YieldToStrongerPeer();
  void ResignLeadership();
  void BecomeLeader();
  // Tells the dispatcher of a leader which zones to evacuate.
  void ApplyEvacuations();
  // Ends the term of this host after it resigned or lost the leadership.
  void HandleTermEnded();
  // Whether none of the known peers was heard lately: another one may lead.
  bool IsIsolated() const;
  // An isolated leader without the store can't tell whether its successor has
  // accepted the job, so it does not refuse one for the store.
  void AnswerAsLeader(const JobRequest& request,
                      const std::function<void(JobAnswer)>& respond);
  void SendToLeader(const JobRequest& request,
                    std::chrono::milliseconds timeout,
                    const std::function<void(JobAnswer)>& respond);
  std::string OwnEndpoint() const;
  bool IsLeader() const { return m_dispatcher != nullptr; }

  HostDependencies m_dependencies;
  PeerPort& m_peer_port;
  Loop& m_loop;
  EventLog& m_log;
  OddEntries m_odd_peers;
  HostSettings m_settings;
  base::Random m_random;
  std::string m_incarnation;
  ConfigWatcher m_config_watcher;
  JobFrontend m_frontend;
  WorkerRelay m_worker_relay;
  std::map<std::string, Peer> m_known_peers;  // By host.
  LeaderAnnouncement m_leader;
  // Consecutive refused connections to the leader.
  std::uint32_t m_leader_connection_refusals = 0;
  // A leader that may be replaced before its timeout: its process is gone, or
  // it asked for a takeover.
  std::string m_replaceable_leader;
  base::TimePoint m_leader_heard_at{};
  // Fencing token of a leader to which no connection came about since it was
  // last heard; zero for none. While it is silent, requests are refused at
  // once.
  std::uint64_t m_unreachable_fence = 0;
  ObservedLeaderRecord m_last_record;
  base::TimePoint m_record_changed_at{};
  bool m_reading_record = false;
  // Of the next read of the leader's record; starts at kFirstReadTimeout.
  std::chrono::milliseconds m_record_read_timeout{500};
  bool m_acquiring = false;
  // Of the last attempt to acquire leadership; moved to the dispatcher when it
  // succeeds.
  std::unique_ptr<LeaderTransactions> m_acquiring_transactions;
  std::unique_ptr<Dispatcher> m_dispatcher;
  // Since when a peer has a newer configuration.
  base::TimePoint m_config_behind_since{};
  base::TimePoint m_config_requested_at{};
  // Since when the leader's record has allowed another host to take over.
  base::TimePoint m_replaceable_since{};
  // Since when this leader has known a stronger peer; the time of the last
  // check while there is none.
  base::TimePoint m_stronger_peer_since{};
  // When WatchLeader last ran.
  base::TimePoint m_watched_at{};
  base::WallTime m_watched_wall{};
  // After a long pause, requests that waited for its end may be read until
  // then.
  base::TimePoint m_backlog_until{};
  bool m_stopping = false;
  bool m_resigning = false;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
