#include "callers.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

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
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr milliseconds kTimeout{2000};
constexpr milliseconds kRetryDelay{250};
constexpr milliseconds kStatePollInterval{400};
constexpr int kMaxAttempts = 200;
// A host that has just stopped being the leader may still answer for a moment
// that it doesn't know a job.
constexpr int kMaxNoSuchJobAnswers = 3;
// Nothing of a cancelled job starts this long after the acknowledgement, and
// its tasks stop in kStopTime more.
constexpr milliseconds kCancelTime{3000};
constexpr milliseconds kStopTime{200};
// A cancel that has waited this long undisturbed for its acknowledgement counts
// like one that has it.
constexpr milliseconds kAckTime{4000};
constexpr std::int64_t kWidestStep = 4;
// Every host knows an accepted job after this time.
constexpr milliseconds kVisibilityDelay{3000};

bool IsSuccess(const wire::HttpOutcome& outcome) {
  constexpr int kHundred = 100;
  return outcome && outcome->status / kHundred == kOk / kHundred;
}

bool IsGone(const wire::HttpOutcome& outcome) {
  return outcome && outcome->status == kGone;
}

}  // namespace

Callers::Callers(asio::io_context& context,
                 host::Loop& loop,
                 Fleet& fleet,
                 const SoakOptions& options)
    : m_loop(loop),
      m_fleet(fleet),
      m_options(options),
      m_random(options.seed),
      m_client(wire::LoopClient::Create(context)),
      m_kept_client(wire::LoopClient::Create(context)) {
  m_fleet.OnPause(m_lifetime.Guard([this](std::size_t host, milliseconds time) {
    PressPausedHost(host, time);
  }));
  KeepConnections();
  AskQueueLengths();
}

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

jobs::JobSpec Callers::MakeSpec(const SubmitOptions& submit_options) {
  const bool is_long_running = submit_options.is_long_running;
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
    if (submit_options.is_small) {
      step.count = 1;
      step.need = {250, 64, 0};
    }
    step.estimate = milliseconds(between(100, 900));
    step.long_running = is_long_running;
    if (i > 0) {
      step.after = {static_cast<std::uint32_t>(i - 1)};
    }
  }
  if (submit_options.is_wide) {
    spec.steps.resize(1);
    spec.steps[0].count = static_cast<std::uint32_t>(between(2500, 4000));
    spec.steps[0].need = {1, 1, 0};
  }
  if (submit_options.task_time.count() > 0) {
    spec.steps.resize(1);
    spec.steps[0].count = 2;
    spec.steps[0].need = {1000, 64, 0};
    spec.steps[0].estimate = submit_options.task_time;
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
    call.timeout = job.submit_timeout;
    call.headers.emplace_back("Content-Type", "application/json");
    call.body = job.encoded_spec;
  }
  return call;
}

void Callers::Begin() {
  if (!m_submitting) {
    return;
  }
  SubmitAnyJob();
  std::exponential_distribution<double> pause(m_options.jobs_per_second);
  constexpr double kMillisPerSecond = 1000.0;
  After(milliseconds(
            static_cast<std::int64_t>(kMillisPerSecond * pause(m_random))),
        [this] { Begin(); });
}

void Callers::SubmitAnyJob() {
  constexpr std::uint64_t kLongRunningOneIn = 25;
  constexpr std::uint64_t kGivesUpOneIn = 6;
  // Tasks of other jobs are done soon, whether or not a cancel stops them.
  constexpr std::uint64_t kLongRunningGivenUpOneIn = 2;
  SubmitOptions submit_options;
  submit_options.gives_up = m_random() % kGivesUpOneIn == 0;
  submit_options.is_long_running =
      m_random() % (submit_options.gives_up ? kLongRunningGivenUpOneIn
                                            : kLongRunningOneIn) ==
      0;
  submit_options.is_small =
      submit_options.gives_up && submit_options.is_long_running;
  if (m_options.wide_jobs && !submit_options.gives_up &&
      !submit_options.is_long_running) {
    constexpr std::uint64_t kWideOneIn = 30;
    submit_options.is_wide = m_random() % kWideOneIn == 0;
  }
  SubmitJob(submit_options);
}

