#include "cassiastile/sim/invariant_checker.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace cassiastile::sim {

namespace {

std::string FormatTask(const jobs::TaskId& task) {
  return fmt::format("{}.{}.{}.{}", task.job, task.occurrence, task.step,
                     task.index);
}

// Enough to see what led to a start: a task is tried a few times at most.
constexpr std::size_t kMaxHistory = 12;

}  // namespace

InvariantChecker::InvariantChecker(const base::Clock* clock) : m_clock(clock) {
  if (m_clock != nullptr) {
    m_begin = m_clock->Now();
  }
}

void InvariantChecker::Record(const std::string& job, std::string event) {
  const auto found = m_job_states.find(job);
  if (m_clock == nullptr || found == m_job_states.end()) {
    return;
  }
  std::deque<std::string>& history = found->second.history;
  history.push_back(fmt::format("{} ms {}",
                                base::Milliseconds(m_clock->Now() - m_begin),
                                std::move(event)));
  if (history.size() > kMaxHistory) {
    history.pop_front();
  }
}

std::string InvariantChecker::HistoryOf(const std::string& job) const {
  const auto found = m_job_states.find(job);
  return found == m_job_states.end()
             ? ""
             : fmt::format("{}", fmt::join(found->second.history, "; "));
}

base::TimePoint InvariantChecker::LastStartOf(const std::string& job) const {
  const auto found = m_job_states.find(job);
  return found == m_job_states.end() ? base::TimePoint{}
                                     : found->second.last_start;
}

void InvariantChecker::AddViolationOf(const std::string& job,
                                      std::string what) {
  const std::string history = HistoryOf(job);
  AddViolation(history.empty() ? std::move(what)
                               : fmt::format("{} [{}]", what, history));
}

bool InvariantChecker::IsAskedFor(const jobs::WorkerId& worker,
                                  const jobs::StartOrder& order) {
  const jobs::TaskId& task = order.task;
  const auto found = m_job_states.find(task.job);
  const std::string what = fmt::format("run {} of task {} on {}", order.run,
                                       FormatTask(task), worker.id);
  if (found == m_job_states.end()) {
    AddViolation(fmt::format("unasked: {}, which nobody submitted", what));
    return false;
  }
  const jobs::JobSpec& spec = found->second.spec;
  if (task.occurrence >= spec.Occurrences() || task.step >= spec.steps.size() ||
      task.index >= spec.steps[task.step].count) {
    AddViolationOf(task.job,
                   fmt::format("unasked: {}, which its job hasn't", what));
    return false;
  }
  if (spec.payload != order.payload) {
    AddViolationOf(task.job,
                   fmt::format("unasked: {} with another payload", what));
    return false;
  }
  // The workers of this simulation make no checkpoints.
  if (!order.checkpoint.empty()) {
    AddViolationOf(
        task.job,
        fmt::format("unasked: {} with a checkpoint that isn't its own", what));
  }
  return true;
}

void InvariantChecker::JobSubmitted(const std::string& job,
                                    jobs::JobSpec spec) {
  m_job_states[job].spec = std::move(spec);
}

void InvariantChecker::Refused(const std::string& job) {
  m_job_states[job].refused = true;
}

void InvariantChecker::Accepted(const std::string& job) {
  m_job_states[job].refused = false;
  m_job_states[job].accepted = true;
}

void InvariantChecker::CancelAcknowledged(const std::string& job) {
  m_job_states[job].accepted = false;
  Record(job, "cancel acknowledged");
}

void InvariantChecker::PhaseReported(const std::string& job,
                                     jobs::JobPhase phase) {
  const JobState& state = m_job_states[job];
  std::size_t tasks = 0;
  for (const jobs::StepSpec& step : state.spec.steps) {
    tasks += step.count;
  }
  if (phase == jobs::JobPhase::kDone && state.done.size() < tasks) {
    AddViolation(fmt::format("job {} is said to be done with {} of {} tasks",
                             job, state.done.size(), tasks));
  }
  if (phase == jobs::JobPhase::kFailed ||
      (phase == jobs::JobPhase::kCancelled && state.accepted)) {
    AddViolation(fmt::format("job {} is said to be {}", job,
                             base::FindName(jobs::kJobPhaseNames, phase)));
  }
}

