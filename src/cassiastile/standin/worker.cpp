#include "cassiastile/standin/worker.hpp"

#include <algorithm>
#include <array>
#include <set>

#include <nlohmann/json.hpp>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::standin {

namespace {

using work::RunEnd;

constexpr std::array<base::EnumName<WorkerEvent>, 6> kEventNames{{
    {WorkerEvent::kStarted, "started"},
    {WorkerEvent::kSucceeded, "succeeded"},
    {WorkerEvent::kFailed, "failed"},
    {WorkerEvent::kCheckpointed, "checkpointed"},
    {WorkerEvent::kStopped, "stopped"},
    {WorkerEvent::kNotStarted, "not-started"},
}};

WorkerEvent EventOf(RunEnd end) {
  switch (end) {
    case RunEnd::kSucceeded:
      return WorkerEvent::kSucceeded;
    case RunEnd::kFailed:
      return WorkerEvent::kFailed;
    case RunEnd::kCheckpointed:
      return WorkerEvent::kCheckpointed;
    case RunEnd::kStopped:
      return WorkerEvent::kStopped;
    case RunEnd::kNotStarted:
      return WorkerEvent::kNotStarted;
  }
  return WorkerEvent::kStopped;
}

nlohmann::json ParsePayload(const std::string& payload) {
  nlohmann::json json = nlohmann::json::parse(payload, nullptr, false);
  return json.is_object() ? json : nlohmann::json::object();
}

double ParseProgress(const std::string& checkpoint) {
  return checkpoint.empty() ? 0 : std::strtod(checkpoint.c_str(), nullptr);
}

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::string_view NameOf(WorkerEvent event) {
  return base::FindName(kEventNames, event);
}

Worker::Worker(WorkerOptions options, Log log)
    : m_options(std::move(options)), m_log(std::move(log)) {}

void Worker::Advance(base::TimePoint now) {
  if (m_paused) {
    return;
  }
  const double passed = m_now == base::TimePoint{} ? 0 : Seconds(now - m_now);
  m_now = now;
  StopExpiredRuns();
  std::vector<std::pair<std::string, RunEnd>> ended_runs;
  for (auto& [key, run] : m_runs) {
    run.done += passed * run.throttle;
    if (run.checkpointing && now >= run.checkpoint_at) {
      ended_runs.emplace_back(key, RunEnd::kCheckpointed);
    } else if (run.fails || m_failing) {
      ended_runs.emplace_back(key, RunEnd::kFailed);
    } else if (run.done >= run.seconds) {
      ended_runs.emplace_back(key, RunEnd::kSucceeded);
    }
  }
  for (const auto& [key, end] : ended_runs) {
    End(key, end, end == RunEnd::kFailed ? "exit status 1" : "");
  }
}

work::WorkerPoll Worker::MakePoll(const std::string& pool) {
  work::WorkerPoll poll;
  m_has_unreported_runs = false;
  poll.worker = m_options.name;
  poll.incarnation = m_options.incarnation;
  poll.sequence = ++m_sequence;
  poll.pool = pool;
  poll.leaving = m_leaving;
  const std::string& run_pool = pool.empty() ? m_home_pool : pool;
  for (const auto& [key, run] : m_runs) {
    if (run.pool == run_pool) {
      const bool measured = m_now - run.started >= m_options.usage_lag;
      poll.held.push_back(
          {key, run.order.epoch, run.done / run.seconds, measured,
           measured ? run.usage * run.throttle : work::Resources{}});
    }
  }
  for (const Ended& ended : m_ended) {
    if (ended.pool == run_pool) {
      poll.ended.push_back(ended.run);
    }
  }
  return poll;
}

std::vector<std::string> Worker::PoolsToPoll() const {
  std::set<std::string> pools{m_home_pool};
  for (const auto& [key, run] : m_runs) {
    pools.insert(run.pool);
  }
  for (const Ended& ended : m_ended) {
    pools.insert(ended.pool);
  }
  return {pools.begin(), pools.end()};
}

void Worker::ApplyAnswer(const work::PollAnswer& answer,
                         base::TimePoint sent,
                         base::TimePoint now) {
  if (m_paused) {
    return;
  }
  Advance(now);
  std::uint64_t& seen = m_shard_epochs[answer.pool];
  if (answer.shard_epoch != 0 && answer.shard_epoch < seen) {
    return;
  }
  m_lease_ends[answer.pool] = sent + answer.lease;
  if (answer.shard_epoch == 0) {
    return;
  }
  seen = answer.shard_epoch;
  m_home_pool = answer.home_pool.empty() ? m_home_pool : answer.home_pool;
  ApplyOrders(answer);
  for (const work::StartOrder& order : answer.start) {
    Start(order, answer.pool, now);
  }
}

void Worker::Leave(base::TimePoint now) {
  Advance(now);
  m_leaving = true;
  std::vector<std::string> stopped;
  for (auto& [key, run] : m_runs) {
    if (run.order.spec.checkpointable) {
      BeginCheckpoint(run);
    } else if (run.order.spec.idempotent) {
      stopped.push_back(key);
    }
  }
  for (const std::string& key : stopped) {
    End(key, RunEnd::kStopped, "the worker leaves");
  }
}

bool Worker::IsIdle() const {
  return m_runs.empty() && m_ended.empty();
}

void Worker::SetPaused(bool paused) {
  m_paused = paused;
}

bool Worker::IsPaused() const {
  return m_paused;
}

void Worker::SetFailing(bool failing) {
  m_failing = failing;
}

void Worker::Restart(base::TimePoint now) {
  m_now = now;
  for (const auto& [key, run] : m_runs) {
    RecordEvent(WorkerEvent::kStopped, run);
  }
  m_runs.clear();
  m_ended.clear();
  m_started.clear();
  m_shard_epochs.clear();
  m_lease_ends.clear();
  m_home_pool.clear();
  m_sequence = 0;
  m_paused = false;
  m_leaving = false;
  ++m_options.incarnation;
}

bool Worker::HasUnreportedRuns() const {
  return m_has_unreported_runs;
}

const std::string& Worker::Name() const {
  return m_options.name;
}

std::size_t Worker::RunCount() const {
  return m_runs.size();
}

void Worker::Start(const work::StartOrder& order,
                   const std::string& pool,
                   base::TimePoint now) {
  const std::string key = work::KeyOf(order.spec);
  std::uint64_t& started = m_started[key];
  if (started >= order.epoch) {
    return;
  }
  if (m_leaving || now >= m_lease_ends[pool] || m_runs.contains(key)) {
    started = order.epoch;
    ReportWithoutRun(order, pool, RunEnd::kNotStarted, "takes no new tasks");
    return;
  }
  started = order.epoch;
  const nlohmann::json payload = ParsePayload(order.spec.payload);
  Run run;
  run.order = order;
  run.pool = pool;
  run.usage = {payload.value("cores", order.spec.declared.cores),
               payload.value("memory_gb", order.spec.declared.memory_gb),
               order.spec.declared.accelerators};
  run.seconds = payload.value("seconds", order.spec.seconds);
  run.fails = payload.value("fail", false);
  run.done = ParseProgress(order.checkpoint);
  run.done_before = run.done;
  run.started = now;
  RecordEvent(WorkerEvent::kStarted, run);
  m_runs.emplace(key, std::move(run));
}

void Worker::End(const std::string& key, RunEnd end, std::string message) {
  const auto found = m_runs.find(key);
  const Run run = found->second;
  m_runs.erase(found);
  work::EndedRun ended;
  ended.key = key;
  ended.epoch = run.order.epoch;
  ended.end = end;
  ended.seconds = run.done;
  ended.used = run.usage * (run.done - run.done_before);
  ended.checkpoint =
      end == RunEnd::kCheckpointed ? std::to_string(run.done) : "";
  ended.message = std::move(message);
  m_ended.push_back({run.pool, std::move(ended)});
  m_has_unreported_runs = true;
  RecordEvent(EventOf(end), run);
}

void Worker::ReportWithoutRun(const work::StartOrder& order,
                              const std::string& pool,
                              RunEnd end,
                              std::string message) {
  work::EndedRun ended;
  ended.key = work::KeyOf(order.spec);
  ended.epoch = order.epoch;
  ended.end = end;
  ended.message = std::move(message);
  m_ended.push_back({pool, std::move(ended)});
  m_has_unreported_runs = true;
  Run run;
  run.order = order;
  RecordEvent(EventOf(end), run);
}

void Worker::StopExpiredRuns() {
  std::vector<std::string> expired;
  for (const auto& [key, run] : m_runs) {
    if (m_now >= m_lease_ends[run.pool]) {
      expired.push_back(key);
    }
  }
  for (const std::string& key : expired) {
    End(key, RunEnd::kStopped, "the lease lapsed");
  }
}

void Worker::ApplyOrders(const work::PollAnswer& answer) {
  for (auto& [key, run] : m_runs) {
    if (run.pool == answer.pool) {
      run.throttle = 1;
    }
  }
  const auto holds = [this](const work::RunRef& ref) {
    const auto found = m_runs.find(ref.key);
    return found != m_runs.end() && found->second.order.epoch == ref.epoch;
  };
  for (const work::RunRef& ref : answer.stop) {
    if (holds(ref)) {
      End(ref.key, RunEnd::kStopped, "told to stop");
    }
  }
  for (const work::RunRef& ref : answer.checkpoint) {
    if (holds(ref)) {
      BeginCheckpoint(m_runs.at(ref.key));
    }
  }
  for (const work::ThrottleOrder& order : answer.throttle) {
    if (holds(order.run)) {
      m_runs.at(order.run.key).throttle = order.fraction;
    }
  }
  std::erase_if(m_ended, [&answer](const Ended& ended) {
    const work::RunRef ref{ended.run.key, ended.run.epoch};
    return std::find(answer.acknowledged.begin(), answer.acknowledged.end(),
                     ref) != answer.acknowledged.end();
  });
}

void Worker::BeginCheckpoint(Run& run) {
  if (!run.checkpointing) {
    run.checkpointing = true;
    run.checkpoint_at = m_now + m_options.checkpoint_time;
  }
}

void Worker::RecordEvent(WorkerEvent event, const Run& run) {
  WorkerLogEntry line;
  line.at = m_now;
  line.event = event;
  line.worker = m_options.name;
  line.key = work::KeyOf(run.order.spec);
  line.epoch = run.order.epoch;
  line.team = run.order.spec.team;
  line.idempotent = run.order.spec.idempotent;
  line.usage = run.usage;
  line.seconds = run.done - run.done_before;
  m_log(line);
}

}  // namespace cassiastile::standin
