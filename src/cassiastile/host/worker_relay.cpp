#include "cassiastile/host/worker_relay.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cassiastile::host {

namespace {

constexpr std::chrono::milliseconds kMaxCollect{100};
// By then the leader has the outcome of a call, or has given it up.
constexpr std::chrono::milliseconds kLeaderLearnsOfFailure{3000};

jobs::TaskId TaskOf(const RelayedRun& run) {
  return {run.job, run.occurrence, run.step, run.index};
}

RelayedRun MakeRun(const jobs::TaskId& task, std::uint32_t run) {
  return {task.job, task.occurrence, task.step, task.index, run};
}

RelayedReport MakeReport(std::uint64_t call, const jobs::WorkerReport& report) {
  RelayedReport relayed;
  relayed.call = call;
  relayed.incarnation_ms = report.incarnation_ms;
  relayed.steady_ms = report.clock.count();
  relayed.ends_cut = report.ends_cut;
  for (const jobs::ListedRun& run : report.running) {
    relayed.running.push_back(
        {MakeRun(run.task, run.run), run.checkpoint, run.percent, run.load});
  }
  for (const jobs::ListedEnd& end : report.ended) {
    relayed.ended.push_back({end.sequence, MakeRun(end.task, end.run),
                             static_cast<std::uint8_t>(end.how),
                             end.checkpoint});
  }
  return relayed;
}

WorkerAddress AddressOf(const RelayBatch& batch, std::uint32_t index) {
  const RelayedWorker& worker = batch.workers[index];
  return {{worker.id, worker.incarnation_ms}, worker.endpoint, ""};
}

std::uint64_t FenceOf(const RelayBatch& batch, std::uint32_t index) {
  const std::uint64_t fence = batch.workers[index].fence;
  return fence > 0 ? fence : batch.fence;
}

}  // namespace

WorkerRelay::WorkerRelay(WorkerPort& workers,
                         PeerPort& peers,
                         Loop& loop,
                         EventLog& log,
                         RelayIdentity identity)
    : m_workers(workers),
      m_peers(peers),
      m_loop(loop),
      m_log(log),
      m_identity(std::move(identity)) {}

RelayReply WorkerRelay::Handle(const RelayBatch& batch) {
  RelayReply reply;
  reply.incarnation = m_identity.incarnation;
  reply.availability_zone = m_identity.availability_zone;
  reply.has_worker_fences = true;
  reply.steady_ms =
      base::Milliseconds(m_loop.GetClock().Now().time_since_epoch());
  reply.verdict = Check(batch, reply.steady_ms);
  if (reply.verdict == RelayVerdict::kTaken) {
    if (batch.fence != m_highest_fence) {
      m_highest_fence = batch.fence;
      m_outbox = {};
      m_failed_at.clear();
      m_outbox.results.fence = batch.fence;
    }
    m_outbox.endpoint = batch.reply_endpoint;
    m_outbox.collect = std::clamp(std::chrono::milliseconds(batch.collect_ms),
                                  std::chrono::milliseconds(0), kMaxCollect);
    Carry(batch);
  } else if (!batch.relay_incarnation.empty()) {
    m_log.Write("relay.refused",
                {{"fence", batch.fence},
                 {"highest_fence", m_highest_fence},
                 {"late_ms", reply.steady_ms - batch.valid_until_ms},
                 {"verdict", static_cast<int>(reply.verdict)}});
  }
  return reply;
}

RelayVerdict WorkerRelay::Check(const RelayBatch& batch,
                                std::int64_t steady_ms) const {
  if (batch.fence < m_highest_fence) {
    return RelayVerdict::kFenced;
  }
  if (batch.relay_incarnation != m_identity.incarnation) {
    return RelayVerdict::kOtherIncarnation;
  }
  return steady_ms > batch.valid_until_ms ? RelayVerdict::kExpired
                                          : RelayVerdict::kTaken;
}

bool WorkerRelay::MayHaveRestarted(const std::string& worker) const {
  const auto failed = m_failed_at.find(worker);
  return failed != m_failed_at.end() &&
         m_loop.GetClock().Now() - failed->second < kLeaderLearnsOfFailure;
}

