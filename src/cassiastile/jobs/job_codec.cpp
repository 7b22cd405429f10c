// Serialization of jobs: records with cereal's portable binary archive,
// progress with MessagePack.
#include <algorithm>
#include <array>
#include <map>
#include <span>
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
// The same without tasks, which are in segments. Older programs leave such a
// job alone.
constexpr std::uint8_t kSplitProgressLayout = 5;
constexpr std::uint8_t kSegmentLayout = 1;
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

// Whether nothing but that it is done needs to be stored of the task.
bool IsSettled(const Task& task) {
  return task.done && task.runs.empty() && task.withdrawn.empty();
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
  // Of a split progress: one bit for each occurrence from `first_live` on, set
  // if it is over, with the lowest bit of each byte first.
  std::uint32_t first_live = 0;
  std::string over;

  MSGPACK_DEFINE(layout,
                 phase,
                 started,
                 next_occurrence,
                 occurrences_done,
                 workers,
                 occurrences,
                 customer,
                 first_live,
                 over);
};

struct PackedSegment {
  std::uint8_t layout = kSegmentLayout;
  std::uint64_t done = 0;  // A bit for each task.
  std::vector<PackedWorker> workers;
  // Tasks of which more is to be stored; their indices are in the segment.
  std::vector<PackedTask> tasks;
  std::vector<PackedCheckpoint> checkpoints;

  MSGPACK_DEFINE(layout, done, workers, tasks, checkpoints);
};
static_assert(kTasksOfSegment == 64);

constexpr std::size_t kBitsOfByte = 8;

void PackOver(const Job& job, PackedProgress& progress) {
  progress.first_live = job.occurrences.empty()
                            ? job.next_occurrence
                            : job.occurrences.front().number;
  const std::size_t count = job.next_occurrence - progress.first_live;
  progress.over.assign((count + kBitsOfByte - 1) / kBitsOfByte, '\xff');
  for (const Occurrence& occurrence : job.occurrences) {
    const std::uint32_t bit = occurrence.number - progress.first_live;
    progress.over[bit / kBitsOfByte] = static_cast<char>(
        progress.over[bit / kBitsOfByte] & ~(1U << (bit % kBitsOfByte)));
  }
}

// The names of workers in a row, each of which is stored once.
class WorkerIndex {
 public:
  std::uint32_t IndexOf(const WorkerId& id, const std::string& machine) {
    const auto [found, is_new] =
        m_index.emplace(PackedWorker{id.id, id.incarnation_ms, machine},
                        static_cast<std::uint32_t>(m_workers.size()));
    if (is_new) {
      m_workers.push_back(found->first);
    }
    return found->second;
  }
  std::vector<PackedWorker> Take() { return std::move(m_workers); }

 private:
  std::vector<PackedWorker> m_workers;
  std::map<PackedWorker, std::uint32_t> m_index;
};

PackedTask PackTask(const TaskRow& row, WorkerIndex& workers) {
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
        {run.number, workers.IndexOf(run.worker, run.machine), run.listed});
  }
  for (const WithdrawnStart& start : task.withdrawn) {
    packed.withdrawn.push_back(
        {start.run, workers.IndexOf(start.worker, start.machine), false});
  }
  for (const Crash& crash : task.crashes) {
    packed.crashes.push_back({crash.run, crash.certain, crash.proven});
  }
  return packed;
}

PackedProgress Pack(const Job& job, bool is_split) {
  PackedProgress progress;
  progress.phase = static_cast<std::uint8_t>(job.phase);
  progress.started = job.started;
  progress.next_occurrence = job.next_occurrence;
  progress.occurrences_done = job.occurrences_done;
  if (IsFinished(job.phase)) {
    progress.customer = job.customer;
    return progress;
  }
  if (is_split) {
    progress.layout = kSplitProgressLayout;
    PackOver(job, progress);
    return progress;
  }
  WorkerIndex workers;
  for (const Occurrence& occurrence : job.occurrences) {
    PackedOccurrence& packed = progress.occurrences.emplace_back();
    packed.number = occurrence.number;
    for (const TaskRow& row : TouchedTasks(occurrence)) {
      packed.tasks.push_back(PackTask(row, workers));
      if (!row.task->done && row.task->checkpoint_run != 0) {
        packed.checkpoints.push_back(
            {row.step, row.index, row.task->checkpoint_run});
      }
    }
  }
  progress.workers = workers.Take();
  return progress;
}

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
  const auto next = std::ranges::upper_bound(job.occurrences, number, {},
                                             &Occurrence::number);
  Occurrence& occurrence = *job.occurrences.emplace(next);
  occurrence.number = number;
  occurrence.steps.resize(job.spec.steps.size());
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    occurrence.steps[i].tasks.resize(job.spec.steps[i].count);
  }
  return occurrence;
}

