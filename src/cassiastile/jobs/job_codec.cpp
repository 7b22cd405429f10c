// Serialization of jobs: records with cereal's portable binary archive,
// progress with MessagePack.
#include <algorithm>
#include <map>
#include <sstream>
#include <tuple>

#include <fmt/format.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <msgpack.hpp>

#include "cassiastile/base/bounded_reader.hpp"
#include "cassiastile/base/bounded_unpack.hpp"
#include "cassiastile/jobs/job.hpp"

namespace cassiastile::jobs {

namespace {

// Incremented when older programs can't read the new layout.
constexpr std::uint8_t kRecordLayout = 2;
constexpr std::uint8_t kProgressLayout = 4;
// Layouts of older programs, in cereal's archive. Layout 2 has neither
// withdrawn starts nor which runs are listed.
constexpr std::uint8_t kCerealProgressLayout = 3;
constexpr std::uint8_t kOldestProgressLayout = 2;
// The first byte of such an archive: whether it is little-endian.
constexpr char kCerealMarkers[] = {0, 1};

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
  if (count > kMaxSteps) {
    throw std::invalid_argument("too many steps");
  }
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
    throw std::invalid_argument("unknown layout");
  }
  Visit(archive, job.arrived_wall);
  Visit(archive, job.spec);
}

template <typename Archive>
void Visit(Archive& archive, AcceptedTerms& terms) {
  bool has_advice = terms.advice.has_value();
  AdviceConfig advice = terms.advice.value_or(AdviceConfig{});
  archive(terms.priority, terms.max_attempts, terms.stretch, has_advice);
  Visit(archive, terms.slack);
  Visit(archive, advice.decision);
  Visit(archive, advice.period);
  Visit(archive, advice.validity);
  archive(terms.has_customer, terms.weight);
  Visit(archive, terms.limit);
  if (has_advice) {
    terms.advice = advice;
  }
}