void WorkerRelay::Carry(const RelayBatch& batch) {
  const std::uint64_t fence = batch.fence;
  for (const RelayedExtension& each : batch.extensions) {
    LeaseExtension extension;
    extension.fence = FenceOf(batch, each.worker);
    extension.acknowledged_end = each.acknowledged_end;
    if (each.until_ms >= 0) {
      extension.until = std::chrono::milliseconds(each.until_ms);
    }
    extension.wait = std::chrono::milliseconds(each.wait_ms);
    extension.fresh_connection = each.fresh_connection;
    const WorkerAddress worker = AddressOf(batch, each.worker);
    if (each.acknowledged_end > 0 && MayHaveRestarted(worker.id.id)) {
      Collect(fence)->results.failures.push_back(
          {each.call, false, false, false, "not sent after a failed call"});
      continue;
    }
    m_workers.Extend(
        worker, extension,
        m_lifetime.Guard(
            [this, fence, id = worker.id.id, call = each.call](
                tl::expected<jobs::WorkerReport, WorkerCallFailure> result) {
              NoteAnswer(id, result.has_value());
              Outbox* outbox = Collect(fence);
              if (outbox == nullptr) {
                return;
              }
              if (result) {
                outbox->results.reports.push_back(MakeReport(call, *result));
                return;
              }
              WorkerCallFailure& failure = result.error();
              outbox->results.failures.push_back(
                  {call, failure.refused, failure.fenced,
                   failure.other_incarnation, std::move(failure.message)});
            }));
  }
  for (const RelayedStart& each : batch.starts) {
    const WorkerAddress worker = AddressOf(batch, each.worker);
    m_workers.Start(
        worker,
        {worker.id, TaskOf(each.run), each.run.run,
         batch.payloads[each.payload], each.checkpoint, each.ticket},
        FenceOf(batch, each.worker), std::chrono::milliseconds(each.until_ms),
        m_lifetime.Guard([this, fence, id = worker.id.id,
                          call = each.call](const StartAnswer& answer) {
          const jobs::StartResult result = answer.result;
          if (result == jobs::StartResult::kUnknown ||
              result == jobs::StartResult::kUnreachable ||
              result == jobs::StartResult::kOtherIncarnation) {
            NoteAnswer(id, false);
          }
          if (Outbox* outbox = Collect(fence)) {
            outbox->results.starts.push_back(
                {call, static_cast<std::uint8_t>(result),
                 answer.clock ? answer.clock->count() : -1});
          }
        }));
  }
  const auto answer = [this, fence](const WorkerAddress& worker,
                                    std::uint64_t call) {
    return m_lifetime.Guard(
        [this, fence, id = worker.id.id, call](bool answered) {
          if (!answered) {
            NoteAnswer(id, false);
          }
          if (Outbox* outbox = Collect(fence)) {
            outbox->results.changes.push_back(
                {call, static_cast<std::uint8_t>(answered ? 1 : 0)});
          }
        });
  };
  for (const RelayedChange& each : batch.stops) {
    const WorkerAddress worker = AddressOf(batch, each.worker);
    m_workers.Stop(
        worker,
        {worker.id, TaskOf(each.run), each.run.run, jobs::StopReason::kUnknown},
        FenceOf(batch, each.worker), answer(worker, each.call));
  }
  for (const RelayedChange& each : batch.paces) {
    const WorkerAddress worker = AddressOf(batch, each.worker);
    m_workers.Pace(worker,
                   {worker.id, TaskOf(each.run), each.run.run, each.value},
                   FenceOf(batch, each.worker), answer(worker, each.call));
  }
}

void WorkerRelay::NoteAnswer(const std::string& worker, bool answered) {
  if (answered) {
    m_failed_at.erase(worker);
  } else {
    m_failed_at[worker] = m_loop.GetClock().Now();
  }
}

WorkerRelay::Outbox* WorkerRelay::Collect(std::uint64_t fence) {
  if (fence != m_highest_fence) {
    return nullptr;
  }
  if (!m_outbox.is_armed) {
    m_outbox.is_armed = true;
    m_loop.After(m_outbox.collect, m_lifetime.Guard([this] { Flush(); }));
  }
  return &m_outbox;
}

void WorkerRelay::Flush() {
  m_outbox.is_armed = false;
  RelayResults results;
  results.fence = m_highest_fence;
  std::swap(results, m_outbox.results);
  m_peers.SendRelayResults(m_outbox.endpoint, results);
}

}  // namespace cassiastile::host
