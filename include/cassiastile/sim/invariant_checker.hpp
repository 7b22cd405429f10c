#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/sim/worker_model.hpp"

namespace cassiastile::sim {

// Checks what must hold for runs, from what callers sent and heard and from
// what workers saw. Each violation is a sentence.
class InvariantChecker final : public RunObserver {
 public:
  // A caller is about to hand in a job; its tasks may run from now on.
  void JobSubmitted(const std::string& job, jobs::JobSpec spec);
  // All that the caller has heard of the job so far is refusals.
  void Refused(const std::string& job);
  void Accepted(const std::string& job);
  void CancelAcknowledged(const std::string& job);
  // A job was said to be in this state.
  void PhaseReported(const std::string& job, jobs::JobPhase phase);

  void RunStarted(const jobs::WorkerId& worker,
                  const jobs::StartOrder& order) override;
  void RunEnded(const jobs::WorkerId& worker,
                const jobs::TaskId& task,
                std::uint32_t run,
                jobs::RunEnd how) override;
  void EndAcknowledged(const jobs::TaskId& task) override;

  void Violate(std::string what) { m_violations.push_back(std::move(what)); }

  const std::vector<std::string>& Violations() const { return m_violations; }
  // Null for a job that nobody handed in.
  const jobs::JobSpec* SpecOf(const std::string& job) const;
  std::size_t DoneTasks(const std::string& job) const;
  std::size_t RunningTasks(const std::string& job) const;

 private:
  struct Book {
    jobs::JobSpec spec;
    bool refused = false;
    bool accepted = false;
    std::set<jobs::TaskId> done;  // Ended successfully, noted or not.
    std::map<jobs::TaskId, std::vector<std::string>> running;  // Workers.
  };

  bool IsStepDone(const Book& book,
                  const jobs::TaskId& task,
                  std::uint32_t step) const;

  std::map<std::string, Book> m_books;
  std::set<jobs::TaskId> m_noted;
  std::vector<std::string> m_violations;
};

}  // namespace cassiastile::sim