void Callers::SubmitBurst(milliseconds task_time) {
  constexpr int kJobs = 5;
  for (int i = 0; i < kJobs && m_submitting; ++i) {
    SubmitJob({.host = {}, .task_time = task_time});
  }
}

void Callers::SubmitJob(const SubmitOptions& submit_options) {
  Job job;
  job.id = base::MakeId(m_random).substr(0, 16);
  job.queue = m_random() % kServices;
  constexpr std::uint64_t kCancelledOneIn = 8;
  // Only these go on if a cancel stops nothing.
  constexpr std::uint64_t kLongRunningCancelledOneIn = 2;
  job.gives_up = submit_options.gives_up;
  job.is_long_running = submit_options.is_long_running;
  job.will_cancel =
      m_random() % (job.is_long_running ? kLongRunningCancelledOneIn
                                        : kCancelledOneIn) ==
      0;
  job.submit_timeout = kTimeout;
  jobs::JobSpec spec = MakeSpec(submit_options);
  job.encoded_spec = adapter::EncodeJob(spec);
  m_fleet.Checker().JobSubmitted(job.id, std::move(spec));
  const std::string id = job.id;
  m_fleet.NoteQueue(id, job.queue);
  m_jobs.emplace(id, std::move(job));
  ScheduleCopies(id);
  Send(id, submit_options.host);
}

void Callers::ScheduleCopies(const std::string& id) {
  Job& job = m_jobs.at(id);
  constexpr std::uint64_t kCopiedOneIn = 4;
  constexpr std::uint64_t kMaxCopies = 3;
  constexpr int kMaxCopyDelay = 6000;
  const std::uint64_t copies =
      m_random() % kCopiedOneIn == 0 ? 1 + m_random() % kMaxCopies : 0;
  for (std::uint64_t i = 0; i < copies; ++i) {
    After(milliseconds(m_random() % kMaxCopyDelay), [this, id] {
      if (!m_jobs.at(id).is_refused) {
        Send(id);
      }
    });
  }
  if (!job.gives_up) {
    return;
  }
  constexpr std::uint64_t kAtOnceOneIn = 3;
  constexpr int kMaxPatience = 1500;
  const milliseconds patience(
      m_random() % kAtOnceOneIn == 0 ? 0 : m_random() % kMaxPatience);
  job.submit_timeout = std::max(patience, milliseconds(1));
  After(patience, [this, id] { BeginCancel(m_jobs.at(id)); });
}

void Callers::Send(const std::string& id, std::optional<std::size_t> to) {
  Job& job = m_jobs.at(id);
  ++job.attempts;
  ++job.open_attempts;
  m_fleet.Checker().SubmissionSent(id);
  const std::size_t host = to.value_or(PickHost());
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
  --job.open_attempts;
  if (IsSuccess(outcome)) {
    job.may_have_arrived = true;
    if (job.known_state == KnownState::kUnknown) {
      job.known_state = KnownState::kAccepted;
      job.accepted_at = m_loop.GetClock().Now();
      m_fleet.Checker().Accepted(id);
      ScheduleFollowUps(id);
    }
    return;
  }
  const bool refused = outcome && (outcome->status == kTooMany ||
                                   outcome->status == kUnavailable ||
                                   outcome->status == kNotFound);
  const bool never_sent =
      !outcome && outcome.error().state == wire::SendState::kNotSent;
  const bool is_unknown = outcome && (outcome->status == kBadGateway ||
                                      outcome->status == kGatewayTimeout);
  if (outcome && !refused && !is_unknown) {
    m_fleet.Checker().AddViolation(fmt::format(
        "host-{} answered {} to a valid job", host, outcome->status));
  }
  job.may_have_arrived = job.may_have_arrived || !(refused || never_sent);
  if (job.open_attempts > 0) {
    return;  // The other copies decide.
  }
  if (refused && !job.may_have_arrived) {
    HandleRefusal(job);
  } else if (job.known_state == KnownState::kUnknown &&
             job.attempts < kMaxAttempts) {
    After(kRetryDelay, [this, id] {
      const Job& retried = m_jobs.at(id);
      if (retried.known_state == KnownState::kUnknown &&
          retried.open_attempts == 0) {
        Send(id);
      }
    });
  }
}