bool IsPlausible(const AcceptedTerms& terms) {
  const AdviceConfig advice = terms.advice.value_or(AdviceConfig{});
  const auto is_time = [](std::chrono::milliseconds time) {
    return time.count() >= 0 && time <= kMaxConfiguredTime;
  };
  const Resources& limit = terms.limit;
  // Comparisons with a number that is none are false.
  return terms.stretch >= 0 && terms.weight >= 0 && is_time(terms.slack) &&
         is_time(advice.decision) && is_time(advice.period) &&
         is_time(advice.validity) && limit.cpu >= 0 && limit.memory >= 0 &&
         limit.gpus >= 0;
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

// The rows of layout 4. Each is an array, so fields may be added at the end. A
// job's progress is written several times for each of its tasks, and most of it
// would be names of workers: each is stored once and referred to by its index.
struct PackedWorker {
  std::string id;
  std::int64_t incarnation_ms = 0;
  std::string machine;

  auto Key() const { return std::tie(id, incarnation_ms, machine); }
  bool operator<(const PackedWorker& other) const {
    return Key() < other.Key();
  }
  MSGPACK_DEFINE(id, incarnation_ms, machine);
};

struct PackedRun {
  std::uint32_t number = 0;
  std::uint32_t worker = 0;
  bool listed = false;

  MSGPACK_DEFINE(number, worker, listed);
};

struct PackedCrash {
  std::uint32_t run = 0;
  bool certain = false;
  bool proven = false;

  MSGPACK_DEFINE(run, certain, proven);
};

struct PackedTask {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  bool done = false;
  std::uint32_t last_run = 0;
  std::string checkpoint;
  std::vector<std::uint32_t> failed_runs;
  std::vector<PackedRun> runs;
  std::vector<PackedRun> withdrawn;
  std::vector<PackedCrash> crashes;  // Missing in rows of older programs.

  MSGPACK_DEFINE(step,
                 index,
                 done,
                 last_run,
                 checkpoint,
                 failed_runs,
                 runs,
                 withdrawn,
                 crashes);
};

// Which run has saved the checkpoint of a task.
struct PackedCheckpoint {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint32_t run = 0;

  MSGPACK_DEFINE(step, index, run);
};

struct PackedOccurrence {
  std::uint32_t number = 0;
  std::vector<PackedTask> tasks;
  // Apart from the tasks, most of which have none. Missing in rows of older
  // programs.
  std::vector<PackedCheckpoint> checkpoints;

  MSGPACK_DEFINE(number, tasks, checkpoints);
};

struct PackedProgress {
  std::uint8_t layout = kProgressLayout;
  std::uint8_t phase = 0;
  bool started = false;
  std::uint32_t next_occurrence = 0;
  std::uint32_t occurrences_done = 0;
  std::vector<PackedWorker> workers;
  std::vector<PackedOccurrence> occurrences;
  // Of a finished job, whose record is removed. Missing in rows of older
  // programs.
  std::string customer;

  MSGPACK_DEFINE(layout,
                 phase,
                 started,
                 next_occurrence,
                 occurrences_done,
                 workers,
                 occurrences,
                 customer);
};

class ProgressPacker {
 public:
  PackedProgress Pack(const Job& job) {
    m_progress.phase = static_cast<std::uint8_t>(job.phase);
    m_progress.started = job.started;
    m_progress.next_occurrence = job.next_occurrence;
    m_progress.occurrences_done = job.occurrences_done;
    if (IsFinished(job.phase)) {
      m_progress.customer = job.customer;
    } else {
      for (const Occurrence& occurrence : job.occurrences) {
        PackedOccurrence& packed = m_progress.occurrences.emplace_back();
        packed.number = occurrence.number;
        for (const TaskRow& row : TouchedTasks(occurrence)) {
          packed.tasks.push_back(PackTask(row));
          if (!row.task->done && row.task->checkpoint_run != 0) {
            packed.checkpoints.push_back(
                {row.step, row.index, row.task->checkpoint_run});
          }
        }
      }
    }
    return std::move(m_progress);
  }

 private:
  std::uint32_t IndexOf(const WorkerId& id, const std::string& machine) {
    const auto [found, is_new] =
        m_index.emplace(PackedWorker{id.id, id.incarnation_ms, machine},
                        static_cast<std::uint32_t>(m_progress.workers.size()));
    if (is_new) {
      m_progress.workers.push_back(found->first);
    }
    return found->second;
  }

  PackedTask PackTask(const TaskRow& row) {
    const Task& task = *row.task;
    PackedTask packed;
    packed.step = row.step;
    packed.index = row.index;
    packed.done = task.done;
    packed.last_run = task.last_run;
    packed.checkpoint = task.checkpoint;
    packed.failed_runs = task.failed_runs;
    for (const Run& run : task.runs) {
      packed.runs.push_back(
          {run.number, IndexOf(run.worker, run.machine), run.listed});
    }
    for (const WithdrawnStart& start : task.withdrawn) {
      packed.withdrawn.push_back(
          {start.run, IndexOf(start.worker, start.machine), false});
    }
    for (const Crash& crash : task.crashes) {
      packed.crashes.push_back({crash.run, crash.certain, crash.proven});
    }
    return packed;
  }

  PackedProgress m_progress;
  std::map<PackedWorker, std::uint32_t> m_index;
};

Task& TaskAt(Occurrence& occurrence, std::uint32_t step, std::uint32_t index) {
  if (step >= occurrence.steps.size() ||
      index >= occurrence.steps[step].tasks.size()) {
    throw std::out_of_range("task outside the steps of the job");
  }
  return occurrence.steps[step].tasks[index];
}

JobPhase PhaseOf(std::uint8_t phase) {
  if (phase >= kJobPhaseNames.size()) {
    throw std::out_of_range("unknown phase");
  }
  return static_cast<JobPhase>(phase);
}

Occurrence& AddOccurrence(Job& job, std::uint32_t number) {
  if (number >= std::max(1U, job.spec.repeats) ||
      FindOccurrence(job, number) != nullptr) {
    throw std::out_of_range("occurrence that the job doesn't have, or twice");
  }
  Occurrence& occurrence = job.occurrences.emplace_back();
  occurrence.number = number;
  occurrence.steps.resize(job.spec.steps.size());
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    occurrence.steps[i].tasks.resize(job.spec.steps[i].count);
  }
  return occurrence;
}

void FinishOccurrence(Job& job, Occurrence& occurrence) {
  for (StepState& step : occurrence.steps) {
    step.tasks_done = static_cast<std::uint32_t>(
        std::ranges::count_if(step.tasks, &Task::done));
    occurrence.steps_done += step.tasks_done == step.tasks.size() ? 1 : 0;
  }
  RefreshReadySteps(job, occurrence);
}

void UnpackTask(const PackedProgress& progress,
                const PackedTask& packed,
                Occurrence& occurrence) {
  Task& task = TaskAt(occurrence, packed.step, packed.index);
  task.done = packed.done;
  task.last_run = packed.last_run;
  task.checkpoint = packed.checkpoint;
  task.failed_runs = packed.failed_runs;
  for (const PackedRun& each : packed.runs) {
    const PackedWorker& worker = progress.workers.at(each.worker);
    Run& run = task.runs.emplace_back();
    run.number = each.number;
    run.worker = {worker.id, worker.incarnation_ms};
    run.machine = worker.machine;
    run.listed = each.listed;
    run.phase = RunPhase::kRecovered;
    run.checkpoint = task.checkpoint;
  }
  for (const PackedRun& each : packed.withdrawn) {
    const PackedWorker& worker = progress.workers.at(each.worker);
    WithdrawnStart& start = task.withdrawn.emplace_back();
    start.run = each.number;
    start.worker = {worker.id, worker.incarnation_ms};
    start.machine = worker.machine;
  }
  for (const PackedCrash& each : packed.crashes) {
    task.crashes.push_back({each.run, each.certain, each.proven});
  }
}

