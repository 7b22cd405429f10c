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
constexpr milliseconds kAskAgain{250};
constexpr milliseconds kLookAgain{400};
constexpr int kMaxAttempts = 200;
// A host that has just lost the office may still say so for a moment.
constexpr int kMissingForGood = 3;
// An accepted job is known everywhere after so long.
constexpr milliseconds kVisible{3000};

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
  return m_random() % m_fleet.Hosts();
}

jobs::JobSpec Callers::MakeSpec(bool lasts) {
  const auto between = [this](std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
  };
  jobs::JobSpec spec;
  spec.payload = base::MakeId(m_random);
  const auto steps = lasts ? 1 : between(1, 2);
  for (std::int64_t i = 0; i < steps; ++i) {
    jobs::StepSpec& step = spec.steps.emplace_back();
    step.count = static_cast<std::uint32_t>(between(1, 4));
    step.need = {between(1, 6) * 250, between(1, 8) * 64, 0};
    step.estimate = milliseconds(between(100, 900));
    step.long_running = lasts;
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
    call.body = job.text;
  }
  return call;
}

void Callers::Begin() {
  if (!m_handing_in) {
    return;
  }
  HandIn();
  std::exponential_distribution<double> pause(m_options.jobs_per_second);
  constexpr double kMillisPerSecond = 1000.0;
  After(milliseconds(
            static_cast<std::int64_t>(kMillisPerSecond * pause(m_random))),
        [this] { Begin(); });
}

void Callers::HandIn() {
  Job job;
  job.id = base::MakeId(m_random).substr(0, 16);
  job.queue = m_random() % kServices;
  constexpr std::uint64_t kLastsOneIn = 25;
  constexpr std::uint64_t kCancelledOneIn = 8;
  job.lasts = m_random() % kLastsOneIn == 0;
  job.will_cancel = m_random() % kCancelledOneIn == 0;
  jobs::JobSpec spec = MakeSpec(job.lasts);
  job.text = adapter::EncodeJob(spec);
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
        CheckCut(host, sent_at, outcome);
        Answered(id, host, outcome);
      }));
}

// A stop that was asked for finishes what was taken. A request that comes just
// as the process ends may find nobody any more.
void Callers::CheckCut(std::size_t host,
                       base::TimePoint sent_at,
                       const wire::HttpOutcome& outcome) {
  constexpr milliseconds kLastMoment{200};
  if (m_loop.GetClock().Now() - sent_at < kLastMoment) {
    return;
  }
  const bool cut = !outcome && !outcome.error().timed_out &&
                   outcome.error().state == wire::SendState::kMaybeSent;
  if (cut && m_fleet.HasOnlyPlannedStops(host)) {
    m_fleet.Checker().Violate(
        fmt::format("host-{} cut a request off in a planned stop: {}", host,
                    outcome.error().message));
  }
}

void Callers::Answered(const std::string& id,
                       std::size_t host,
                       const wire::HttpOutcome& outcome) {
  Job& job = m_jobs.at(id);
  if (outcome && outcome->status == kOk) {
    if (job.fate == Fate::kUnknown) {
      job.fate = Fate::kAccepted;
      job.accepted_at = m_loop.GetClock().Now();
      m_fleet.Checker().Accepted(id);
      Follow(id);
    }
    return;
  }
  if (job.fate != Fate::kUnknown) {
    return;  // It was handed in again to see that it stays one job.
  }
  const bool refused = outcome && (outcome->status == kTooMany ||
                                   outcome->status == kUnavailable ||
                                   outcome->status == kNotFound);
  const bool never_sent =
      !outcome && outcome.error().state == wire::SendState::kNotSent;
  if (outcome && !refused && outcome->status < 500) {
    m_fleet.Checker().Violate(fmt::format("host-{} answered {} to a valid job",
                                          host, outcome->status));
  }
  job.maybe_arrived = job.maybe_arrived || !(refused || never_sent);
  if (refused && !job.maybe_arrived) {
    job.fate = Fate::kRefused;
    m_fleet.Checker().Refused(id);
    return;
  }
  if (job.attempts < kMaxAttempts) {
    After(kAskAgain, [this, id] { Send(id); });
  }
}

