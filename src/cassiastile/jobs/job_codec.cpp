// Serialization of jobs with cereal's portable binary archive.
#include <sstream>

#include <fmt/format.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "cassiastile/jobs/job.hpp"

namespace cassiastile::jobs {

namespace {

// Incremented when older programs can't read the new layout.
constexpr std::uint8_t kRecordLayout = 2;
constexpr std::uint8_t kProgressLayout = 3;
// Has neither withdrawn starts nor which runs are listed.
constexpr std::uint8_t kFormerProgressLayout = 2;

template <typename Archive>
void Visit(Archive& archive, Resources& value) {
  archive(value.cpu, value.memory, value.gpus);
}

template <typename Archive>
void Visit(Archive& archive, std::chrono::milliseconds& value) {
  std::int64_t count = value.count();
  archive(count);
  value = std::chrono::milliseconds(count);
}

template <typename Archive>
void Visit(Archive& archive, StepSpec& step) {
  archive(step.count, step.after, step.checkpointing, step.gang,
          step.single_rack, step.speculative, step.long_running, step.is_filler,
          step.required_label, step.data_rack, step.max_per_worker,
          step.max_unavailable, step.image);
  Visit(archive, step.need);
  Visit(archive, step.estimate);
  Visit(archive, step.target);
}

template <typename Archive>
void Visit(Archive& archive, JobSpec& spec) {
  auto count = static_cast<std::uint32_t>(spec.steps.size());
  archive(spec.payload, spec.repeats, count);
  Visit(archive, spec.first_due);
  Visit(archive, spec.interval);
  spec.steps.resize(count);
  for (StepSpec& step : spec.steps) {
    Visit(archive, step);
  }
}

template <typename Archive>
void VisitRecord(Archive& archive, Job& job) {
  std::uint8_t layout = kRecordLayout;
  archive(layout, job.queue, job.service, job.customer);
  if (layout != kRecordLayout) {
    throw cereal::Exception("unknown layout");
  }
  Visit(archive, job.arrived_wall);
  Visit(archive, job.spec);
}

// A task in the stored progress of a job.
struct TaskRow {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  const Task* task = nullptr;
};

bool IsUntouched(const Task& task) {
  return !task.done && task.last_run == 0 && task.failed_runs.empty();
}

std::vector<TaskRow> TouchedTasks(const Occurrence& occurrence) {
  std::vector<TaskRow> rows;
  for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
    const auto& tasks = occurrence.steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      if (!IsUntouched(tasks[index])) {
        rows.push_back({step, index, &tasks[index]});
      }
    }
  }
  return rows;
}

void EncodeTask(cereal::PortableBinaryOutputArchive& archive,
                const TaskRow& row) {
  const Task& task = *row.task;
  archive(row.step, row.index, task.done, task.failed_runs, task.last_run,
          task.checkpoint, static_cast<std::uint32_t>(task.runs.size()));
  for (const Run& run : task.runs) {
    archive(run.number, run.worker.id, run.worker.incarnation_ms, run.machine,
            run.listed);
  }
  archive(static_cast<std::uint32_t>(task.withdrawn.size()));
  for (const WithdrawnStart& start : task.withdrawn) {
    archive(start.run, start.worker.id, start.worker.incarnation_ms,
            start.machine);
  }
}

void DecodeTask(cereal::PortableBinaryInputArchive& archive,
                std::uint8_t layout,
                Occurrence& occurrence) {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  archive(step, index);
  if (step >= occurrence.steps.size() ||
      index >= occurrence.steps[step].tasks.size()) {
    throw cereal::Exception("task outside the steps of the job");
  }
  Task& task = occurrence.steps[step].tasks[index];
  std::uint32_t runs = 0;
  archive(task.done, task.failed_runs, task.last_run, task.checkpoint, runs);
  for (std::uint32_t i = 0; i < runs; ++i) {
    Run& run = task.runs.emplace_back();
    archive(run.number, run.worker.id, run.worker.incarnation_ms, run.machine);
    if (layout != kFormerProgressLayout) {
      archive(run.listed);
    }
    run.phase = RunPhase::kRecovered;
    run.checkpoint = task.checkpoint;
  }
  std::uint32_t withdrawn = 0;
  if (layout != kFormerProgressLayout) {
    archive(withdrawn);
  }
  for (std::uint32_t i = 0; i < withdrawn; ++i) {
    WithdrawnStart& start = task.withdrawn.emplace_back();
    archive(start.run, start.worker.id, start.worker.incarnation_ms,
            start.machine);
  }
  if (task.done) {
    ++occurrence.steps[step].tasks_done;
  }
}

void DecodeOccurrence(cereal::PortableBinaryInputArchive& archive,
                      std::uint8_t layout,
                      Job& job) {
  std::uint32_t number = 0;
  std::uint32_t tasks = 0;
  archive(number, tasks);
  Occurrence& occurrence = job.occurrences.emplace_back();
  occurrence.number = number;
  occurrence.steps.resize(job.spec.steps.size());
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    occurrence.steps[i].tasks.resize(job.spec.steps[i].count);
  }
  for (std::uint32_t i = 0; i < tasks; ++i) {
    DecodeTask(archive, layout, occurrence);
  }
  for (const StepState& step : occurrence.steps) {
    occurrence.steps_done += step.tasks_done == step.tasks.size() ? 1 : 0;
  }
  RefreshReadySteps(job, occurrence);
}

}  // namespace

std::string EncodeRecord(const Job& job) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  // An output archive takes mutable references but does not change them.
  VisitRecord(archive, const_cast<Job&>(job));
  return std::move(out).str();
}

base::Result<Job> DecodeRecord(const std::string& id,
                               const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    Job job;
    job.id = id;
    VisitRecord(archive, job);
    return job;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::kInvalid,
                      fmt::format("record of job {}: {}", id, error.what()));
  }
}

std::string EncodeProgress(const Job& job) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(kProgressLayout, static_cast<std::uint8_t>(job.phase), job.started,
          job.next_occurrence, job.occurrences_done,
          static_cast<std::uint32_t>(
              IsFinished(job.phase) ? 0 : job.occurrences.size()));
  if (!IsFinished(job.phase)) {
    for (const Occurrence& occurrence : job.occurrences) {
      const std::vector<TaskRow> rows = TouchedTasks(occurrence);
      archive(occurrence.number, static_cast<std::uint32_t>(rows.size()));
      for (const TaskRow& row : rows) {
        EncodeTask(archive, row);
      }
    }
  }
  return std::move(out).str();
}

base::Result<void> DecodeProgress(Job& job, const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    std::uint8_t layout = 0;
    std::uint8_t phase = 0;
    std::uint32_t occurrences = 0;
    archive(layout, phase, job.started, job.next_occurrence,
            job.occurrences_done, occurrences);
    if (layout != kProgressLayout && layout != kFormerProgressLayout) {
      throw cereal::Exception("unknown layout");
    }
    job.phase = static_cast<JobPhase>(phase);
    job.stored_phase = job.phase;
    for (std::uint32_t i = 0; i < occurrences; ++i) {
      DecodeOccurrence(archive, layout, job);
    }
    return {};
  } catch (const std::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        fmt::format("progress of job {}: {}", job.id, error.what()));
  }
}

}  // namespace cassiastile::jobs
