// What the placement advisor of a queue says about its steps.
#include <algorithm>
#include <iterator>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

// A call takes the advisor a time for each worker that it names.
constexpr std::size_t kMaxAdvisedWorkers = 30;
// A worker that was not allowed is named again after this time, if nothing else
// is left: it may have been named before the advisor knew of it.
constexpr std::chrono::milliseconds kNameAgainAfter{10000};
// A call that probably allows no worker is one too few.
constexpr double kMaxChanceOfNone = 0.1;
// So many steps of a queue are looked at for one that a call is of use for.
constexpr std::size_t kMaxTries = 64;
// The workers that a step is expected to need as long as nothing is known.
constexpr std::int64_t kUsualWorkers = 10;
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

void Scheduler::AskAdvisor(base::TimePoint now) {
  for (const std::string& step : m_advice_calls.FindOverdue(now)) {
    m_advice_calls.Failed(step, now);
  }
  std::map<std::string, std::vector<WorkerState*>> usable;  // By service.
  const auto workers_of = [&](const Job& job) -> const auto& {
    const auto [found, is_new] = usable.try_emplace(ServiceOf(job));
    if (is_new) {
      std::ranges::copy_if(WorkersOf(found->first),
                           std::back_inserter(found->second),
                           [this, now](const WorkerState* worker) {
                             return IsUsable(*worker, now);
                           });
    }
    return found->second;
  };
  for (const bool needs_room : {true, false}) {
    std::map<std::string, std::size_t> tried;  // By queue.
    // Makes a call for the first step of the queue that has a use for one.
    const auto ask_for = [&](const std::string& queue,
                             const std::vector<AdvisedStep>& steps) {
      std::size_t& next = tried[queue];
      while (next < std::min(steps.size(), kMaxTries)) {
        const AdvisedStep& wanted = steps[next++];
        if (RequestAdvice(wanted, workers_of(*wanted.job), needs_room, now)) {
          m_last_advised_queue = queue;
          return true;
        }
      }
      return false;
    };
    bool has_asked = true;
    while (has_asked && m_advice_calls.MayCall(now)) {
      const auto after = m_advised_steps.upper_bound(m_last_advised_queue);
      const auto ask = [&](const auto& entry) {
        return ask_for(entry.first, entry.second);
      };
      has_asked = std::any_of(after, m_advised_steps.end(), ask) ||
                  std::any_of(m_advised_steps.begin(), after, ask);
    }
  }
  m_steps_waiting_for_advice.clear();
  for (const auto& [queue, steps] : m_advised_steps) {
    m_steps_waiting_for_advice[queue] = steps.size();
  }
  m_advised_steps.clear();
}

bool Scheduler::RequestAdvice(const AdvisedStep& wanted,
                              const std::vector<WorkerState*>& workers,
                              bool needs_room,
                              base::TimePoint now) {
  const Job& job = *wanted.job;
  const std::string key = StepKey(job.id, wanted.occurrence, wanted.step);
  if (m_advice_calls.IsUnderWay(key)) {
    return false;
  }
  std::vector<const WorkerState*> candidates =
      FindCandidates(wanted, workers, needs_room, now);
  if (candidates.empty()) {
    return false;
  }
  candidates.resize(CountToName(wanted, candidates));
  const AdviceConfig& config = *QueueOf(job)->advice;
  AdviceRequest request{.job = job.id,
                        .occurrence = wanted.occurrence,
                        .step = wanted.step,
                        .workers = {},
                        .validity = config.validity,
                        .asked_at = now,
                        .timeout = {}};
  for (const WorkerState* worker : candidates) {
    request.workers.push_back(worker->entry.id.id);
  }
  request.timeout = m_advice_calls.Begin(
      key,
      config.decision +
          config.period * static_cast<std::int64_t>(request.workers.size()),
      now);
  m_orders.advice.push_back(std::move(request));
  return true;
}

std::vector<const WorkerState*> Scheduler::FindCandidates(
    const AdvisedStep& wanted,
    const std::vector<WorkerState*>& workers,
    bool needs_room,
    base::TimePoint now) {
  enum Rank : std::uint8_t { kBound, kAllowed, kWithRoom, kOther, kAgain };
  struct Candidate {
    Rank rank = kOther;
    double chance = 0;
    const WorkerState* worker = nullptr;
  };
  const Job& job = *wanted.job;
  const StepSpec& spec = job.spec.steps[wanted.step];
  const Advice& advice =
      m_advice[StepKey(job.id, wanted.occurrence, wanted.step)];
  const AdviceHistory& history = m_advice_history[job.queue];
  const bool allows_any = advice.AllowsAny();
  std::vector<Candidate> candidates;
  bool has_use = false;  // One of them could get a task now.
  for (const WorkerState* worker : workers) {
    const WorkerEntry& entry = worker->entry;
    if (advice.FindTicket(entry.id, now) != nullptr ||
        !entry.HasLabel(spec.required_label)) {
      continue;
    }
    const auto answer = advice.answers.find(entry.id.id);
    const bool is_known = answer != advice.answers.end();
    const bool has_room = HasRoomUnreserved(*worker, CapacityNeed(spec));
    const double chance = history.ChanceOf(entry.id.id);
    if (is_known && !answer->second.is_allowed) {
      if (has_room && now - answer->second.asked_at > kNameAgainAfter) {
        candidates.push_back({kAgain, chance, worker});
      }
    } else if (IsBoundTo(*worker, job, wanted.occurrence, wanted.step)) {
      candidates.push_back({kBound, chance, worker});
      has_use = true;
    } else if (has_room) {
      candidates.push_back({is_known ? kAllowed : kWithRoom, chance, worker});
      has_use = true;
    } else if (!allows_any) {
      candidates.push_back({kOther, chance, worker});
    }
  }
  if (needs_room && !has_use) {
    return {};
  }
  std::ranges::stable_sort(candidates, [](const auto& left, const auto& right) {
    return std::pair(left.rank, -left.chance) <
           std::pair(right.rank, -right.chance);
  });
  std::vector<const WorkerState*> in_order;
  in_order.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    if (!has_use || candidate.rank != kAgain) {
      in_order.push_back(candidate.worker);
    }
  }
  return in_order;
}

