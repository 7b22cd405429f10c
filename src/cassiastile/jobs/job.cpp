#include "cassiastile/jobs/job.hpp"

#include <algorithm>

namespace cassiastile::jobs {

namespace {

// The number of a step's first task, when the tasks of all occurrences are
// counted through.
std::uint64_t FirstTaskOfStep(const Job& job,
                              std::uint32_t occurrence,
                              std::uint32_t step) {
  std::uint64_t first = 0;
  std::uint64_t tasks = 0;
  for (std::uint32_t i = 0; i < job.spec.steps.size(); ++i) {
    first += i < step ? job.spec.steps[i].count : 0;
    tasks += job.spec.steps[i].count;
  }
  return occurrence * tasks + first;
}

}  // namespace

bool IsFinished(JobPhase phase) {
  return phase == JobPhase::kDone || phase == JobPhase::kFailed ||
         phase == JobPhase::kCancelled;
}

Occurrence* FindOccurrence(Job& job, std::uint32_t number) {
  const auto found = std::ranges::lower_bound(job.occurrences, number, {},
                                              &Occurrence::number);
  const bool exists = found != job.occurrences.end() && found->number == number;
  return exists ? &*found : nullptr;
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

bool IsOver(const Occurrence& occurrence) {
  return occurrence.steps_done == occurrence.steps.size() &&
         std::ranges::all_of(occurrence.steps, [](const StepState& step) {
           return std::ranges::all_of(step.tasks, [](const Task& task) {
             return task.runs.empty() && task.withdrawn.empty();
           });
         });
}

std::uint64_t TasksOfOccurrence(const JobSpec& spec) {
  std::uint64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    tasks += step.count;
  }
  return tasks;
}

SegmentNumber SegmentOf(const TaskRef& ref) {
  return (FirstTaskOfStep(*ref.job, ref.occurrence, ref.step) + ref.index) /
         kTasksOfSegment;
}

std::pair<SegmentNumber, SegmentNumber> SegmentsOfStep(const Job& job,
                                                       std::uint32_t occurrence,
                                                       std::uint32_t step) {
  const std::uint64_t first = FirstTaskOfStep(job, occurrence, step);
  const std::uint64_t last = first + job.spec.steps[step].count - 1;
  return {first / kTasksOfSegment, last / kTasksOfSegment};
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
