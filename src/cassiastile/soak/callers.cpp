#include "callers.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "names.hpp"
#include "standin/encode.hpp"

namespace cassiastile::soak {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

constexpr milliseconds kTimeout{2000};
constexpr milliseconds kRetryDelay{250};
constexpr milliseconds kStatePollInterval{400};
constexpr int kMaxAttempts = 200;
// A host that has just stopped being the leader may still answer for a moment
// that it doesn't know a job.
constexpr int kMaxNoSuchJobAnswers = 3;
// After a disruption this long, hosts are in touch again; nothing of a
// cancelled job starts this long after the acknowledgement, and its tasks stop
// in kStopTime more.
constexpr milliseconds kContact{3000};
constexpr milliseconds kCancelTime{3000};
constexpr milliseconds kStopTime{200};
// A cancel that has waited this long undisturbed for its acknowledgement counts
// like one that has it.
constexpr milliseconds kAckTime{4000};
constexpr std::int64_t kWidestStep = 4;
// Every host knows an accepted job after this time.
constexpr milliseconds kVisibilityDelay{3000};

}  // namespace

Callers::Callers(asio::io_context& context,
                 host::Loop& loop,
                 Fleet& fleet,
                 const SoakOptions& options)
    : m_loop(loop),
      m_fleet(fleet),
      m_options(options),
      m_random(options.seed),
      m_client(wire::LoopClient::Create(context)) {}

void Callers::After(milliseconds delay, std::function<void()> run) {
  m_loop.After(delay, m_lifetime.Guard(std::move(run)));
}

std::size_t Callers::PickHost() {
  return m_random() % m_fleet.HostCount();
}

std::int64_t Callers::WidestLongRunningStep() const {
  constexpr std::size_t kWorkersPerTask = 4;
  return std::max(kWidestStep, static_cast<std::int64_t>(
                                   m_options.plan.workers / kWorkersPerTask));
}

jobs::JobSpec Callers::MakeSpec(bool is_long_running) {
  const auto between = [this](std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
  };
  jobs::JobSpec spec;
  spec.payload = base::MakeId(m_random);
  const auto steps = is_long_running ? 1 : between(1, 2);
  for (std::int64_t i = 0; i < steps; ++i) {
    jobs::StepSpec& step = spec.steps.emplace_back();
    step.count = static_cast<std::uint32_t>(
        between(1, is_long_running ? WidestLongRunningStep() : kWidestStep));
    step.need = {between(1, 6) * 250, between(1, 8) * 64, 0};
    step.estimate = milliseconds(between(100, 900));
    step.long_running = is_long_running;
    if (i > 0) {
      step.after = {static_cast<std::uint32_t>(i - 1)};
    }
  }
  return spec;
}

wire::HttpCall Callers::MakeCall(const std::string& method,
                                 const Job& job,
                                 std::size_t host) const {
  wire::HttpCall call;
  call.method = method;
  call.url = fmt::format("{}/q{}/{}", m_fleet.CallersEndpoint(host), job.queue,
                         job.id);
  call.headers.emplace_back(adapter::kKeyHeader, "key");
  call.headers.emplace_back(adapter::kTimeoutHeader,
                            std::to_string(kTimeout.count()));
  call.timeout = kTimeout;
  if (method == "POST") {
    call.headers.emplace_back("Content-Type", "application/json");
    call.body = job.encoded_spec;
  }
  return call;
}

void Callers::Begin() {
  if (!m_submitting) {
    return;
  }
  SubmitJob();
  std::exponential_distribution<double> pause(m_options.jobs_per_second);
  constexpr double kMillisPerSecond = 1000.0;
  After(milliseconds(
            static_cast<std::int64_t>(kMillisPerSecond * pause(m_random))),
        [this] { Begin(); });
}

void Callers::SubmitJob() {
  Job job;
  job.id = base::MakeId(m_random).substr(0, 16);
  job.queue = m_random() % kServices;
  constexpr std::uint64_t kLongRunningOneIn = 25;
  constexpr std::uint64_t kCancelledOneIn = 8;
  // Only these go on if a cancel stops nothing.
  constexpr std::uint64_t kLongRunningCancelledOneIn = 2;
  job.is_long_running = m_random() % kLongRunningOneIn == 0;
  job.will_cancel =
      m_random() % (job.is_long_running ? kLongRunningCancelledOneIn
                                        : kCancelledOneIn) ==
      0;
  jobs::JobSpec spec = MakeSpec(job.is_long_running);
  job.encoded_spec = adapter::EncodeJob(spec);
  m_fleet.Checker().JobSubmitted(job.id, std::move(spec));
  const std::string id = job.id;
  m_jobs.emplace(id, std::move(job));
  Send(id);
}

