#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/sim/worker_model.hpp"

namespace cassiastile::sim {

// How long nothing must have been disrupted for a rule with a time bound to
// hold.
inline constexpr std::chrono::milliseconds kContactTime{3000};
// From a cancelling's acknowledgement to the last start, and how long a run may
// go on after that.
inline constexpr std::chrono::milliseconds kCancelTime{3000};
inline constexpr std::chrono::milliseconds kStopTime{200};
// From when a job is said to be done to the last start of one of its tasks.
inline constexpr std::chrono::milliseconds kEndKnownTime{1000};
// From a job's acceptance until it counts in its queue, and the greatest age of
// the count.
inline constexpr std::chrono::milliseconds kVisibleTime{3000};
inline constexpr std::chrono::milliseconds kQueueLengthAge{2000};

// Which bounds of a queue's length an answer is judged by.
enum class QueueLengthBounds : std::uint8_t { kBoth, kLower };

// Checks the invariants of runs, from the requests and answers of callers and
// from what workers observe. Each violation is a sentence. Not thread-safe.
class InvariantChecker final : public RunObserver {
 public:
  // With a clock, which must outlive it, violations about starts have the times
  // of the last events of their task.
  explicit InvariantChecker(const base::Clock* clock = nullptr);

  // A caller is about to submit a job; its tasks may run from now on.
  void JobSubmitted(const std::string& job, jobs::JobSpec spec);
  // Every attempt to hand the job in was refused.
  void Refused(const std::string& job);
  // The caller was told that the job is accepted.
  void Accepted(const std::string& job);
  // The caller was told that the job is cancelled, or that there is none.
  void CancelAcknowledged(const std::string& job);
  // A caller was told that the job is in this phase.
  void PhaseReported(const std::string& job, jobs::JobPhase phase);

  // These need a clock, and judge answers by what was known when their request
  // was sent.

  // A caller sends a request to hand the job in, or to cancel it.
  void SubmissionSent(const std::string& job);
  void CancelSent(const std::string& job);
  // A request to hand the job in was refused or never reached a host. `reason`
  // is what the refusal says of the job, empty if it says nothing.
  void SubmissionRefused(const std::string& job,
                         base::TimePoint sent_at,
                         const std::string& reason);
  // A caller who asked for the job's state was told its phase, or that there
  // is no such job.
  void StateAnswered(const std::string& job,
                     base::TimePoint sent_at,
                     jobs::JobPhase phase);
  void AbsenceAnswered(const std::string& job, base::TimePoint sent_at);
  // A caller was told how many of these jobs, all those of one queue, wait.
  // Only the lower bound holds while starts may be on their way or unheard of.
  void QueueLengthAnswered(const std::vector<std::string>& jobs,
                           base::TimePoint sent_at,
                           std::size_t count,
                           QueueLengthBounds bounds = QueueLengthBounds::kBoth);
  // The job's last start was carried out late by its worker.
  void StartWasLate(const std::string& job);
  // Adds a violation if the job's last start came too late after its
  // cancelling; only for starts by a host in touch that were not carried out
  // late.
  void CheckStartAfterCancel(const std::string& job);
  // The same after the job was shown as done.
  void CheckStartAfterDone(const std::string& job);
  // Adds a violation for each cancelled job whose runs go on although nothing
  // has been disrupted since `calm_since`.
  void CheckCancelledRuns(base::TimePoint calm_since);

  void RunStarted(const jobs::WorkerId& worker,
                  const jobs::StartOrder& order) override;
  void RunEnded(const jobs::WorkerId& worker,
                const jobs::TaskId& task,
                std::uint32_t run,
                jobs::RunEnd how) override;
  void EndAcknowledged(const jobs::TaskId& task,
                       std::uint32_t run,
                       bool lease_held) override;

  // Adds a violation.
  void AddViolation(std::string what) {
    m_violations.push_back(std::move(what));
  }

  const std::vector<std::string>& Violations() const { return m_violations; }
  // Null for a job that was not submitted.
  const jobs::JobSpec* SpecOf(const std::string& job) const;
  // Number of the job's tasks that have ended successfully.
  std::size_t CountDoneTasks(const std::string& job) const;
  // Number of the job's runs that are alive.
  std::size_t CountRuns(const std::string& job) const;
  // The last events of a job's tasks, in order; empty without a clock.
  std::string HistoryOf(const std::string& job) const;
  // The last start of one of the job's tasks; zero if there was none.
  base::TimePoint LastStartOf(const std::string& job) const;

 private:
  // What is known of one job.
  struct JobState {
    jobs::JobSpec spec;
    bool refused = false;      // Every answer so far was a refusal.
    bool accepted = false;     // Accepted, and not cancelled.
    std::size_t attempts = 0;  // Requests to hand it in.
    std::size_t refusals = 0;  // Of these, refused or never sent.
    bool cancel_sent = false;
    bool has_started = false;  // Any of its tasks.
    // First answers, and the first start; zero if there was none.
    base::TimePoint accepted_at{};
    base::TimePoint cancelled_at{};
    base::TimePoint first_start{};
    base::TimePoint done_shown_at{};
    // The last start that its worker carried out late.
    base::TimePoint late_start{};
    bool runs_on_reported = false;
    // Tasks that have ended successfully, acknowledged or not.
    std::set<jobs::TaskId> done;
    // Runs that ended successfully, and whether a run of the task has started
    // since.
    std::map<std::pair<jobs::TaskId, std::uint32_t>, bool> done_runs;
    // Workers that run each task.
    std::map<jobs::TaskId, std::vector<std::string>> running;
    std::deque<std::string> history;
    base::TimePoint last_start{};
  };

  void Record(const std::string& job, std::string event);
  base::TimePoint Now() const;
  // Adds a violation of the job, with its history.
  void AddViolationOf(const std::string& job, std::string what);
  // Whether the start is one of a task as its job was submitted.
  bool IsAskedFor(const jobs::WorkerId& worker, const jobs::StartOrder& order);

  bool IsStepDone(const JobState& state,
                  const jobs::TaskId& task,
                  std::uint32_t step) const;

  const base::Clock* m_clock;
  base::TimePoint m_begin{};
  std::map<std::string, JobState> m_job_states;
  // Tasks whose successful end the scheduler has acknowledged, and whether the
  // lease was valid all the time in between for one of these ends.
  std::map<jobs::TaskId, bool> m_acknowledged;
  std::set<std::string> m_cancelled;
  std::vector<std::string> m_violations;
};

}  // namespace cassiastile::sim
