#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/decision.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/fleet/host_view.hpp"
#include "cassiastile/platform/table.hpp"
#include "cassiastile/work/task_shard.hpp"
#include "cassiastile/work/task_store.hpp"

namespace cassiastile::work {

// Settings of a TaskOwner.
struct TaskOwnerOptions {
  TaskShardOptions shard;
  // How often credits are exchanged: while a team waits for more, and
  // otherwise, to return unused ones.
  base::Duration credit_fetch_interval = std::chrono::milliseconds(500);
  base::Duration credit_return_interval = std::chrono::seconds(3);
  // Waits between attempts while the table fails.
  base::Duration first_backoff = std::chrono::milliseconds(100);
  base::Duration max_backoff = std::chrono::seconds(2);
  // Whether submissions are accepted while the table is still being read.
  bool accept_submissions_while_reading = true;
};

// Whether an event took effect.
enum class Effect : std::uint8_t {
  kCommitted,  // Its rows are written, or it needed none.
  kNotRun,     // Nothing was written, and nothing will be.
  kUnknown,    // The table's answer was lost. The event may be sent again.
};

std::string_view NameOf(Effect effect);

// The outcome of one event.
struct TaskResult {
  Effect effect = Effect::kCommitted;
  TaskReply reply;
  std::optional<PollAnswer> answer;  // For polls.
};

// Proof of ownership of a shard: its epoch and the fencing precondition for its
// writes.
struct OwnerLease {
  std::uint64_t epoch = 0;
  platform::Precondition fence;
};

// Runs a shard on its rows in the table: decides, writes, and confirms only
// what is written. Calls block on the table. Not thread-safe.
//
// Reads all rows again when the epoch changes or a precondition failed, one
// page per call. Until all are read, it accepts submissions of ids that the
// table does not have, and rejects other events with kNotRun. Workers' leases
// are renewed meanwhile, and also while the table fails.
class TaskOwner {
 public:
  // The table and the sink must outlive the owner.
  TaskOwner(const std::string& pool,
            TaskOwnerOptions options,
            platform::Table& table,
            base::DecisionSink& decisions,
            base::Random random);

  void SetFleet(const config::AcceptedFleet& accepted);
  void SetHosts(const std::vector<fleet::HostView>& hosts);

  // Handles the events and timeouts. Returns one result per event, in their
  // order.
  std::vector<TaskResult> ProcessEvents(const std::vector<TaskEvent>& events,
                                        Moment moment,
                                        const OwnerLease& owner_lease);

  // Whether the shard reflects the table: everything was read, and no write is
  // pending.
  bool IsSettled() const;

  // The number of batches with rows that were sent to the table.
  std::uint64_t BatchesWritten() const;

  const TaskShard& Shard() const;
  TaskShard& Shard();

 private:
  // Prepares for events: adopts a new lease, resolves a pending write and reads
  // a page if needed. Returns false during a backoff or when the table failed.
  bool Prepare(Moment moment, const OwnerLease& owner_lease);
  std::vector<TaskResult> HandleWhileReading(
      const std::vector<TaskEvent>& events,
      Moment moment);
  // Returns false while the outcome of the pending write is unknown.
  bool ResolvePending();
  // Reads the next page unless all were read. Returns false on failure.
  bool ReadIfNeeded(Moment moment);
  void BeginRead();
  void ExchangeCredits(Moment moment);
  std::map<std::string, LimitNeed> LimitNeeds() const;
  bool WaitsForCredit() const;
  Effect WriteBatch(TaskBatch& batch);
  void StartBackoff(base::TimePoint now);
  std::vector<TaskResult> RejectAll(const std::vector<TaskEvent>& events,
                                    base::TimePoint now);
  PollAnswer MakeRenewal() const;
  // Records the decisions that hold although the batch was rolled back.
  void RecordRefusals(std::vector<base::Decision> decisions);
  void Record(std::vector<base::Decision> decisions);

  TaskOwnerOptions m_options;
  base::DecisionSink& m_decisions;
  TaskShard m_shard;
  TaskStore m_store;
  std::map<std::string, std::uint32_t> m_limits;
  TeamGrants m_grants;
  OwnerLease m_owner_lease;
  std::vector<base::Decision> m_pending_decisions;
  bool m_must_read = true;
  // The last key of a read in progress.
  std::optional<std::string> m_read_after;
  std::uint64_t m_batches_written = 0;
  base::TimePoint m_last_credit_exchange{};
  base::TimePoint m_retry_at{};
  base::Duration m_backoff{};
};

}  // namespace cassiastile::work