const jobs::JobSpec* InvariantChecker::SpecOf(const std::string& job) const {
  const auto found = m_job_states.find(job);
  return found == m_job_states.end() ? nullptr : &found->second.spec;
}

bool InvariantChecker::IsStepDone(const JobState& state,
                                  const jobs::TaskId& task,
                                  std::uint32_t step) const {
  const auto done = std::ranges::count_if(
      state.done, [&task, step](const jobs::TaskId& each) {
        return each.occurrence == task.occurrence && each.step == step;
      });
  return static_cast<std::uint32_t>(done) == state.spec.steps[step].count;
}

void InvariantChecker::RunStarted(const jobs::WorkerId& worker,
                                  const jobs::StartOrder& order) {
  const jobs::TaskId& task = order.task;
  Record(task.job,
         fmt::format("start of {} run {} on {} born {}", FormatTask(task),
                     order.run, worker.id, worker.incarnation_ms));
  if (!IsAskedFor(worker, order)) {
    return;
  }
  JobState& state = m_job_states.at(task.job);
  if (m_clock != nullptr) {
    state.last_start = m_clock->Now();
  }
  if (state.refused) {
    AddViolationOf(task.job,
                   fmt::format("task {} runs though its job was refused",
                               FormatTask(task)));
  }
  for (const std::uint32_t before : state.spec.steps[task.step].after) {
    if (!IsStepDone(state, task, before)) {
      AddViolationOf(task.job,
                     fmt::format("task {} runs before step {} is done",
                                 FormatTask(task), before));
    }
  }
  std::vector<std::string>& running = state.running[task];
  if (!running.empty()) {
    AddViolationOf(task.job,
                   fmt::format("task {} runs twice: on {} and {}",
                               FormatTask(task), running.front(), worker.id));
  }
  running.push_back(worker.id);
  for (auto& [done, followed] : state.done_runs) {
    followed = followed || done.first == task;
  }
  if (m_acknowledged.contains(task)) {
    AddViolationOf(task.job,
                   fmt::format("task {} started after its end was acknowledged",
                               FormatTask(task)));
  }
}

void InvariantChecker::RunEnded(const jobs::WorkerId& worker,
                                const jobs::TaskId& task,
                                std::uint32_t run,
                                jobs::RunEnd how) {
  const auto found = m_job_states.find(task.job);
  if (found == m_job_states.end()) {
    return;
  }
  Record(task.job,
         fmt::format("end of {} run {} on {}: {}", FormatTask(task), run,
                     worker.id, base::FindName(jobs::kRunEndNames, how)));
  std::erase(found->second.running[task], worker.id);
  if (how == jobs::RunEnd::kDone) {
    found->second.done.insert(task);
    found->second.done_runs.emplace(std::pair(task, run), false);
  }
}

void InvariantChecker::EndAcknowledged(const jobs::TaskId& task,
                                       std::uint32_t run,
                                       bool lease_held) {
  m_acknowledged.insert(task);
  const auto& done = m_job_states[task.job].done_runs;
  const auto found = done.find(std::pair(task, run));
  if (lease_held && found != done.end() && found->second) {
    AddViolationOf(
        task.job,
        fmt::format("task {} started after an end that was acknowledged later",
                    FormatTask(task)));
  }
}

std::size_t InvariantChecker::CountDoneTasks(const std::string& job) const {
  const auto found = m_job_states.find(job);
  return found == m_job_states.end() ? 0 : found->second.done.size();
}

std::size_t InvariantChecker::CountRuns(const std::string& job) const {
  const auto found = m_job_states.find(job);
  if (found == m_job_states.end()) {
    return 0;
  }
  std::size_t count = 0;
  for (const auto& [task, workers] : found->second.running) {
    count += workers.size();
  }
  return count;
}

}  // namespace cassiastile::sim