// Derives what follows from the tasks that were read.
void FinishOccurrence(Job& job, Occurrence& occurrence) {
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    StepState& step = occurrence.steps[i];
    // The members of a gang are done together, but may be in several segments.
    if (job.spec.steps[i].gang &&
        std::ranges::any_of(step.tasks, &Task::done)) {
      for (Task& task : step.tasks) {
        task.done = true;
      }
    }
    step.tasks_done = static_cast<std::uint32_t>(
        std::ranges::count_if(step.tasks, &Task::done));
    occurrence.steps_done += step.tasks_done == step.tasks.size() ? 1 : 0;
  }
  RefreshReadySteps(job, occurrence);
}

// The same for the job, whose occurrences may be in rows of several commits.
void FinishProgress(Job& job) {
  std::uint32_t unfinished = 0;
  for (Occurrence& occurrence : job.occurrences) {
    FinishOccurrence(job, occurrence);
    unfinished += occurrence.steps_done < occurrence.steps.size() ? 1 : 0;
  }
  if (!IsFinished(job.phase)) {
    if (unfinished > job.next_occurrence) {
      throw std::out_of_range("more occurrences than have begun");
    }
    job.occurrences_done = job.next_occurrence - unfinished;
    std::erase_if(job.occurrences, &IsOver);
  }
}

void UnpackTask(const std::vector<PackedWorker>& workers,
                const PackedTask& packed,
                Task& task) {
  task.done = packed.done;
  task.last_run = packed.last_run;
  task.checkpoint = packed.checkpoint;
  task.failed_runs = packed.failed_runs;
  for (const PackedRun& each : packed.runs) {
    const PackedWorker& worker = workers.at(each.worker);
    Run& run = task.runs.emplace_back();
    run.number = each.number;
    run.worker = {worker.id, worker.incarnation_ms};
    run.machine = worker.machine;
    run.listed = each.listed;
    run.phase = RunPhase::kRecovered;
    run.checkpoint = task.checkpoint;
  }
  for (const PackedRun& each : packed.withdrawn) {
    const PackedWorker& worker = workers.at(each.worker);
    WithdrawnStart& start = task.withdrawn.emplace_back();
    start.run = each.number;
    start.worker = {worker.id, worker.incarnation_ms};
    start.machine = worker.machine;
  }
  for (const PackedCrash& each : packed.crashes) {
    task.crashes.push_back({each.run, each.certain, each.proven});
  }
}

// The occurrences that have begun, without those at the end of which nothing is
// stored: older programs began each as soon as it was due. They begin anew.
std::span<const PackedOccurrence> WithoutBacklog(const PackedProgress& progress,
                                                 Job& job) {
  std::span<const PackedOccurrence> begun = progress.occurrences;
  const auto repeated = std::ranges::adjacent_find(
      begun, std::greater_equal<>(), &PackedOccurrence::number);
  if (repeated != begun.end() ||
      (!begun.empty() && begun.back().number >= job.spec.Occurrences())) {
    throw std::out_of_range("an occurrence twice, or one of no job");
  }
  while (begun.size() > 1 && begun.back().tasks.empty() &&
         begun.back().number + 1 == job.next_occurrence) {
    job.next_occurrence = begun.back().number;
    begun = begun.first(begun.size() - 1);
  }
  return begun;
}

bool IsStoredAsOver(const PackedOccurrence& occurrence, const Job& job) {
  return occurrence.tasks.size() == TasksOfOccurrence(job.spec) &&
         std::ranges::all_of(occurrence.tasks, [](const PackedTask& task) {
           return task.done && task.runs.empty() && task.withdrawn.empty();
         });
}

// Adds the occurrences of a split progress that are not over.
void UnpackOver(const PackedProgress& progress, Job& job) {
  job.form = ProgressForm::kSplit;
  if (progress.first_live > job.next_occurrence ||
      progress.over.size() * kBitsOfByte <
          job.next_occurrence - progress.first_live) {
    throw std::out_of_range("occurrences of a split progress");
  }
  for (std::uint32_t number = progress.first_live; number < job.next_occurrence;
       ++number) {
    const std::uint32_t bit = number - progress.first_live;
    const auto byte =
        static_cast<unsigned char>(progress.over[bit / kBitsOfByte]);
    if ((byte >> (bit % kBitsOfByte) & 1U) == 0) {
      AddOccurrence(job, number);
    }
  }
}