void Callers::Send(const std::string& id) {
  Job& job = m_jobs.at(id);
  ++job.attempts;
  const std::size_t host = PickHost();
  m_client->Start(
      MakeCall("POST", job, host),
      m_lifetime.Guard([this, id, host, sent_at = m_loop.GetClock().Now()](
                           const wire::HttpOutcome& outcome) {
        CheckCutRequest(host, sent_at, outcome);
        HandleSubmitAnswer(id, host, outcome);
      }));
}

// A host that is asked to stop finishes the requests that it has accepted. A
// request that arrives just as the process exits may still be cut off.
void Callers::CheckCutRequest(std::size_t host,
                              base::TimePoint sent_at,
                              const wire::HttpOutcome& outcome) {
  constexpr milliseconds kExitRace{200};
  if (m_loop.GetClock().Now() - sent_at < kExitRace) {
    return;
  }
  const bool cut = !outcome && !outcome.error().timed_out &&
                   outcome.error().state == wire::SendState::kMaybeSent;
  if (cut && m_fleet.HasOnlyPlannedStops(host)) {
    m_fleet.Checker().AddViolation(fmt::format(
        "host-{} cut off a request during a planned stop: {}; "
        "sent {} ms ago, the process last ended {} ms ago",
        host, outcome.error().message,
        base::Milliseconds(m_loop.GetClock().Now() - sent_at),
        base::Milliseconds(m_loop.GetClock().Now() - m_fleet.EndedAt(host))));
  }
}

void Callers::HandleSubmitAnswer(const std::string& id,
                                 std::size_t host,
                                 const wire::HttpOutcome& outcome) {
  Job& job = m_jobs.at(id);
  if (outcome && outcome->status == kOk) {
    if (job.known_state == KnownState::kUnknown) {
      job.known_state = KnownState::kAccepted;
      job.accepted_at = m_loop.GetClock().Now();
      m_fleet.Checker().Accepted(id);
      ScheduleFollowUps(id);
    }
    return;
  }
  if (job.known_state != KnownState::kUnknown) {
    return;  // A resubmission, to check that it stays one job.
  }
  const bool refused = outcome && (outcome->status == kTooMany ||
                                   outcome->status == kUnavailable ||
                                   outcome->status == kNotFound);
  const bool never_sent =
      !outcome && outcome.error().state == wire::SendState::kNotSent;
  if (outcome && !refused && outcome->status < 500) {
    m_fleet.Checker().AddViolation(fmt::format(
        "host-{} answered {} to a valid job", host, outcome->status));
  }
  job.may_have_arrived = job.may_have_arrived || !(refused || never_sent);
  if (refused && !job.may_have_arrived) {
    job.known_state = KnownState::kRefused;
    m_fleet.Checker().Refused(id);
    return;
  }
  if (job.attempts < kMaxAttempts) {
    After(kRetryDelay, [this, id] { Send(id); });
  }
}

void Callers::ScheduleFollowUps(const std::string& id) {
  constexpr std::uint64_t kResubmitOneIn = 4;
  constexpr int kMaxFollowUpDelay = 2000;
  if (m_random() % kResubmitOneIn == 0) {
    After(milliseconds(m_random() % kMaxFollowUpDelay),
          [this, id] { Send(id); });
  }
  if (m_jobs.at(id).will_cancel) {
    After(milliseconds(m_random() % kMaxFollowUpDelay),
          [this, id] { BeginCancel(m_jobs.at(id)); });
  }
  After(kStatePollInterval, [this, id] { PollState(id); });
}

void Callers::BeginCancel(Job& job) {
  if (job.known_state == KnownState::kAccepted) {
    job.known_state = KnownState::kCancelling;
    job.cancel_sent_at = m_loop.GetClock().Now();
    Cancel(job.id);
  }
}

void Callers::CancelSome() {
  constexpr std::size_t kOneIn = 4;
  std::size_t number = 0;
  for (auto& [id, job] : m_jobs) {
    if (job.known_state == KnownState::kAccepted && ++number % kOneIn == 0) {
      BeginCancel(job);
    }
  }
}

void Callers::Cancel(const std::string& id) {
  const std::size_t host = PickHost();
  m_client->Start(
      MakeCall("DELETE", m_jobs.at(id), host),
      m_lifetime.Guard([this, id, host, sent_at = m_loop.GetClock().Now()](
                           const wire::HttpOutcome& outcome) {
        CheckCutRequest(host, sent_at, outcome);
        if (outcome && outcome->status == kOk) {
          Job& job = m_jobs.at(id);
          job.known_state = KnownState::kCancelled;
          job.cancelled_at = m_loop.GetClock().Now();
          m_fleet.Checker().CancelAcknowledged(id);
          return;
        }
        After(kRetryDelay, [this, id] { Cancel(id); });
      }));
}

