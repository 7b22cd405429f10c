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

struct TaskOwnerOptions {
  TaskShardOptions shard;
  // How often credits are fetched that a team waits for, and how often those
  // not needed are given back.
  base::Duration credit_fetch = std::chrono::milliseconds(500);
  base::Duration credit_return = std::chrono::seconds(3);
  // Waits between tries while the table fails.
  base::Duration first_backoff = std::chrono::milliseconds(100);
  base::Duration longest_backoff = std::chrono::seconds(2);
  // Whether submissions are taken while the table is still being read.
  bool open_while_reading = true;
};

// What became of an event.
enum class Effect : std::uint8_t {
  kCommitted,  // Its rows are written, or it needed none.
  kNotRun,     // Nothing was written and nothing will be.
  kUnknown,    // The table's answer was lost; the event may be repeated.
};

std::string_view NameOf(Effect effect);

struct TaskResult {
  Effect effect = Effect::kCommitted;
  TaskReply reply;
  std::optional<PollAnswer> answer;  // For polls.
};

// Proof of ownership: the shard's epoch and the precondition for its writes.
struct OwnerLease {
  std::uint64_t epoch = 0;
  platform::Precondition fence;
};

// Runs a shard on its rows: decides, writes, and answers only what is written.
// Reads everything again when the epoch changes or a precondition failed, a
// page with each call; meanwhile it takes submissions of ids that the table
// does not have, renews workers' leases, and refuses the rest as not run. While
// the table fails it goes on renewing workers' leases. Calls block on the
// table; one thread at a time.
class TaskOwner {
 public:
  TaskOwner(const std::string& pool,
            TaskOwnerOptions options,
            platform::Table& table,
            base::DecisionSink& decisions,
            base::Random random);

  void SetFleet(const config::AcceptedFleet& accepted);
  void SetHosts(const std::vector<fleet::HostView>& hosts);

  // Handles the events and what the time brings. Results are in their order.
  std::vector<TaskResult> Handle(const std::vector<TaskEvent>& events,
                                 Moment moment,
                                 const OwnerLease& grip);

  // Whether the shard shows what the table holds: everything was read, and no
  // write is under way.
  bool IsSettled() const;

  // Batches that had rows and were sent to the table.
  std::uint64_t BatchesWritten() const;

  const TaskShard& Shard() const;
  TaskShard& Shard();

 private:
  bool Prepare(Moment moment, const OwnerLease& grip);
  std::vector<TaskResult> HandleWhileReading(
      const std::vector<TaskEvent>& events,
      Moment moment);
  bool ResolvePending();
  bool ReadIfNeeded(Moment moment);
  void BeginRead();
  void ExchangeCredits(Moment moment);
  std::map<std::string, LimitNeed> LimitNeeds() const;
  bool WaitsForCredit() const;
  Effect WriteBatch(TaskBatch& batch);
  void NoteFailure(base::TimePoint now);
  std::vector<TaskResult> AnswerNothing(const std::vector<TaskEvent>& events,
                                        base::TimePoint now);
  PollAnswer MakeRenewal() const;
  // Records those that hold although the batch was taken back.
  void RecordRefusals(std::vector<base::Decision> decisions);
  void Record(std::vector<base::Decision> decisions);

  TaskOwnerOptions m_options;
  base::DecisionSink& m_decisions;
  TaskShard m_shard;
  TaskStore m_store;
  std::map<std::string, std::uint32_t> m_limits;
  TeamGrants m_grants;
  OwnerLease m_grip;
  std::vector<base::Decision> m_pending_decisions;
  bool m_must_read = true;
  std::optional<std::string> m_read_after;  // The last key of a read begun.
  std::uint64_t m_batches_written = 0;
  base::TimePoint m_credits_at{};
  base::TimePoint m_retry_at{};
  base::Duration m_backoff{};
};

}  // namespace cassiastile::work