void UnpackProgress(Job& job, const std::string& bytes) {
  const auto progress = base::UnpackBounded(bytes).get().as<PackedProgress>();
  if (progress.layout != kProgressLayout &&
      progress.layout != kSplitProgressLayout) {
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
  if (progress.layout == kSplitProgressLayout) {
    UnpackOver(progress, job);
    return;
  }
  for (const PackedOccurrence& packed : WithoutBacklog(progress, job)) {
    if (IsStoredAsOver(packed, job)) {
      continue;
    }
    Occurrence& occurrence = AddOccurrence(job, packed.number);
    for (const PackedTask& task : packed.tasks) {
      UnpackTask(progress.workers, task,
                 TaskAt(occurrence, task.step, task.index));
    }
    for (const PackedCheckpoint& saved : packed.checkpoints) {
      TaskAt(occurrence, saved.step, saved.index).checkpoint_run = saved.run;
    }
  }
}

// Calls `visit` with the live occurrence, the step and the index of each task
// of a segment whose occurrence is not over, and with the task's place in it.
template <typename TheJob, typename Visitor>
void VisitSegment(TheJob& job, SegmentNumber segment, const Visitor& visit) {
  const std::uint64_t tasks = TasksOfOccurrence(job.spec);
  const std::uint64_t first = segment * kTasksOfSegment;
  auto occurrence = std::ranges::lower_bound(
      job.occurrences, first / tasks, {},
      [](const Occurrence& each) -> std::uint64_t { return each.number; });
  for (; occurrence != job.occurrences.end() &&
         occurrence->number * tasks < first + kTasksOfSegment;
       ++occurrence) {
    std::uint64_t number = occurrence->number * tasks;
    for (std::uint32_t step = 0; step < occurrence->steps.size(); ++step) {
      auto& all = occurrence->steps[step].tasks;
      const std::uint64_t end = number + all.size();
      const std::uint64_t from = std::max(first, number);
      const std::uint64_t to = std::min(first + kTasksOfSegment, end);
      for (std::uint64_t each = from; each < to; ++each) {
        visit(step, all[each - number],
              static_cast<std::uint32_t>(each - first));
      }
      number = end;
    }
  }
}

void UnpackSegment(Job& job, SegmentNumber number, const std::string& bytes) {
  const auto segment = base::UnpackBounded(bytes).get().as<PackedSegment>();
  if (segment.layout != kSegmentLayout) {
    throw std::invalid_argument("unknown layout of a segment");
  }
  std::array<const PackedTask*, kTasksOfSegment> tasks{};
  std::array<std::uint32_t, kTasksOfSegment> checkpoint_runs{};
  for (const PackedTask& task : segment.tasks) {
    tasks.at(task.index) = &task;
  }
  for (const PackedCheckpoint& saved : segment.checkpoints) {
    checkpoint_runs.at(saved.index) = saved.run;
  }
  VisitSegment(job, number, [&](std::uint32_t, Task& task, std::uint32_t at) {
    if (tasks[at] != nullptr) {
      UnpackTask(segment.workers, *tasks[at], task);
      task.checkpoint_run = checkpoint_runs[at];
    }
    task.done = (segment.done >> at & 1U) != 0;
  });
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
}

// Reads a job's progress without its segments.
void DecodeTasks(Job& job, const std::string& bytes) {
  if (!bytes.empty() &&
      std::ranges::find(kCerealMarkers, bytes[0]) == std::end(kCerealMarkers)) {
    UnpackProgress(job, bytes);
    return;
  }
  base::BoundedReader archive(bytes);
  std::uint8_t layout = 0;
  std::uint8_t phase = 0;
  std::uint32_t occurrences = 0;
  archive(layout, phase, job.started, job.next_occurrence, job.occurrences_done,
          occurrences);
  if (layout != kCerealProgressLayout && layout != kOldestProgressLayout) {
    throw std::invalid_argument("unknown layout");
  }
  job.phase = PhaseOf(phase);
  job.stored_phase = job.phase;
  for (std::uint32_t i = 0; i < occurrences; ++i) {
    DecodeOccurrence(archive, layout, job);
  }
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

std::string EncodeProgress(const Job& job, bool is_split) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, Pack(job, is_split));
  return {buffer.data(), buffer.size()};
}

std::string EncodeSegment(const Job& job, SegmentNumber number) {
  PackedSegment segment;
  WorkerIndex workers;
  VisitSegment(job, number,
               [&](std::uint32_t, const Task& task, std::uint32_t at) {
                 segment.done |= std::uint64_t{task.done ? 1U : 0U} << at;
                 if (IsUntouched(task) || IsSettled(task)) {
                   return;
                 }
                 segment.tasks.push_back(PackTask({0, at, &task}, workers));
                 if (!task.done && task.checkpoint_run != 0) {
                   segment.checkpoints.push_back({0, at, task.checkpoint_run});
                 }
               });
  if (segment.done == 0 && segment.tasks.empty()) {
    return "";
  }
  segment.workers = workers.Take();
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, segment);
  return {buffer.data(), buffer.size()};
}

std::set<SegmentNumber> FindBegunSegments(const Job& job) {
  std::set<SegmentNumber> segments;
  std::uint64_t tasks = TasksOfOccurrence(job.spec);
  for (const Occurrence& occurrence : job.occurrences) {
    std::uint64_t number = occurrence.number * tasks;
    for (const StepState& step : occurrence.steps) {
      for (const Task& task : step.tasks) {
        if (!IsUntouched(task)) {
          segments.insert(number / kTasksOfSegment);
        }
        ++number;
      }
    }
  }
  return segments;
}

base::Result<void> DecodeProgress(Job& job,
                                  const std::string& bytes,
                                  const StoredSegments& segments) {
  try {
    DecodeTasks(job, bytes);
    for (const auto& [number, segment] : segments) {
      job.stored_segments[number] = segment.rows;
      if (job.form == ProgressForm::kSplit) {
        UnpackSegment(job, number, segment.bytes);
      }
    }
    FinishProgress(job);
    return {};
  } catch (const std::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        fmt::format("progress of job {}: {}", job.id, error.what()));
  }
}

}  // namespace cassiastile::jobs
