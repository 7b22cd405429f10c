#include "cassiastile/sim/invariant_checker.hpp"

#include <algorithm>
#include <string_view>
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

base::TimePoint InvariantChecker::Now() const {
  return m_clock == nullptr ? base::TimePoint{} : m_clock->Now();
}

void InvariantChecker::Refused(const std::string& job) {
  JobState& state = m_job_states[job];
  state.refused = true;
  Record(job, "refused");
  if (state.has_started) {
    AddViolationOf(job, fmt::format("job {} was refused though it ran", job));
  }
}

void InvariantChecker::Accepted(const std::string& job) {
  JobState& state = m_job_states[job];
  state.refused = false;
  state.accepted = !m_cancelled.contains(job);
  if (state.accepted_at == base::TimePoint{}) {
    state.accepted_at = Now();
  }
  Record(job, "accepted");
}

void InvariantChecker::CancelAcknowledged(const std::string& job) {
  JobState& state = m_job_states[job];
  state.accepted = false;
  state.cancel_sent = true;
  if (m_cancelled.insert(job).second) {
    state.cancelled_at = Now();
  }
  Record(job, "cancel acknowledged");
}

void InvariantChecker::SubmissionSent(const std::string& job) {
  JobState& state = m_job_states[job];
  ++state.attempts;
  state.refused = false;
  Record(job, "submission sent");
}

void InvariantChecker::CancelSent(const std::string& job) {
  m_job_states[job].cancel_sent = true;
  Record(job, "cancel sent");
}

void InvariantChecker::SubmissionRefused(const std::string& job,
                                         base::TimePoint sent_at,
                                         const std::string& reason) {
  JobState& state = m_job_states[job];
  ++state.refusals;
  if (!reason.empty() && state.accepted && !state.cancel_sent &&
      state.accepted_at <= sent_at) {
    AddViolationOf(job, fmt::format("accepted job {} was refused afterwards: "
                                    "{}",
                                    job, reason));
  }
  if (state.refusals == state.attempts) {
    Refused(job);
  }
}

void InvariantChecker::StateAnswered(const std::string& job,
                                     base::TimePoint sent_at,
                                     jobs::JobPhase phase) {
  PhaseReported(job, phase);
  const JobState& state = m_job_states[job];
  const std::string_view name = base::FindName(jobs::kJobPhaseNames, phase);
  if (m_cancelled.contains(job) && state.cancelled_at <= sent_at &&
      !jobs::IsFinished(phase)) {
    AddViolationOf(job,
                   fmt::format("cancelled job {} is said to be {}", job, name));
  }
  if (state.attempts == 0) {
    AddViolationOf(job, fmt::format("job {}, which nobody submitted, is said "
                                    "to be {}",
                                    job, name));
  }
  if (phase == jobs::JobPhase::kCancelled && !state.cancel_sent &&
      !state.accepted) {
    AddViolationOf(job, fmt::format("job {} is said to be cancelled, which "
                                    "nobody asked for",
                                    job));
  }
}

void InvariantChecker::AbsenceAnswered(const std::string& job,
                                       base::TimePoint sent_at) {
  const JobState& state = m_job_states[job];
  if (state.accepted && !state.cancel_sent && state.accepted_at <= sent_at) {
    AddViolationOf(
        job, fmt::format("accepted job {} is said not to exist, {} "
                         "ms after its acceptance",
                         job, base::Milliseconds(Now() - state.accepted_at)));
  }
}

void InvariantChecker::QueueLengthAnswered(const std::vector<std::string>& jobs,
                                           base::TimePoint sent_at,
                                           std::size_t count,
                                           QueueLengthBounds bounds) {
  const base::TimePoint oldest = sent_at - kQueueLengthAge;
  const auto is_before = [](base::TimePoint at, base::TimePoint limit) {
    return at != base::TimePoint{} && at < limit;
  };
  std::size_t least = 0;
  std::size_t most = 0;
  for (const std::string& job : jobs) {
    const JobState& state = m_job_states[job];
    least += state.accepted && !state.cancel_sent && !state.has_started &&
                     state.accepted_at < oldest - kVisibleTime
                 ? 1
                 : 0;
    most += state.attempts > 0 && !state.refused &&
                    !is_before(state.first_start, oldest) &&
                    !is_before(state.cancelled_at, oldest)
                ? 1
                : 0;
  }
  const bool is_too_long = bounds == QueueLengthBounds::kBoth && count > most;
  if (is_too_long || 2 * count < least) {
    AddViolation(fmt::format("{} jobs are said to wait, where {} to {} do",
                             count, least, most));
  }
}

void InvariantChecker::StartWasLate(const std::string& job) {
  m_job_states[job].late_start = Now();
}

void InvariantChecker::CheckStartAfterCancel(const std::string& job) {
  const JobState& state = m_job_states[job];
  const base::Duration after = state.last_start - state.cancelled_at;
  if (m_cancelled.contains(job) && after > kCancelTime) {
    AddViolationOf(
        job, fmt::format("unasked: a task of job {} started {} ms after its "
                         "cancelling was acknowledged",
                         job, base::Milliseconds(after)));
  }
}

void InvariantChecker::CheckStartAfterDone(const std::string& job) {
  const JobState& state = m_job_states[job];
  const base::Duration after = state.last_start - state.done_shown_at;
  if (state.done_shown_at != base::TimePoint{} && after > kEndKnownTime) {
    AddViolationOf(job, fmt::format("a task of job {} started {} ms after the "
                                    "job was said to be done",
                                    job, base::Milliseconds(after)));
  }
}

void InvariantChecker::CheckCancelledRuns(base::TimePoint calm_since) {
  for (const std::string& job : m_cancelled) {
    JobState& state = m_job_states[job];
    base::TimePoint from =
        std::max(state.cancelled_at, calm_since + kContactTime);
    if (state.late_start != base::TimePoint{}) {
      from = std::max(from, state.late_start + kContactTime);
    }
    if (!state.runs_on_reported && Now() > from + kCancelTime + kStopTime &&
        CountRuns(job) > 0) {
      state.runs_on_reported = true;
      AddViolationOf(
          job,
          fmt::format("unasked: a task of job {} runs {} ms after its "
                      "cancelling was acknowledged",
                      job, base::Milliseconds(Now() - state.cancelled_at)));
    }
  }
}

void InvariantChecker::PhaseReported(const std::string& job,
                                     jobs::JobPhase phase) {
  JobState& state = m_job_states[job];
  if (phase == jobs::JobPhase::kDone &&
      state.done_shown_at == base::TimePoint{}) {
    state.done_shown_at = Now();
  }
  std::size_t tasks = 0;
  for (const jobs::StepSpec& step : state.spec.steps) {
    tasks += step.count;
  }
  if (phase == jobs::JobPhase::kDone && state.done.size() < tasks) {
    AddViolation(fmt::format("job {} is said to be done with {} of {} tasks",
                             job, state.done.size(), tasks));
  }
  if (phase == jobs::JobPhase::kFailed ||
      (phase == jobs::JobPhase::kCancelled && state.accepted &&
       !state.cancel_sent)) {
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
  state.last_start = Now();
  if (!state.has_started) {
    state.first_start = Now();
  }
  state.has_started = true;
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
  if (const auto found = m_acknowledged.find(task);
      found != m_acknowledged.end()) {
    AddViolationOf(task.job,
                   fmt::format("task {} started after its end was acknowledged"
                               "{}",
                               FormatTask(task),
                               found->second ? "" : ", its lease had expired"));
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
  bool& is_held = m_acknowledged[task];
  is_held = is_held || lease_held;
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
