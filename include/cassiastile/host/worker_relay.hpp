#pragma once

#include <string>
#include <unordered_map>

#include "cassiastile/host/event_log.hpp"
#include "cassiastile/host/loop.hpp"
#include "cassiastile/host/peer_port.hpp"
#include "cassiastile/host/ports.hpp"

namespace cassiastile::host {

// The process and place of a relay, for its replies.
struct RelayIdentity {
  std::string incarnation;
  std::string availability_zone;
};

// Carries out a leader's calls to workers on another host, so that connections,
// JSON and bytes of a large fleet are spread over the hosts. It decides
// nothing, and keeps nothing but outcomes that are on their way.
class WorkerRelay {
 public:
  // The references must outlive the relay.
  WorkerRelay(WorkerPort& workers,
              PeerPort& peers,
              Loop& loop,
              EventLog& log,
              RelayIdentity identity);

  // Starts the calls of a batch unless it is late, meant for another process
  // or from a leader that has been succeeded.
  RelayReply Handle(const RelayBatch& batch);

 private:
  // Outcomes for one leader that wait to be sent.
  struct Outbox {
    std::string endpoint;
    std::chrono::milliseconds collect{0};
    bool is_armed = false;
    RelayResults results;
  };

  void NoteAnswer(const std::string& worker, bool answered);
  // Whether a call to the worker has failed that the leader may not know of
  // yet. Another incarnation may answer the next one, and must get no
  // acknowledgement of ends that it did not list.
  bool MayHaveRestarted(const std::string& worker) const;
  RelayVerdict Check(const RelayBatch& batch, std::int64_t steady_ms) const;
  void Carry(const RelayBatch& batch);
  // The outbox of the leader with this fencing token, which will be sent soon;
  // null if there is another leader by now.
  Outbox* Collect(std::uint64_t fence);
  void Flush();

  WorkerPort& m_workers;
  PeerPort& m_peers;
  Loop& m_loop;
  EventLog& m_log;
  RelayIdentity m_identity;
  std::uint64_t m_highest_fence = 0;
  Outbox m_outbox;
  // When the last call to a worker failed, unless it has answered since.
  std::unordered_map<std::string, base::TimePoint> m_failed_at;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