void Callers::Follow(const std::string& id) {
  constexpr std::uint64_t kTwiceOneIn = 4;
  constexpr int kLatestAgain = 2000;
  if (m_random() % kTwiceOneIn == 0) {
    After(milliseconds(m_random() % kLatestAgain), [this, id] { Send(id); });
  }
  if (m_jobs.at(id).will_cancel) {
    After(milliseconds(m_random() % kLatestAgain), [this, id] {
      Job& job = m_jobs.at(id);
      if (job.fate == Fate::kAccepted) {
        job.fate = Fate::kCancelling;
        Cancel(id);
      }
    });
  }
  After(kLookAgain, [this, id] { Look(id); });
}

void Callers::Cancel(const std::string& id) {
  const std::size_t host = PickHost();
  m_client->Start(
      MakeCall("DELETE", m_jobs.at(id), host),
      m_lifetime.Guard([this, id, host, sent_at = m_loop.GetClock().Now()](
                           const wire::HttpOutcome& outcome) {
        CheckCut(host, sent_at, outcome);
        if (outcome && outcome->status == kOk) {
          m_jobs.at(id).fate = Fate::kCancelled;
          m_fleet.Checker().CancelAcknowledged(id);
          return;
        }
        After(kAskAgain, [this, id] { Cancel(id); });
      }));
}

void Callers::Look(const std::string& id) {
  if (m_jobs.at(id).fate != Fate::kAccepted) {
    return;
  }
  const std::size_t host = PickHost();
  m_client->Start(
      MakeCall("GET", m_jobs.at(id), host),
      m_lifetime.Guard([this, id, host, sent_at = m_loop.GetClock().Now()](
                           const wire::HttpOutcome& outcome) {
        CheckCut(host, sent_at, outcome);
        Job& job = m_jobs.at(id);
        const bool gone = outcome && outcome->status == kGone;
        job.missing = gone ? job.missing + 1 : 0;
        if (job.missing == kMissingForGood &&
            m_loop.GetClock().Now() - job.accepted_at > kVisible) {
          m_fleet.Checker().Violate("accepted job " + id + " is not known");
        }
        if (outcome && outcome->status == kOk && job.fate == Fate::kAccepted) {
          const auto phase = adapter::DecodeJobState(outcome->body);
          if (!phase) {
            m_fleet.Checker().Violate(phase.error().message);
          } else {
            m_fleet.Checker().PhaseReported(id, *phase);
            if (*phase == jobs::JobPhase::kDone) {
              job.fate = Fate::kDone;
            }
          }
        }
        After(kLookAgain, [this, id] { Look(id); });
      }));
}

bool Callers::IsSettled() const {
  return std::ranges::all_of(m_jobs, [this](const auto& row) {
    const Job& job = row.second;
    switch (job.fate) {
      case Fate::kRefused:
      case Fate::kDone:
        return true;
      case Fate::kCancelled:
        return m_fleet.Checker().RunningTasks(job.id) == 0;
      case Fate::kAccepted:
        return job.lasts &&
               m_fleet.Checker().RunningTasks(job.id) ==
                   m_fleet.Checker().SpecOf(job.id)->steps[0].count;
      default:
        return false;
    }
  });
}

void Callers::Judge() {
  for (const auto& [id, job] : m_jobs) {
    sim::InvariantChecker& watch = m_fleet.Checker();
    const std::size_t running = watch.RunningTasks(id);
    if (job.fate == Fate::kCancelled && running > 0) {
      watch.Violate(
          fmt::format("{} tasks of cancelled job {} run on", running, id));
    } else if (job.fate == Fate::kAccepted && !job.lasts) {
      watch.Violate(fmt::format("accepted job {} is not done: {} tasks are", id,
                                watch.DoneTasks(id)));
    } else if (job.fate == Fate::kAccepted &&
               running != watch.SpecOf(id)->steps[0].count) {
      watch.Violate(
          fmt::format("of lasting job {} only {} tasks run", id, running));
    } else if (job.fate == Fate::kUnknown || job.fate == Fate::kCancelling) {
      watch.Violate(fmt::format("job {} got no final answer in {} attempts", id,
                                job.attempts));
    }
  }
}

void Callers::Count(SoakResult& result) const {
  result.jobs = m_jobs.size();
  for (const auto& [id, job] : m_jobs) {
    result.refused += job.fate == Fate::kRefused ? 1 : 0;
    result.accepted +=
        job.fate != Fate::kRefused && job.fate != Fate::kUnknown ? 1 : 0;
    result.done += job.fate == Fate::kDone ? 1 : 0;
  }
}

}  // namespace cassiastile::soak
