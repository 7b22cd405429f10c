#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/jobs/job.hpp"
#include "cassiastile/jobs/start_reservations.hpp"
#include "cassiastile/jobs/worker_health.hpp"
#include "cassiastile/jobs/worker_speed.hpp"
#include "cassiastile/jobs/worker_view.hpp"

namespace cassiastile::jobs {

// What the bound of a worker's lease rests on.
enum class LeaseEvidence : std::uint8_t {
  kNone,               // No lease is known of.
  kExtension,          // Sent by this leader.
  kTakeover,           // May have been sent by the previous leader.
  kFormerIncarnation,  // May have been sent to a former incarnation.
};

inline constexpr std::array<base::EnumName<LeaseEvidence>, 4>
    kLeaseEvidenceNames{{
        {LeaseEvidence::kNone, "none"},
        {LeaseEvidence::kExtension, "extension"},
        {LeaseEvidence::kTakeover, "takeover"},
        {LeaseEvidence::kFormerIncarnation, "former incarnation"},
    }};

// A worker as the scheduler knows it.
struct WorkerState {
  WorkerEntry entry;
  bool listed = false;  // The platform's newest list has an entry of its id.
  // This incarnation has reported to this scheduler.
  bool has_reported = false;
  // The incarnation of the last entry of another incarnation, for logs.
  std::int64_t stale_entry_ms = 0;
  base::TimePoint last_report{};
  // Since when it has reported without being silent for a while.
  base::TimePoint heard_since{};
  base::TimePoint last_asked{};   // When the newest report was requested.
  base::TimePoint known_since{};  // This incarnation became known then.
  // Earlier incarnations, the last one at the end. Their start times need not
  // be lower, since clocks may be set back.
  std::vector<std::int64_t> former;
  // The incarnation that `entry` was last read of.
  std::int64_t described_ms = 0;
  // Upper bounds of its lease: nothing ordered so far can still run after both.
  // One is for leases that were meant for this incarnation.
  base::TimePoint lease_bound{};
  LeaseEvidence lease_evidence = LeaseEvidence::kNone;
  // The other is for leases that were meant for a former one: they end at a
  // time of its clock, which may be far ahead of this one's.
  base::TimePoint former_lease_bound{};
  // When a lease was last sent to it. Should it have restarted unheard, that
  // lease may hold what a late start begins there.
  base::TimePoint lease_sent_at{};
  Resources used;               // By runs that may be alive.
  Resources long_running_used;  // The part of `used` for long-running tasks.
  // By runs that its newest report lists and that are not in `runs`. They are
  // being stopped.
  Resources unaccounted;
  // The most of each that this incarnation has said it has.
  Resources largest_capacity;
  // Number of long-running runs, without fillers.
  std::int64_t long_running_runs = 0;
  // Members that are held here of the gang that is being placed.
  std::uint32_t held_members = 0;
  // Reserved in this planning round for a task that fits nowhere yet.
  Resources reserved;
  // The same for a finite task, from a time on.
  std::optional<ReservedStart> reserved_start;
  // Runs that may be alive, as task and run number.
  std::vector<std::pair<TaskRef, std::uint32_t>> runs;
  // Tasks with withdrawn starts on this worker, in any order.
  std::vector<TaskRef> withdrawn;
  // Kept free in this planning round for those of them that wait.
  Resources withheld;
  std::uint64_t last_end = 0;  // Sequence number of the newest end seen.
  // Sequence number of the newest end that the store covers.
  std::uint64_t acked_end = 0;
  // When calls that acknowledge ends were sent that have no answer yet.
  std::vector<base::TimePoint> unanswered_acks;
  // Gets no finite tasks before this time: an acknowledgement for a former
  // incarnation may come until then and make this one forget an end.
  base::TimePoint finite_from{};
  bool takes_finite = true;  // In this planning round, by `finite_from`.
  std::size_t position_in_pool = 0;  // In this planning round's FreeCapacity.
  base::TimePoint cold_until{};      // Until then it is slow; see WorkerEntry.
  WorkerHealth health;
  WorkerSpeed speed;
  bool terminated = false;  // Ended by the leader's own order.
  bool silent = false;      // Did not answer the last call, or was terminated.
  // Gets no new tasks, since it is about to be moved or maintained.
  bool cordoned = false;
  // Its runs are about to be ended by an order that may not have been sent yet.
  // Until then it reports them as serving, which they do not count as.
  bool is_ending = false;
  // That order is a former leader's and may not have been sent at all.
  bool may_stay = false;
  bool wants_report = false;  // A report is needed to settle a run.

  // Raises `lease_bound` unless it is as high.
  void RaiseLeaseBound(base::TimePoint bound, LeaseEvidence evidence);
  // The later of both bounds, and what it rests on.
  base::TimePoint LeaseEnd() const;
  LeaseEvidence EvidenceOfLeaseEnd() const;
  // Add a run of a step to the capacity in use, and remove it.
  void Use(const StepSpec& step);
  void Release(const StepSpec& step);
  // Replaces the entry by a newer one of the same incarnation.
  void SetEntry(const WorkerEntry& newer);
  // The capacity that a task lacks here, in thousandths of a core.
  std::int64_t MissingFor(const Resources& need) const;
  // Whether its last call was answered by this incarnation.
  bool Answers() const;
  // Whether an earlier incarnation had this start time.
  bool IsFormer(std::int64_t incarnation_ms) const;
  // Whether a task is among `withdrawn`, and adds it once.
  bool HasWithdrawn(const TaskRef& ref) const;
  // Whether a withdrawn start on this worker binds the task to it.
  bool Binds(const TaskRef& ref) const;
  void AddWithdrawn(const TaskRef& ref);
};

}  // namespace cassiastile::jobs