void Callers::PollState(const std::string& id) {
  if (m_jobs.at(id).known_state != KnownState::kAccepted) {
    return;
  }
  const std::size_t host = PickHost();
  m_client->Start(
      MakeCall("GET", m_jobs.at(id), host),
      m_lifetime.Guard([this, id, host, sent_at = m_loop.GetClock().Now()](
                           const wire::HttpOutcome& outcome) {
        CheckCutRequest(host, sent_at, outcome);
        Job& job = m_jobs.at(id);
        const bool gone = outcome && outcome->status == kGone;
        job.no_such_job_answers = gone ? job.no_such_job_answers + 1 : 0;
        if (job.no_such_job_answers == kMaxNoSuchJobAnswers &&
            m_loop.GetClock().Now() - job.accepted_at > kVisibilityDelay) {
          m_fleet.Checker().AddViolation("accepted job " + id +
                                         " is not known");
        }
        if (outcome && outcome->status == kOk &&
            job.known_state == KnownState::kAccepted) {
          const auto phase = adapter::DecodeJobState(outcome->body);
          if (!phase) {
            m_fleet.Checker().AddViolation(phase.error().message);
          } else {
            m_fleet.Checker().PhaseReported(id, *phase);
            if (*phase == jobs::JobPhase::kDone) {
              job.known_state = KnownState::kDone;
            }
          }
        }
        After(kStatePollInterval, [this, id] { PollState(id); });
      }));
}

bool Callers::IsSettled() const {
  return std::ranges::all_of(m_jobs, [this](const auto& entry) {
    const Job& job = entry.second;
    switch (job.known_state) {
      case KnownState::kRefused:
      case KnownState::kDone:
        return true;
      case KnownState::kCancelled:
        return m_fleet.Checker().CountRuns(job.id) == 0;
      case KnownState::kAccepted:
        return job.is_long_running &&
               m_fleet.Checker().CountRuns(job.id) ==
                   m_fleet.Checker().SpecOf(job.id)->steps[0].count;
      default:
        return false;
    }
  });
}

void Callers::CheckCancelled() {
  const base::TimePoint now = m_loop.GetClock().Now();
  const base::TimePoint calm_from = m_fleet.CalmSince() + kContact;
  for (auto& [id, job] : m_jobs) {
    const bool acknowledged = job.known_state == KnownState::kCancelled;
    if ((!acknowledged && job.known_state != KnownState::kCancelling) ||
        job.is_reported) {
      continue;
    }
    sim::InvariantChecker& checker = m_fleet.Checker();
    const base::TimePoint cancelled =
        acknowledged ? job.cancelled_at
                     : std::max(job.cancel_sent_at, calm_from) + kAckTime;
    const base::TimePoint last_start = std::max(
        cancelled + kCancelTime, m_fleet.OrdersUndisturbedSince() + kContact);
    const base::TimePoint last_run =
        std::max(cancelled, calm_from) + kCancelTime + kStopTime;
    const base::TimePoint started = checker.LastStartOf(id);
    const bool runs_on = now > last_run && checker.CountRuns(id) > 0;
    if (started > last_start || runs_on) {
      job.is_reported = true;
      const base::TimePoint seen = runs_on ? now : started;
      checker.AddViolation(fmt::format(
          "unasked: {} of job {}, {} ms after its cancel was sent{} and {} ms "
          "after the last disruption [{}]",
          runs_on ? "a task runs" : "a task started", id,
          base::Milliseconds(seen - job.cancel_sent_at),
          acknowledged
              ? fmt::format(", {} ms after it was acknowledged",
                            base::Milliseconds(seen - job.cancelled_at))
              : ", without an acknowledgement",
          base::Milliseconds(seen - m_fleet.CalmSince()),
          checker.HistoryOf(id)));
    }
  }
}

void Callers::CheckOutcomes() {
  for (const auto& [id, job] : m_jobs) {
    sim::InvariantChecker& checker = m_fleet.Checker();
    const std::size_t running = checker.CountRuns(id);
    if (job.known_state == KnownState::kCancelled && running > 0) {
      checker.AddViolation(
          fmt::format("{} tasks of cancelled job {} still run", running, id));
    } else if (job.known_state == KnownState::kAccepted &&
               !job.is_long_running) {
      checker.AddViolation(
          fmt::format("accepted job {} is not done: {} tasks are", id,
                      checker.CountDoneTasks(id)));
    } else if (job.known_state == KnownState::kAccepted &&
               running != checker.SpecOf(id)->steps[0].count) {
      checker.AddViolation(
          fmt::format("of long-running job {} only {} tasks run", id, running));
    } else if (job.known_state == KnownState::kUnknown ||
               job.known_state == KnownState::kCancelling) {
      checker.AddViolation(fmt::format(
          "job {} got no final answer in {} attempts", id, job.attempts));
    }
  }
}

void Callers::AddCounts(SoakResult& result) const {
  result.jobs = m_jobs.size();
  for (const auto& [id, job] : m_jobs) {
    result.refused += job.known_state == KnownState::kRefused ? 1 : 0;
    result.accepted += job.known_state != KnownState::kRefused &&
                               job.known_state != KnownState::kUnknown
                           ? 1
                           : 0;
    result.done += job.known_state == KnownState::kDone ? 1 : 0;
  }
}

}  // namespace cassiastile::soak
