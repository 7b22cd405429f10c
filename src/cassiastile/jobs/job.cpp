#include "cassiastile/jobs/job.hpp"

#include <algorithm>

namespace cassiastile::jobs {

bool IsFinished(JobPhase phase) {
  return phase == JobPhase::kDone || phase == JobPhase::kFailed ||
         phase == JobPhase::kCancelled;
}

Occurrence* FindOccurrence(Job& job, std::uint32_t number) {
  const auto found =
      std::ranges::find(job.occurrences, number, &Occurrence::number);
  return found == job.occurrences.end() ? nullptr : &*found;
}

Task* FindTask(const TaskRef& ref) {
  Occurrence* occurrence = FindOccurrence(*ref.job, ref.occurrence);
  if (occurrence == nullptr || ref.step >= occurrence->steps.size() ||
      ref.index >= occurrence->steps[ref.step].tasks.size()) {
    return nullptr;
  }
  return &occurrence->steps[ref.step].tasks[ref.index];
}

const StepSpec& SpecOf(const TaskRef& ref) {
  return ref.job->spec.steps[ref.step];
}

TaskId IdOf(const TaskRef& ref) {
  return {ref.job->id, ref.occurrence, ref.step, ref.index};
}

std::string StepKey(const std::string& job,
                    std::uint32_t occurrence,
                    std::uint32_t step) {
  return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

Resources CapacityNeed(const StepSpec& step) {
  Resources need = step.need;
  if (step.is_filler) {
    need.cpu = 0;
  }
  return need;
}

Occurrence& BeginOccurrence(Job& job, std::uint32_t number) {
  Occurrence& occurrence = job.occurrences.emplace_back();
  occurrence.number = number;
  occurrence.steps.resize(job.spec.steps.size());
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    occurrence.steps[i].tasks.resize(job.spec.steps[i].count);
  }
  job.next_occurrence = std::max(job.next_occurrence, number + 1);
  RefreshReadySteps(job, occurrence);
  return occurrence;
}

void RefreshReadySteps(Job& job, Occurrence& occurrence) {
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    StepState& step = occurrence.steps[i];
    if (step.ready) {
      continue;
    }
    step.ready = std::ranges::all_of(
        job.spec.steps[i].after, [&occurrence](std::uint32_t before) {
          const StepState& earlier = occurrence.steps[before];
          return earlier.tasks_done == earlier.tasks.size();
        });
    if (!step.ready) {
      continue;
    }
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
      if (!step.tasks[index].done && step.tasks[index].runs.empty()) {
        step.waiting.push_back(index);
      }
    }
  }
}

}  // namespace cassiastile::jobs
