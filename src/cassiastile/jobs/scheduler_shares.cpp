// Shares of a pool by the customers' weights.
#include <algorithm>

#include "cassiastile/jobs/scheduler.hpp"

namespace cassiastile::jobs {

namespace {

bool IsFinite(const StepSpec& step) {
  return !step.long_running && !step.is_filler;
}

// What the job's finite tasks need that wait for a worker.
Resources WaitingNeed(const Job& job) {
  Resources need;
  for (const Occurrence& occurrence : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      if (IsFinite(job.spec.steps[i])) {
        need += CapacityNeed(job.spec.steps[i]) *
                static_cast<std::int64_t>(occurrence.steps[i].waiting.size());
      }
    }
  }
  return need;
}

// The same of those that run, counted without looking at each task.
Resources RunningNeed(const Job& job) {
  Resources need;
  if (job.live_runs == 0) {
    return need;
  }
  for (const Occurrence& occurrence : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const StepState& step = occurrence.steps[i];
      if (IsFinite(job.spec.steps[i]) && step.ready) {
        const std::size_t over = step.tasks_done + step.waiting.size();
        need += CapacityNeed(job.spec.steps[i]) *
                static_cast<std::int64_t>(step.tasks.size() - over);
      }
    }
  }
  return need;
}

}  // namespace

PoolShares Scheduler::DividePool(const std::string& service,
                                 const Resources& capacity) const {
  CustomerDemands demands;
  for (const auto& [id, job] : m_unfinished) {
    if (ServiceOf(*job) != service) {
      continue;
    }
    const Resources running = RunningNeed(*job);
    const Resources waiting = WaitingNeed(*job);
    if (running == Resources{} && waiting == Resources{}) {
      continue;
    }
    CustomerDemand& demand = demands[job->customer];
    if (const CustomerConfig* customer = CustomerOf(job->customer)) {
      demand.weight = customer->weight;
    }
    demand.running += running;
    demand.waiting += waiting;
  }
  return {capacity, demands};
}

std::set<const Job*> Scheduler::FindJobsBeyondShare(
    const std::string& service,
    const std::vector<Job*>& in_order,
    base::TimePoint now) {
  Resources capacity;
  for (const WorkerState* worker : WorkersOf(service)) {
    if (IsUsable(*worker, now)) {
      capacity += worker->entry.capacity - worker->long_running_used;
    }
  }
  PoolShares shares = DividePool(service, capacity);
  std::set<const Job*> beyond;
  if (!shares.IsContended()) {
    return beyond;
  }
  for (const Job* job : in_order) {
    if (!shares.IsWithinShare(job->customer)) {
      beyond.insert(job);
    }
    shares.Take(job->customer, WaitingNeed(*job));
  }
  m_divisions[service] = {shares.CustomerCount(), beyond.size()};
  return beyond;
}

std::optional<CustomerShare> Scheduler::ShareOf(
    const AdmissionSnapshot& snapshot,
    const std::string& customer,
    double weight) {
  if (!snapshot.shares.IsContended() ||
      !snapshot.shares.IsWithinShare(customer)) {
    return std::nullopt;
  }
  CustomerShare share;
  share.part = snapshot.shares.PartOf(customer, weight);
  if (const auto backlog = snapshot.backlog_of_customer.find(customer);
      backlog != snapshot.backlog_of_customer.end()) {
    share.backlog = backlog->second;
  }
  return share;
}

}  // namespace cassiastile::jobs