void Callers::HandleRefusal(Job& job) {
  job.is_refused = true;
  if (job.known_state == KnownState::kUnknown) {
    job.known_state = KnownState::kRefused;
  }
  m_fleet.Checker().Refused(job.id);
  if (m_fleet.Checker().LastStartOf(job.id) != base::TimePoint{}) {
    m_fleet.Checker().AddViolation(
        fmt::format("job {} was refused after a task of it had started [{}]",
                    job.id, m_fleet.Checker().HistoryOf(job.id)));
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

void Callers::BeginCancel(Job& job, std::optional<Target> at) {
  if (job.known_state == KnownState::kAccepted ||
      job.known_state == KnownState::kUnknown) {
    job.known_state = KnownState::kCancelling;
    job.cancel_sent_at = m_loop.GetClock().Now();
    m_fleet.Checker().CancelSent(job.id);
    Cancel(job.id, at);
  }
}

void Callers::CancelSome() {
  constexpr std::size_t kOneIn = 4;
  std::size_t number = 0;
  for (auto& [id, job] : m_jobs) {
    const bool is_open = job.known_state == KnownState::kAccepted ||
                         job.known_state == KnownState::kUnknown;
    if (is_open && ++number % kOneIn == 0) {
      BeginCancel(job);
    }
  }
}

void Callers::Cancel(const std::string& id, std::optional<Target> at) {
  const Target target = at.value_or(Target{PickHost(), m_client.get()});
  target.client->Start(MakeCall("DELETE", m_jobs.at(id), target.host),
                       m_lifetime.Guard([this, id, host = target.host,
                                         sent_at = m_loop.GetClock().Now()](
                                            const wire::HttpOutcome& outcome) {
                         CheckCutRequest(host, sent_at, outcome);
                         if (IsSuccess(outcome) || IsGone(outcome)) {
                           AcknowledgeCancel(m_jobs.at(id), IsSuccess(outcome));
                           return;
                         }
                         After(kRetryDelay, [this, id] { Cancel(id); });
                       }));
}

void Callers::AcknowledgeCancel(Job& job, bool is_stored) {
  std::size_t tasks = 0;
  for (const jobs::StepSpec& step : m_fleet.Checker().SpecOf(job.id)->steps) {
    tasks += step.count;
  }
  job.known_state = KnownState::kCancelled;
  job.cancelled_at = m_loop.GetClock().Now();
  job.was_cancel_stored = is_stored;
  job.was_done_before_cancel =
      m_fleet.Checker().CountDoneTasks(job.id) == tasks;
  m_fleet.Checker().CancelAcknowledged(job.id);
  if (job.accepted_at == base::TimePoint{}) {
    PollState(job.id);
  }
}

void Callers::PressPausedHost(std::size_t host, milliseconds time) {
  constexpr int kEach = 3;
  constexpr milliseconds kStopped{10};
  m_paused_until[host] = m_loop.GetClock().Now() + time;
  const auto send = [this, host] {
    for (int i = 0; i < kEach && m_submitting; ++i) {
      SubmitJob({.host = host,
                 .gives_up = true,
                 .is_long_running = i > 0,
                 .is_small = true});
    }
    SendNewestTo({host, m_client.get()});
  };
  // Some are passed on before it stops, and some wait in it.
  send();
  After(kStopped, send);
  // Jobs that it doesn't know if another host leads by then.
  for (const milliseconds delay : {time / 2, time * 3 / 4}) {
    After(delay, [this] {
      for (int i = 0; i < kEach && m_submitting; ++i) {
        SubmitJob({.host = {}, .is_long_running = true, .is_small = true});
      }
    });
  }
  constexpr milliseconds kBeforeEnd{200};
  After(std::max(time - kBeforeEnd, milliseconds(0)), [this, host] {
    if (m_submitting) {
      SendNewestTo({host, m_kept_client.get()});
    }
  });
}

void Callers::SendNewestTo(const Target& target) {
  constexpr std::size_t kAsked = 12;
  constexpr std::size_t kCancelled = 6;
  std::vector<Job*> newest;
  for (auto& [id, job] : m_jobs) {
    if (job.known_state == KnownState::kAccepted) {
      newest.push_back(&job);
    }
  }
  // Long-running ones show whether a cancel stops them.
  std::ranges::sort(newest, std::greater<>(), [](const Job* job) {
    return std::pair(job->is_long_running, job->accepted_at);
  });
  for (std::size_t i = 0; i < std::min(kAsked, newest.size()); ++i) {
    if (i < kCancelled) {
      BeginCancel(*newest[i], target);
    } else {
      PollState(newest[i]->id, target);
    }
  }
}

void Callers::KeepConnections() {
  constexpr std::size_t kConnections = 12;
  constexpr milliseconds kInterval{3000};
  constexpr milliseconds kBackAgain{500};
  const base::TimePoint now = m_loop.GetClock().Now();
  std::vector<std::string> asked;
  for (const auto& [id, job] : m_jobs) {
    if (asked.size() < kConnections &&
        (job.known_state == KnownState::kAccepted ||
         job.known_state == KnownState::kCancelled)) {
      asked.push_back(id);
    }
  }
  for (std::size_t host = 0; host < m_fleet.HostCount(); ++host) {
    for (const std::string& id : asked) {
      if (now > m_paused_until[host] + kBackAgain) {
        PollState(id, Target{host, m_kept_client.get()});
      }
    }
  }
  After(kInterval, [this] { KeepConnections(); });
}

void Callers::AskQueueLengths() {
  constexpr milliseconds kInterval{300};
  const std::size_t host = m_queue_lengths % m_fleet.HostCount();
  const std::size_t queue = m_queue_lengths / m_fleet.HostCount() % kServices;
  ++m_queue_lengths;
  wire::HttpCall call;
  call.method = "GET";
  call.url = fmt::format("{}/q{}/", m_fleet.CallersEndpoint(host), queue);
  call.headers.emplace_back(adapter::kKeyHeader, "key");
  call.headers.emplace_back(adapter::kTimeoutHeader,
                            std::to_string(kTimeout.count()));
  call.timeout = kTimeout;
  m_client->Start(
      std::move(call),
      m_lifetime.Guard([this, queue, host, sent_at = m_loop.GetClock().Now()](
                           const wire::HttpOutcome& outcome) {
        CheckQueueLength(queue, host, sent_at, outcome);
      }));
  After(kInterval, [this] { AskQueueLengths(); });
}

void Callers::CheckQueueLength(std::size_t queue,
                               std::size_t host,
                               base::TimePoint sent_at,
                               const wire::HttpOutcome& outcome) {
  if (!IsSuccess(outcome)) {
    return;
  }
  const auto count = adapter::DecodeQueueLength(outcome->body);
  if (!count) {
    m_fleet.Checker().AddViolation(count.error().message);
    return;
  }
  if (!m_fleet.IsInTouch(host)) {
    return;
  }
  std::vector<std::string> jobs;
  for (const auto& [id, job] : m_jobs) {
    if (job.queue == queue) {
      jobs.push_back(id);
    }
  }
  // A new leader counts a job as waiting until a worker has told it of a start
  // that its predecessor had no answer to.
  const bool is_calm = sent_at > m_fleet.CalmSince() + kContact;
  m_fleet.Checker().QueueLengthAnswered(
      jobs, sent_at, *count,
      is_calm ? sim::QueueLengthBounds::kBoth : sim::QueueLengthBounds::kLower);
}

void Callers::PollState(const std::string& id, std::optional<Target> from) {
  const KnownState known_state = m_jobs.at(id).known_state;
  if (known_state == KnownState::kDone || known_state == KnownState::kRefused) {
    return;
  }
  const Target target = from.value_or(Target{PickHost(), m_client.get()});
  target.client->Start(
      MakeCall("GET", m_jobs.at(id), target.host),
      m_lifetime.Guard(
          [this, id, host = target.host, is_repeated = !from.has_value(),
           sent_at =
               m_loop.GetClock().Now()](const wire::HttpOutcome& outcome) {
            CheckCutRequest(host, sent_at, outcome);
            CheckState(m_jobs.at(id), host, sent_at, outcome);
            if (is_repeated) {
              After(kStatePollInterval, [this, id] { PollState(id); });
            }
          }));
}

void Callers::CheckState(Job& job,
                         std::size_t host,
                         base::TimePoint sent_at,
                         const wire::HttpOutcome& outcome) {
  if (job.known_state == KnownState::kAccepted) {
    CheckStateOfAccepted(job, host, outcome);
  } else if (job.known_state == KnownState::kCancelled &&
             sent_at > job.cancelled_at) {
    CheckStateOfCancelled(job, host, outcome);
  }
}

void Callers::CheckStateOfAccepted(Job& job,
                                   std::size_t host,
                                   const wire::HttpOutcome& outcome) {
  const bool gone = IsGone(outcome);
  const base::Duration age = m_loop.GetClock().Now() - job.accepted_at;
  job.no_such_job_answers = gone ? job.no_such_job_answers + 1 : 0;
  if (gone && age > kVisibilityDelay && !job.is_state_reported &&
      (m_fleet.IsInTouch(host) ||
       job.no_such_job_answers >= kMaxNoSuchJobAnswers)) {
    job.is_state_reported = true;
    m_fleet.Checker().AddViolation(fmt::format(
        "accepted job {} is not known: host-{} answered 410 {} ms after it was "
        "accepted, the {}. time in a row",
        job.id, host, base::Milliseconds(age), job.no_such_job_answers));
  }
  if (!IsSuccess(outcome)) {
    return;
  }
  const auto phase = adapter::DecodeJobState(outcome->body);
  if (!phase) {
    m_fleet.Checker().AddViolation(phase.error().message);
    return;
  }
  m_fleet.Checker().PhaseReported(job.id, *phase);
  if (*phase == jobs::JobPhase::kDone) {
    job.known_state = KnownState::kDone;
    job.done_at = m_loop.GetClock().Now();
  }
}

void Callers::CheckStateOfCancelled(Job& job,
                                    std::size_t host,
                                    const wire::HttpOutcome& outcome) {
  if (job.is_state_reported) {
    return;
  }
  std::string shown;
  if (IsSuccess(outcome)) {
    const auto phase = adapter::DecodeJobState(outcome->body);
    const bool is_over =
        phase &&
        (*phase == jobs::JobPhase::kCancelled ||
         (*phase == jobs::JobPhase::kDone && job.was_done_before_cancel));
    if (!is_over) {
      shown = phase ? std::string(base::FindName(jobs::kJobPhaseNames, *phase))
                    : phase.error().message;
    }
  } else if (IsGone(outcome) && job.was_cancel_stored &&
             job.accepted_at != base::TimePoint{} && m_fleet.IsInTouch(host)) {
    shown = "not known, though its cancel was answered with success";
  }
  if (!shown.empty()) {
    job.is_state_reported = true;
    m_fleet.Checker().AddViolation(fmt::format(
        "job {} is said by host-{} to be {}, {} ms after its cancel was "
        "acknowledged [{}]",
        job.id, host, shown,
        base::Milliseconds(m_loop.GetClock().Now() - job.cancelled_at),
        m_fleet.Checker().HistoryOf(job.id)));
  }
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
    const base::TimePoint last_start = cancelled + kCancelTime;
    const base::TimePoint last_run =
        std::max(cancelled, calm_from) + kCancelTime + kStopTime;
    // A start counts if its sender was in touch, whatever happened elsewhere.
    base::TimePoint started = m_fleet.LastStartInTouch(id);
    if (checker.LastStartOf(id) > m_fleet.OrdersUndisturbedSince() + kContact) {
      started = checker.LastStartOf(id);
    }
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

void Callers::CheckStartsAfterDone() {
  constexpr milliseconds kKnown{1000};
  for (auto& [id, job] : m_jobs) {
    const base::TimePoint started = m_fleet.LastStartInTouch(id);
    if (job.known_state == KnownState::kDone && !job.is_reported &&
        started > job.done_at + kKnown) {
      job.is_reported = true;
      m_fleet.Checker().AddViolation(fmt::format(
          "a task of job {} started {} ms after the job was shown as done [{}]",
          id, base::Milliseconds(started - job.done_at),
          m_fleet.Checker().HistoryOf(id)));
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
    result.accepted += job.accepted_at != base::TimePoint{} ? 1 : 0;
    result.done += job.known_state == KnownState::kDone ? 1 : 0;
  }
}

}  // namespace cassiastile::soak
