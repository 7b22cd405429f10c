#include "cassiastile/standin/worker_agent.hpp"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "cassiastile/wire/problem.hpp"

namespace cassiastile::standin {

namespace {

constexpr std::chrono::milliseconds kTick{50};
// When a run ends, the next poll is made at once, but no sooner than this after
// the last one.
constexpr std::chrono::milliseconds kMinPollGap{100};
// The time until the next poll after one without an answer.
constexpr std::chrono::milliseconds kRetryAfter{500};
constexpr int kOk = 200;

}  // namespace

std::unique_ptr<WorkerAgent> WorkerAgent::Start(const base::Clock& clock,
                                                WorkerAgentOptions options) {
  std::unique_ptr<WorkerAgent> agent(
      new WorkerAgent(clock, std::move(options)));
  agent->m_ticker = std::thread([&agent = *agent] { agent.Tick(); });
  agent->m_poller =
      std::thread([&agent = *agent] { agent.PollUntilStopped(); });
  return agent;
}

WorkerAgent::WorkerAgent(const base::Clock& clock, WorkerAgentOptions options)
    : m_clock(clock),
      m_options(std::move(options)),
      m_client(wire::HttpClient::Create()),
      m_worker(m_options.worker,
               [this](const WorkerLogEntry& line) { LogLine(line); }) {}

WorkerAgent::~WorkerAgent() {
  Stop();
}

void WorkerAgent::Register(wire::Router& router) {
  router.Add("POST", "/v1/faults",
             [this](const wire::HttpRequest& request,
                    const wire::HttpResponder& respond) {
               respond(SetFaults(request.body));
             });
}

void WorkerAgent::Stop() {
  std::unique_lock lock(m_mutex);
  if (!m_stopping) {
    m_worker.Leave(m_clock.Now());
    m_changed.wait_for(lock, m_options.stop_deadline,
                       [this] { return m_worker.IsIdle(); });
  }
  m_stopping = true;
  lock.unlock();
  m_changed.notify_all();
  for (std::thread* thread : {&m_ticker, &m_poller}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

void WorkerAgent::Tick() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    m_worker.Advance(m_clock.Now());
    m_changed.wait_for(lock, kTick, [this] { return m_stopping; });
  }
}

void WorkerAgent::PollUntilStopped() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    lock.unlock();
    PollOnce();
    lock.lock();
    m_changed.notify_all();
    const base::TimePoint start = m_clock.Now();
    while (!m_stopping && m_clock.Now() - start < m_poll_after &&
           (!m_worker.HasUnreportedRuns() ||
            m_clock.Now() - start < kMinPollGap)) {
      m_changed.wait_for(lock, kTick);
    }
  }
}

void WorkerAgent::PollOnce() {
  std::vector<std::string> pools;
  {
    const std::lock_guard lock(m_mutex);
    m_poll_after = kRetryAfter;
    if (m_worker.IsPaused()) {
      return;
    }
    pools = m_worker.PoolsToPoll();
  }
  for (const std::string& pool : pools) {
    if (!PollPool(pool)) {
      m_next_control = (m_next_control + 1) % m_options.control.size();
    }
  }
}

// Returns false when the next poll should go to another control process.
bool WorkerAgent::PollPool(const std::string& pool) {
  wire::HttpCall call;
  base::TimePoint sent;
  {
    const std::lock_guard lock(m_mutex);
    sent = m_clock.Now();
    m_worker.Advance(sent);
    call.body = work::EncodePoll(m_worker.MakePoll(pool));
  }
  call.method = "POST";
  call.url = "http://" + m_options.control[m_next_control] + "/v1/workers/" +
             m_options.worker.name + "/poll";
  call.headers.emplace_back("Content-Type", "application/json");
  call.timeout = m_options.poll_timeout;
  call.fresh_connection = true;
  const wire::HttpOutcome outcome = m_client->Call(std::move(call));
  if (!outcome || outcome->status != kOk || !outcome->framed) {
    return false;
  }
  const auto answer = work::DecodePollAnswer(outcome->body);
  if (!answer) {
    m_log.Warn("The answer to a poll can't be decoded: " +
               answer.error().message);
    return false;
  }
  const std::lock_guard lock(m_mutex);
  m_worker.ApplyAnswer(*answer, sent, m_clock.Now());
  m_poll_after = answer->poll_after;
  return answer->shard_epoch != 0;
}

wire::HttpResponse WorkerAgent::SetFaults(const std::string& body) {
  const auto json = wire::ParseJsonBody(body);
  if (!json || !json->is_object()) {
    return wire::MakeErrorResponse(
        {base::ErrorCode::kInvalid, "The body must be an object."});
  }
  const std::lock_guard lock(m_mutex);
  if (json->contains("paused")) {
    m_worker.SetPaused(json->at("paused") == true);
  }
  if (json->contains("failing")) {
    m_worker.SetFailing(json->at("failing") == true);
  }
  if (json->value("restart", false)) {
    m_worker.Restart(m_clock.Now());
  }
  return wire::MakeJsonResponse(kOk, nlohmann::json::object());
}

void WorkerAgent::LogLine(const WorkerLogEntry& line) const {
  m_log.Info(fmt::format("Task {} {}, epoch {}, team {}, {}.", line.key,
                         NameOf(line.event), line.epoch, line.team,
                         line.idempotent ? "idempotent" : "not idempotent"));
}

}  // namespace cassiastile::standin