std::size_t Scheduler::CountToName(
    const AdvisedStep& wanted,
    const std::vector<const WorkerState*>& candidates) const {
  const std::size_t most = std::min(candidates.size(), kMaxAdvisedWorkers);
  const Job& job = *wanted.job;
  const AdviceHistory& history = m_advice_history.at(job.queue);
  const StepSpec& spec = job.spec.steps[wanted.step];
  if (history.IsEmpty() || spec.gang) {
    return most;
  }
  std::size_t others = 0;
  for (const auto& [queue, steps] : m_advised_steps) {
    others += steps.size();
  }
  const Occurrence& occurrence =
      *FindOccurrence(*wanted.job, wanted.occurrence);
  const auto tasks =
      static_cast<double>(occurrence.steps[wanted.step].waiting.size());
  // While other steps wait, room for all tasks is enough; else a worker for
  // each of them.
  const bool is_crowded = others > 1;
  double room = 0;
  double none = 1;
  std::size_t named = 0;
  while (named < most && (room < tasks || none > kMaxChanceOfNone)) {
    const WorkerState& worker = *candidates[named++];
    const double chance = history.ChanceOf(worker.entry.id.id);
    const Resources need = CapacityNeed(spec);
    const Resources used = worker.used + worker.unaccounted + worker.withheld;
    double places = 1;
    if (is_crowded) {
      const std::int64_t fitting = std::min(
          need.cpu > 0 ? (worker.entry.capacity.cpu - used.cpu) / need.cpu
                       : kUsualWorkers,
          need.memory > 0
              ? (worker.entry.capacity.memory - used.memory) / need.memory
              : kUsualWorkers);
      places = static_cast<double>(std::max<std::int64_t>(1, fitting));
      if (spec.max_per_worker > 0) {
        places = std::min(places, static_cast<double>(spec.max_per_worker));
      }
    }
    room += chance * places;
    none *= 1 - chance;
  }
  return named;
}

std::size_t Scheduler::CountStepsWaitingForAdvice() const {
  std::size_t count = 0;
  for (const auto& [queue, steps] : m_steps_waiting_for_advice) {
    count += steps;
  }
  return count;
}

std::chrono::milliseconds Scheduler::AdviceBacklog(const Job& job,
                                                   base::TimePoint now) {
  if (!NeedsAdvice(job)) {
    return {};
  }
  const AdviceConfig& config = *QueueOf(job)->advice;
  const auto cost = m_advice_history[job.queue].CostOfStep(
      config.decision + kUsualWorkers * config.period);
  const auto& unadvised = AdmissionSnapshotOf(job.service, now).unadvised_steps;
  const auto own = unadvised.find(job.queue);
  // The queues that wait are served in turn.
  std::int64_t queues = 1;
  for (const auto& [queue, steps] : m_steps_waiting_for_advice) {
    queues += queue != job.queue && steps > 0 ? 1 : 0;
  }
  return queues * cost *
         static_cast<std::int64_t>(own == unadvised.end() ? 0 : own->second);
}

std::chrono::milliseconds Scheduler::AdviceFailed(const AdviceRequest& request,
                                                  base::TimePoint now) {
  return m_advice_calls.Failed(
      StepKey(request.job, request.occurrence, request.step), now);
}

void Scheduler::AdviceAnswered(
    const AdviceRequest& request,
    const std::vector<std::pair<std::string, std::string>>& allowed,
    std::chrono::milliseconds validity,
    base::TimePoint now) {
  const std::string key =
      StepKey(request.job, request.occurrence, request.step);
  m_advice_calls.Answered(key);
  RecordAdvice(request, allowed);
  const auto found = m_advice.find(key);
  if (found == m_advice.end()) {
    return;  // The step is over.
  }
  Advice& advice = found->second;
  const auto job = m_jobs.find(request.job);
  Occurrence* occurrence =
      job == m_jobs.end() ? nullptr
                          : FindOccurrence(*job->second, request.occurrence);
  if (occurrence != nullptr && !allowed.empty()) {
    occurrence->steps.at(request.step).is_advised = true;
  }
  for (const std::string& id : request.workers) {
    advice.answers[id].asked_at = request.asked_at;
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

void Scheduler::RecordAdvice(
    const AdviceRequest& request,
    const std::vector<std::pair<std::string, std::string>>& allowed) {
  const auto job = m_jobs.find(request.job);
  if (job == m_jobs.end() || !NeedsAdvice(*job->second)) {
    return;
  }
  const AdviceConfig& config = *QueueOf(*job->second)->advice;
  std::vector<std::string> ids;
  ids.reserve(allowed.size());
  for (const auto& [id, ticket] : allowed) {
    ids.push_back(id);
  }
  m_advice_history[job->second->queue].Add(
      request.workers, ids,
      config.decision +
          config.period * static_cast<std::int64_t>(request.workers.size()));
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
