#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/peer_port.hpp"
#include "cassiastile/host/ports.hpp"

namespace cassiastile::host {

// A live host that could relay calls.
struct RelayCandidate {
  std::string host;
  std::string endpoint;        // Of its peer interface.
  double processor_share = 0;  // Of one core.
};

// Parameters of RelayedWorkers.
struct RelayedWorkersOptions {
  // Fleets of fewer workers are called by the leader itself: a relay costs a
  // hop and a part of another host's processor.
  std::size_t min_workers = 100;
  // A relay serves about this many workers of its availability zone.
  std::size_t workers_per_relay = 40;
};

// The leader's way to its workers. In a large fleet other hosts carry the calls
// out, each for workers of its own availability zone, so that the leader's
// processor and link carry only what it decides. A call whose relay gave no
// answer fails like one whose worker gave none, and the worker is then called
// directly for a while: a relay that can't reach a worker must not make it look
// silent.
class RelayedWorkers final : public WorkerPort {
 public:
  // The references must outlive it. `own_endpoint` is that of this host's peer
  // interface.
  RelayedWorkers(WorkerPort& direct,
                 PeerPort& peers,
                 Loop& loop,
                 EventLog& log,
                 std::string own_endpoint,
                 RelayedWorkersOptions options = {});

  // Chooses relays among the live hosts, for a fleet of this many workers by
  // availability zone. To be called a few times a second, with the fencing
  // token of the term.
  void ChooseRelays(std::uint64_t fence,
                    const std::vector<RelayCandidate>& candidates,
                    const std::map<std::string, std::size_t>& workers_of_zone);
  // Completes the calls whose outcomes a relay sent.
  void HandleResults(RelayResults results);
  std::size_t RelayCount() const;
  // Number of calls that this host has made itself since it was last asked.
  std::size_t TakeDirectCalls() { return std::exchange(m_direct_calls, 0); }

  void Extend(
      const WorkerAddress& worker,
      const LeaseExtension& extension,
      std::function<void(tl::expected<jobs::WorkerReport, WorkerCallFailure>)>
          done) override;
  void Start(const WorkerAddress& worker,
             const jobs::StartOrder& order,
             std::uint64_t fence,
             std::chrono::milliseconds until,
             std::function<void(const StartAnswer&)> done) override;
  void Stop(const WorkerAddress& worker,
            const jobs::StopOrder& order,
            std::uint64_t fence,
            std::function<void(bool)> done) override;
  void Pace(const WorkerAddress& worker,
            const jobs::PaceOrder& order,
            std::uint64_t fence,
            std::function<void(bool)> done) override;

 private:
  using ExtendDone =
      std::function<void(tl::expected<jobs::WorkerReport, WorkerCallFailure>)>;
  using StartDone = std::function<void(const StartAnswer&)>;
  using ChangeDone = std::function<void(bool)>;
  using Done = std::variant<ExtendDone, StartDone, ChangeDone>;

  // A host that relays, or may.
  struct Relay {
    std::string host;
    std::string endpoint;
    double processor_share = 0;
    std::string availability_zone;
    std::string incarnation;  // Empty until it has answered.
    // Its clock, and our time when it was received.
    std::int64_t steady_ms = 0;
    base::TimePoint clock_at{};
    base::TimePoint asked_at{};
    bool is_asking = false;
    base::TimePoint failed_at{};
    bool is_live = false;    // Among the newest candidates.
    bool is_chosen = false;  // Gets calls.
    bool has_worker_fences = false;
    bool is_armed = false;          // The next batch will be sent soon.
    base::TimePoint batch_since{};  // When the batch got its first call.
    RelayBatch batch;               // The next one.
    std::unordered_map<std::string, std::uint32_t> worker_index;
    std::unordered_map<std::string, std::uint32_t> payload_index;
  };
  // A call whose outcome is awaited.
  struct Pending {
    std::string relay;
    std::string worker;
    base::TimePoint deadline{};
    Done done;
  };

  // The relay for a call to a worker with this fencing token, or null to call
  // it directly.
  Relay* RelayFor(const WorkerAddress& worker, std::uint64_t fence);
  std::vector<Relay*> RankZone(const std::string& zone);
  bool IsUsable(const Relay& relay) const;
  // Adds a call to the next batch and returns its number.
  std::uint64_t AddCall(Relay& relay,
                        const WorkerAddress& worker,
                        base::Duration timeout,
                        Done done);
  static std::uint32_t IndexOf(Relay& relay,
                               const WorkerAddress& worker,
                               std::uint64_t fence);
  void Send(const std::string& host);
  void HandleReply(const std::string& host,
                   const std::vector<std::uint64_t>& calls,
                   base::TimePoint sent_at,
                   const tl::expected<RelayReply, PeerPort::Failure>& reply);
  // Completes calls that were certainly not carried out.
  void FailUnsent(const std::vector<std::uint64_t>& calls);
  // Ends starts that were not sent and come too late.
  void GiveUpStarts(const std::vector<RelayedStart>& starts);
  void FailLate();
  // Completes a call as one without an answer.
  static void FailUnanswered(const Done& done, bool surely_unsent);
  void DropRelay(const std::string& host);
  template <typename Complete>
  void CompleteCall(std::uint64_t call, const Complete& complete);

  WorkerPort& m_direct;
  PeerPort& m_peers;
  Loop& m_loop;
  EventLog& m_log;
  std::string m_own_endpoint;
  RelayedWorkersOptions m_options;
  std::uint64_t m_fence = 0;                            // Of the term.
  std::map<std::string, Relay> m_relays;                // By host.
  std::map<std::string, std::vector<Relay*>> m_chosen;  // By zone.
  std::chrono::milliseconds m_collect{0};
  std::uint64_t m_last_call = 0;
  std::unordered_map<std::uint64_t, Pending> m_pending;
  // Workers that are called directly until a time, after a relayed call failed.
  std::unordered_map<std::string, base::TimePoint> m_direct_until;
  base::TimePoint m_checked_at{};
  std::size_t m_direct_calls = 0;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
