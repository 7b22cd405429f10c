// Dispatcher: requests about jobs.
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/host/dispatcher.hpp"

namespace cassiastile::host {

namespace {

constexpr std::chrono::milliseconds kRetryAfterOutage{1000};
// A placed run holds its worker until a commit has it, so a longer wait for
// commits leaves a third of the fleet unused by tasks that take half a second.
constexpr std::chrono::milliseconds kMaxCommitWait{250};
constexpr std::chrono::milliseconds kRetryAfterBusy{1000};
constexpr std::size_t kRowsOfNewJob = 2;
// A cancel of a job that ended longer ago than this part of the time for which
// it is kept is remembered for itself.
constexpr int kMarkAfterPart = 8;
// Markers of cancels are removed a few rows at a time.
constexpr std::chrono::milliseconds kRetryAfterTooManyCancels{5000};

JobAnswer Refuse(jobs::RefusalReason reason,
                 std::chrono::milliseconds retry_after) {
  return {.kind = JobAnswerKind::kRefused,
          .reason = static_cast<std::uint8_t>(reason),
          .retry_after_ms = retry_after.count()};
}

// The time that the store has been failing or slow for, for logs.
std::int64_t FailingFor(const LeaderTransactions& transactions,
                        base::TimePoint now) {
  const auto since = transactions.FailingSince() ? transactions.FailingSince()
                                                 : transactions.BusySince();
  return since ? base::Milliseconds(now - *since) : 0;
}

bool MayAccess(const std::string& customer, const JobRequest& request) {
  return customer.empty() || request.customer.empty() ||
         customer == request.customer;
}

}  // namespace

void Dispatcher::Answer(const JobRequest& request,
                        const std::function<void(JobAnswer)>& respond) {
  if (!m_serving || m_term_over) {
    respond({.kind = JobAnswerKind::kNotLeader});
    return;
  }
  switch (request.verb) {
    case JobVerb::kSubmit:
      Submit(request, respond);
      return;
    case JobVerb::kCancel:
      Cancel(request, respond);
      return;
    case JobVerb::kState:
      State(request, respond);
      return;
    case JobVerb::kQueueLength:
      QueueLength(request.queue, respond);
      return;
  }
}

void Dispatcher::QueueLength(const std::string& queue,
                             const Responder& respond) {
  AnswerWhenConfirmed(
      [this, queue]() -> JobAnswer {
        return {.kind = JobAnswerKind::kOk,
                .count = m_scheduler.CountQueuedJobs(queue)};
      },
      respond);
}

void Dispatcher::AnswerWhenConfirmed(std::function<JobAnswer()> answer,
                                     const Responder& respond) {
  m_term_confirmation.Await(
      [answer = std::move(answer), respond](TermConfirmation::Outcome outcome) {
        switch (outcome) {
          case TermConfirmation::Outcome::kConfirmed:
            respond(answer());
            return;
          case TermConfirmation::Outcome::kTermOver:
            // The next leader may have accepted the job.
            respond({.kind = JobAnswerKind::kOutcomeUnknown});
            return;
          case TermConfirmation::Outcome::kUnknown:
            respond(RefuseForOutage());
            return;
        }
      });
}

void Dispatcher::AnswerWhenConfirmed(const JobAnswer& answer,
                                     const Responder& respond) {
  AnswerWhenConfirmed([answer] { return answer; }, respond);
}

void Dispatcher::RefuseSubmission(const std::string& job,
                                  const JobAnswer& refusal,
                                  const Responder& respond) {
  m_term_confirmation.Await([this, job, refusal,
                             respond](TermConfirmation::Outcome outcome) {
    // Another attempt may have been taken meanwhile, here or by a new leader.
    if (outcome == TermConfirmation::Outcome::kTermOver ||
        m_scheduler.FindJob(job) != nullptr) {
      respond({.kind = JobAnswerKind::kOutcomeUnknown});
      return;
    }
    respond(outcome == TermConfirmation::Outcome::kUnknown ? RefuseForOutage()
                                                           : refusal);
  });
}

void Dispatcher::Submit(const JobRequest& request, const Responder& respond) {
  const jobs::QueueConfig* queue = m_config->FindQueue(request.queue);
  if (queue == nullptr) {
    // The forwarding host has a newer configuration than this one.
    respond({.kind = JobAnswerKind::kNotLeader});
    return;
  }
  const jobs::Job* known = m_scheduler.FindJob(request.job);
  if (known != nullptr && !MayAccess(known->customer, request)) {
    AnswerWhenConfirmed(JobAnswer{.kind = JobAnswerKind::kForbidden}, respond);
    return;
  }
  if (known == nullptr &&
      m_cancel_markers.Covers(request.job, request.customer)) {
    m_log.Write("job.refused", {{"job", request.job},
                                {"queue", request.queue},
                                {"customer", request.customer},
                                {"reason", "cancelled"},
                                {"fence", FencingToken()}});
    RefuseSubmission(
        request.job,
        Refuse(jobs::RefusalReason::kCancelled, m_settings.keep_finished),
        respond);
    return;
  }
  if (known == nullptr && (IsStoreUnavailable() || IsCommitOverdue())) {
    m_log.Write("job.refused",
                {{"job", request.job},
                 {"queue", request.queue},
                 {"reason", "store away"},
                 {"commits_fail_for_ms",
                  FailingFor(*m_transactions, m_loop.GetClock().Now())}});
    RefuseSubmission(request.job, RefuseForOutage(), respond);
    return;
  }
  if (known == nullptr && IsTooBusyFor(request)) {
    // Before the specification is decoded, so that refusals cost little.
    m_log.WriteMembers(
        "job.refused", "leader busy",
        fmt::format(
            R"("job":{},"queue":{},"reason":"leader busy","commit_wait_ms":{},"retry_after_ms":{})",
            QuoteJson(request.job), QuoteJson(request.queue),
            base::Milliseconds(
                m_commit_queue.ExpectWait(m_loop.GetClock().Now())),
            kRetryAfterBusy.count()));
    RefuseSubmission(request.job,
                     Refuse(jobs::RefusalReason::kLeaderBusy, kRetryAfterBusy),
                     respond);
    return;
  }
  auto spec = m_dependencies.decode_job(request.spec);
  const auto checked = spec ? jobs::CheckSize(*spec)
                            : base::Result<void>(tl::unexpected(spec.error()));
  if (!checked) {
    m_log.Write("job.invalid",
                {{"job", request.job}, {"error", checked.error().message}});
    respond(
        {.kind = JobAnswerKind::kInvalid, .detail = checked.error().message});
    return;
  }
  ++m_load.submissions;
  const jobs::Submission submission = m_scheduler.Submit(
      request.job, *queue, request.customer, std::move(*spec),
      m_loop.GetClock().Now(), m_loop.GetClock().WallNow());
  switch (submission.verdict) {
    case jobs::Submission::Verdict::kKnown:
      respond({.kind = JobAnswerKind::kOk});
      return;
    case jobs::Submission::Verdict::kRefused:
      m_log.Write(
          "job.refused",
          {{"job", request.job},
           {"queue", request.queue},
           {"service", queue->service},
           {"customer", request.customer},
           {"reason", base::FindName(jobs::kRefusalNames, submission.reason)},
           {"wait_ms", submission.wait.count()},
           {"slack_ms", submission.slack.count()},
           {"beyond_share", submission.beyond_share},
           {"share", submission.share},
           {"age_ms", submission.age.count()},
           {"retry_after_ms", submission.retry_after.count()}});
      RefuseSubmission(request.job,
                       Refuse(submission.reason, submission.retry_after),
                       respond);
      return;
    case jobs::Submission::Verdict::kNew:
    case jobs::Submission::Verdict::kPending:
      m_commit_queue.Add(request.job, m_loop.GetClock().Now());
      m_await_accept[request.job].push_back(respond);
      RequestPlan();
      return;
  }
}

bool Dispatcher::IsTooBusyFor(const JobRequest& request) const {
  // If the next commit has room for the job, a slow answer of the store is no
  // reason to refuse it.
  if (m_scheduler.UrgentRows() * kRowsOfNewJob < kMaxJobRows) {
    return false;
  }
  const base::Duration wait =
      m_commit_queue.ExpectWait(m_loop.GetClock().Now());
  const bool caller_leaves_before =
      request.timeout_ms > 0 &&
      wait > std::chrono::milliseconds(request.timeout_ms);
  return wait > kMaxCommitWait || caller_leaves_before;
}

JobAnswer Dispatcher::RefuseForOutage() {
  return Refuse(jobs::RefusalReason::kStoreUnavailable, kRetryAfterOutage);
}

void Dispatcher::RefuseUnstored(const JobAnswer& answer) {
  const base::TimePoint now = m_loop.GetClock().Now();
  std::vector<std::pair<std::string, Responder>> refused;
  std::erase_if(m_await_accept, [&](const auto& waiting) {
    const auto& [job, responders] = waiting;
    if (!m_scheduler.Withdraw(job, now)) {
      return false;
    }
    m_commit_queue.Remove(job);
    m_log.Write("job.withdrawn",
                {{"job", job},
                 {"commits_fail_for_ms", FailingFor(*m_transactions, now)}});
    for (const Responder& respond : responders) {
      refused.emplace_back(job, respond);
    }
    return true;
  });
  for (const auto& [job, respond] : refused) {
    RefuseSubmission(job, answer, respond);
  }
}

void Dispatcher::LogUnknownJob(const JobRequest& request) {
  const base::TimePoint now = m_loop.GetClock().Now();
  m_log.Write("job.unknown",
              {{"job", request.job},
               {"verb", base::FindName(kJobVerbNames, request.verb)},
               {"fence", FencingToken()},
               {"confirmed_ms_ago",
                base::Milliseconds(now - m_transactions->ConfirmedAt())}});
}

void Dispatcher::Cancel(const JobRequest& request, const Responder& respond) {
  const jobs::Job* job = m_scheduler.FindJob(request.job);
  if (job == nullptr) {
    // The next leader may still read the rows of a job that was forgotten.
    const auto* forgotten = m_scheduler.FindForgotten(request.job);
    if (forgotten != nullptr && !MayAccess(forgotten->customer, request)) {
      AnswerWhenConfirmed(JobAnswer{.kind = JobAnswerKind::kForbidden},
                          respond);
      return;
    }
    LogUnknownJob(request);
    MarkCancelled(request,
                  {.kind = forgotten == nullptr ? JobAnswerKind::kNoSuchJob
                                                : JobAnswerKind::kOk},
                  respond);
    return;
  }
  if (!MayAccess(job->customer, request)) {
    AnswerWhenConfirmed(JobAnswer{.kind = JobAnswerKind::kForbidden}, respond);
    return;
  }
  if (jobs::IsFinished(job->stored_phase)) {
    const base::Duration age = m_loop.GetClock().Now() - job->finished_at;
    if (age < m_settings.keep_finished / kMarkAfterPart) {
      respond({.kind = JobAnswerKind::kOk});
    } else {
      // The job is forgotten before copies of its submission stop coming.
      MarkCancelled(request, {.kind = JobAnswerKind::kOk}, respond);
    }
    return;
  }
  m_scheduler.Cancel(request.job, m_loop.GetClock().Now());
  m_log.Write("job.cancel", {{"job", request.job}});
  m_await_cancel[request.job].push_back(respond);
  RequestPlan();
}

void Dispatcher::MarkCancelled(const JobRequest& request,
                               const JobAnswer& answer,
                               const Responder& respond) {
  if (IsStoreUnavailable()) {
    AnswerWhenConfirmed(RefuseForOutage(), respond);
    return;
  }
  using Verdict = jobs::CancelMarkers::Verdict;
  switch (m_cancel_markers.Add(request.job, request.customer,
                               m_transactions->StoreNow())) {
    case Verdict::kNew:
      m_log.Write("job.cancel_marked",
                  {{"job", request.job},
                   {"customer", request.customer},
                   {"fence", FencingToken()},
                   {"markers", m_cancel_markers.MarkerCount()}});
      break;
    case Verdict::kUnstored:
      break;
    case Verdict::kStored:
      AnswerWhenConfirmed(answer, respond);
      return;
    case Verdict::kFull:
      m_log.Write("job.cancel_refused",
                  {{"job", request.job},
                   {"customer", request.customer},
                   {"markers", m_cancel_markers.MarkerCount()}});
      respond(Refuse(jobs::RefusalReason::kTooManyCancels,
                     kRetryAfterTooManyCancels));
      return;
  }
  m_await_marker[{request.job, request.customer}].push_back(
      [answer, respond](const JobAnswer& outcome) {
        respond(outcome.kind == JobAnswerKind::kOk ? answer : outcome);
      });
  RequestPlan();
}

void Dispatcher::State(const JobRequest& request, const Responder& respond) {
  const jobs::Job* job = m_scheduler.FindJob(request.job);
  if (job != nullptr && jobs::IsFinished(job->stored_phase)) {
    // Stored for good; no other leader can change it.
    respond(StateNow(request));
    return;
  }
  AnswerWhenConfirmed([this, request] { return StateNow(request); }, respond);
}

JobAnswer Dispatcher::StateNow(const JobRequest& request) {
  const jobs::Job* job = m_scheduler.FindJob(request.job);
  if (job == nullptr) {
    if (const auto* forgotten = m_scheduler.FindForgotten(request.job)) {
      return MayAccess(forgotten->customer, request)
                 ? JobAnswer{.kind = JobAnswerKind::kOk,
                             .phase =
                                 static_cast<std::uint8_t>(forgotten->phase)}
                 : JobAnswer{.kind = JobAnswerKind::kForbidden};
    }
    LogUnknownJob(request);
    return {.kind = JobAnswerKind::kNoSuchJob};
  }
  if (!job->accepted) {
    return {.kind = JobAnswerKind::kOutcomeUnknown};
  }
  if (!MayAccess(job->customer, request)) {
    return {.kind = JobAnswerKind::kForbidden};
  }
  return {.kind = JobAnswerKind::kOk,
          .phase = static_cast<std::uint8_t>(job->stored_phase)};
}

}  // namespace cassiastile::host
