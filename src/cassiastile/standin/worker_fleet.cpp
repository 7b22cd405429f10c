#include "cassiastile/standin/worker_fleet.hpp"

#include <algorithm>

namespace cassiastile::standin {

namespace {

// The time until the next poll after one without an answer.
constexpr base::Duration kRetryAfter = std::chrono::milliseconds(500);
// When a run ends, the next poll is made at once, but no sooner than this after
// the last one.
constexpr base::Duration kMinPollGap = std::chrono::milliseconds(100);

}  // namespace

WorkerFleet::WorkerFleet(const std::vector<config::Host>& hosts,
                         base::Random random,
                         const Worker::Log& log)
    : m_random(random) {
  m_members.reserve(hosts.size());
  for (const config::Host& host : hosts) {
    WorkerOptions options;
    options.name = host.name;
    m_members.push_back({Worker(options, log), {}, {}});
  }
}

std::vector<SentPoll> WorkerFleet::CollectPolls(base::TimePoint now) {
  std::vector<SentPoll> polls;
  for (std::size_t index = 0; index < m_members.size(); ++index) {
    Member& member = m_members[index];
    member.worker.Advance(now);
    const bool has_unreported_runs = member.worker.HasUnreportedRuns() &&
                                     now - member.last_poll >= kMinPollGap;
    if (member.worker.IsPaused() ||
        (now < member.next_poll && !has_unreported_runs)) {
      continue;
    }
    member.last_poll = now;
    member.next_poll = now + kRetryAfter;
    for (const std::string& pool : member.worker.PoolsToPoll()) {
      SentPoll sent{index, now, member.worker.MakePoll(pool)};
      if (!InjectFault(m_faults.lose_poll)) {
        polls.push_back(std::move(sent));
      }
    }
  }
  return polls;
}

void WorkerFleet::Deliver(const SentPoll& poll,
                          const std::optional<work::PollAnswer>& answer,
                          base::TimePoint now) {
  if (!answer || InjectFault(m_faults.lose_answer)) {
    return;
  }
  Member& member = m_members[poll.worker];
  member.worker.ApplyAnswer(*answer, poll.sent, now);
  member.next_poll = now + answer->poll_after;
}

void WorkerFleet::SetFaults(WorkerFleetFaults faults) {
  m_faults = faults;
}

Worker& WorkerFleet::At(std::size_t index) {
  return m_members.at(index).worker;
}

std::size_t WorkerFleet::Count() const {
  return m_members.size();
}

bool WorkerFleet::InjectFault(double probability) {
  return probability > 0 && std::bernoulli_distribution(probability)(m_random);
}

}  // namespace cassiastile::standin