void UnpackProgress(Job& job, const std::string& bytes) {
  const auto progress = base::UnpackBounded(bytes).get().as<PackedProgress>();
  if (progress.layout != kProgressLayout) {
    throw std::invalid_argument("unknown layout");
  }
  job.phase = PhaseOf(progress.phase);
  job.stored_phase = job.phase;
  job.started = progress.started;
  job.next_occurrence = progress.next_occurrence;
  job.occurrences_done = progress.occurrences_done;
  if (IsFinished(job.phase) && job.customer.empty()) {
    job.customer = progress.customer;
  }
  for (const PackedOccurrence& packed : progress.occurrences) {
    Occurrence& occurrence = AddOccurrence(job, packed.number);
    for (const PackedTask& task : packed.tasks) {
      UnpackTask(progress, task, occurrence);
    }
    for (const PackedCheckpoint& saved : packed.checkpoints) {
      TaskAt(occurrence, saved.step, saved.index).checkpoint_run = saved.run;
    }
    FinishOccurrence(job, occurrence);
  }
}

void DecodeTask(base::BoundedReader& archive,
                std::uint8_t layout,
                Occurrence& occurrence) {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  archive(step, index);
  Task& task = TaskAt(occurrence, step, index);
  std::uint32_t runs = 0;
  archive(task.done, task.failed_runs, task.last_run, task.checkpoint, runs);
  for (std::uint32_t i = 0; i < runs; ++i) {
    Run& run = task.runs.emplace_back();
    archive(run.number, run.worker.id, run.worker.incarnation_ms, run.machine);
    if (layout != kOldestProgressLayout) {
      archive(run.listed);
    }
    run.phase = RunPhase::kRecovered;
    run.checkpoint = task.checkpoint;
  }
  std::uint32_t withdrawn = 0;
  if (layout != kOldestProgressLayout) {
    archive(withdrawn);
  }
  for (std::uint32_t i = 0; i < withdrawn; ++i) {
    WithdrawnStart& start = task.withdrawn.emplace_back();
    archive(start.run, start.worker.id, start.worker.incarnation_ms,
            start.machine);
  }
}

void DecodeOccurrence(base::BoundedReader& archive,
                      std::uint8_t layout,
                      Job& job) {
  std::uint32_t number = 0;
  std::uint32_t tasks = 0;
  archive(number, tasks);
  Occurrence& occurrence = AddOccurrence(job, number);
  for (std::uint32_t i = 0; i < tasks; ++i) {
    DecodeTask(archive, layout, occurrence);
  }
  FinishOccurrence(job, occurrence);
}

}  // namespace

std::string EncodeRecord(const Job& job) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  // An output archive takes mutable references but does not change them.
  VisitRecord(archive, const_cast<Job&>(job));
  // After what older programs read; they ignore it.
  if (job.terms) {
    AcceptedTerms terms = *job.terms;
    Visit(archive, terms);
  }
  return std::move(out).str();
}

base::Result<Job> DecodeRecord(const std::string& id,
                               const std::string& bytes) {
  try {
    base::BoundedReader archive(bytes);
    Job job;
    job.id = id;
    VisitRecord(archive, job);
    if (archive.HasMore()) {
      AcceptedTerms terms;
      Visit(archive, terms);
      if (IsPlausible(terms)) {
        job.terms = terms;
      }
    }
    if (const auto checked = CheckSpec(job.spec); !checked) {
      throw std::invalid_argument(checked.error().message);
    }
    return job;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::kInvalid,
                      fmt::format("record of job {}: {}", id, error.what()));
  }
}

std::string EncodeProgress(const Job& job) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, ProgressPacker().Pack(job));
  return {buffer.data(), buffer.size()};
}

base::Result<void> DecodeProgress(Job& job, const std::string& bytes) {
  try {
    if (!bytes.empty() && std::ranges::find(kCerealMarkers, bytes[0]) ==
                              std::end(kCerealMarkers)) {
      UnpackProgress(job, bytes);
      return {};
    }
    base::BoundedReader archive(bytes);
    std::uint8_t layout = 0;
    std::uint8_t phase = 0;
    std::uint32_t occurrences = 0;
    archive(layout, phase, job.started, job.next_occurrence,
            job.occurrences_done, occurrences);
    if (layout != kCerealProgressLayout && layout != kOldestProgressLayout) {
      throw std::invalid_argument("unknown layout");
    }
    job.phase = PhaseOf(phase);
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
