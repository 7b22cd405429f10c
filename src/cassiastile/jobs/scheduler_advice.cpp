// What the placement advisor of a queue says about its steps.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// A call takes the advisor a time for each worker that it names.
constexpr std::size_t kMaxAdvisedWorkers = 30;
// An advisor that has not answered is asked again after this time.
constexpr std::chrono::milliseconds kRetryAfter{2000};
// Subtracted from the validity, so that tickets are still valid when the order
// arrives.
constexpr std::chrono::milliseconds kTicketMargin{300};

bool IsBoundTo(const WorkerState& worker,
               const Job& job,
               std::uint32_t occurrence,
               std::uint32_t step) {
  return std::ranges::any_of(worker.withdrawn, [&](const TaskRef& ref) {
    return ref.job == &job && ref.occurrence == occurrence && ref.step == step;
  });
}

// Capacity may be reserved in this planning round for the very step.
bool HasRoomUnreserved(const WorkerState& worker, const Resources& need) {
  return Fits(worker.used + worker.unaccounted + worker.withheld + need,
              worker.entry.capacity);
}

}  // namespace

bool Scheduler::Advice::IsAllowed(const std::string& worker) const {
  const auto answer = answers.find(worker);
  return answer != answers.end() && answer->second.is_allowed;
}

bool Scheduler::Advice::AllowsAny() const {
  return std::ranges::any_of(
      answers, [](const auto& answer) { return answer.second.is_allowed; });
}

const std::string* Scheduler::Advice::FindTicket(const WorkerId& worker,
                                                 base::TimePoint now) const {
  const auto found = answers.find(worker.id);
  if (found == answers.end()) {
    return nullptr;
  }
  const Answer& answer = found->second;
  return answer.is_allowed && now < answer.valid_until &&
                 answer.incarnation_ms == worker.incarnation_ms
             ? &answer.ticket
             : nullptr;
}

bool Scheduler::NeedsAdvice(const Job& job) const {
  const QueueConfig* queue = QueueOf(job);
  return queue != nullptr && queue->advice.has_value();
}

void Scheduler::RequestAdvice(Job& job,
                              const Occurrence& occurrence,
                              std::uint32_t step,
                              const std::vector<WorkerState*>& workers,
                              base::TimePoint now) {
  Advice& advice = m_advice[StepKey(job.id, occurrence.number, step)];
  if (advice.asked_at != base::TimePoint{} &&
      now - advice.asked_at < kRetryAfter) {
    return;
  }
  const StepSpec& spec = job.spec.steps[step];
  const bool allows_any = advice.AllowsAny();
  enum Rank : std::uint8_t { kBound, kAllowed, kWithRoom, kOther };
  std::vector<std::pair<Rank, const WorkerState*>> candidates;
  for (const WorkerState* worker : workers) {
    const WorkerEntry& entry = worker->entry;
    const auto answer = advice.answers.find(entry.id.id);
    const bool is_known = answer != advice.answers.end();
    if ((is_known && !answer->second.is_allowed) ||
        advice.FindTicket(entry.id, now) != nullptr ||
        !entry.HasLabel(spec.required_label)) {
      continue;
    }
    if (IsBoundTo(*worker, job, occurrence.number, step)) {
      candidates.emplace_back(kBound, worker);
    } else if (HasRoomUnreserved(*worker, CapacityNeed(spec))) {
      candidates.emplace_back(is_known ? kAllowed : kWithRoom, worker);
    } else if (!allows_any) {
      candidates.emplace_back(kOther, worker);
    }
  }
  if (candidates.empty()) {
    return;
  }
  std::ranges::stable_sort(candidates, {},
                           &std::pair<Rank, const WorkerState*>::first);
  AdviceRequest request{.job = job.id,
                        .occurrence = occurrence.number,
                        .step = step,
                        .workers = {},
                        .validity = QueueOf(job)->advice->validity,
                        .asked_at = now};
  for (const auto& [rank, worker] : candidates) {
    if (request.workers.size() < kMaxAdvisedWorkers) {
      request.workers.push_back(worker->entry.id.id);
    }
  }
  advice.asked_at = now;
  m_orders.advice.push_back(std::move(request));
}

void Scheduler::AdviceAnswered(
    const AdviceRequest& request,
    const std::vector<std::pair<std::string, std::string>>& allowed,
    std::chrono::milliseconds validity,
    base::TimePoint now) {
  const auto found =
      m_advice.find(StepKey(request.job, request.occurrence, request.step));
  if (found == m_advice.end()) {
    return;  // The step is over.
  }
  Advice& advice = found->second;
  if (advice.asked_at == request.asked_at) {
    advice.asked_at = {};
  }
  for (const std::string& id : request.workers) {
    advice.answers[id];
  }
  for (const auto& [id, ticket] : allowed) {
    Advice::Answer& answer = advice.answers[id];
    answer.is_allowed = true;
    const WorkerState* worker = FindWorker(id);
    // Of a worker that has restarted since, it may be for either incarnation.
    if (worker != nullptr && worker->known_since <= request.asked_at) {
      answer.ticket = ticket;
      answer.incarnation_ms = worker->entry.id.incarnation_ms;
      answer.valid_until =
          now + std::max(validity - kTicketMargin, kTicketMargin);
    }
  }
}

const std::string* Scheduler::FindTicket(const TaskRef& ref,
                                         const Run& run,
                                         base::TimePoint now) const {
  const auto advice =
      m_advice.find(StepKey(ref.job->id, ref.occurrence, ref.step));
  return advice == m_advice.end() ? nullptr
                                  : advice->second.FindTicket(run.worker, now);
}

void Scheduler::ForgetAdvice(const std::string& job) {
  const auto begin = m_advice.lower_bound(job + ".");
  auto end = begin;
  while (end != m_advice.end() && end->first.starts_with(job + ".")) {
    ++end;
  }
  m_advice.erase(begin, end);
}

void Scheduler::ForgetAdvice(const std::string& job, std::uint32_t occurrence) {
  ForgetAdvice(job + "." + std::to_string(occurrence));
}

}  // namespace cassiastile::jobs
