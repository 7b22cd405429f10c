#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/sim/worker_model.hpp"

namespace cassiastile::sim {

// Checks the invariants of runs, from the requests and answers of callers and
// from what workers observe. Each violation is a sentence. Not thread-safe.
class InvariantChecker final : public RunObserver {
 public:
  // With a clock, which must outlive it, violations about starts have the times
  // of the last events of their task.
  explicit InvariantChecker(const base::Clock* clock = nullptr);

  // A caller is about to submit a job; its tasks may run from now on.
  void JobSubmitted(const std::string& job, jobs::JobSpec spec);
  // Every answer that the caller received for the job so far was a refusal.
  void Refused(const std::string& job);
  // The caller was told that the job is accepted.
  void Accepted(const std::string& job);
  // The caller was told that the job is cancelled.
  void CancelAcknowledged(const std::string& job);
  // A caller was told that the job is in this phase.
  void PhaseReported(const std::string& job, jobs::JobPhase phase);

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
    bool refused = false;   // Every answer so far was a refusal.
    bool accepted = false;  // Accepted, and not cancelled since.
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
  // Tasks whose successful end the scheduler has acknowledged.
  std::set<jobs::TaskId> m_acknowledged;
  std::vector<std::string> m_violations;
};

}  // namespace cassiastile::sim
