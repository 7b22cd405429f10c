#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/work/request.hpp"

namespace cassiastile::work {

// Settings of an AdmissionQueue.
struct AdmissionOptions {
  std::size_t queue_limit = 512;  // Queued requests of all teams.
  // By how many requests a team's urgent ones may run ahead of its fair share.
  double urgent_lead = 16;
  // How long after its arrival a request may wait while this host has no
  // usable slots at all, or its team's concurrency limit is zero.
  std::chrono::milliseconds max_wait_without_slots{1000};
  // The fraction of a request's remaining time, less the service time, that its
  // expected wait may take: on arrival, and while it is queued.
  double admit_fraction = 0.5;
  double keep_fraction = 0.9;
  std::chrono::milliseconds min_retry_after{1000};
  std::chrono::milliseconds max_retry_after{30000};
};

// A team's weight and concurrency limit on this host.
struct TeamQuota {
  std::uint32_t weight = 1;
  // The most requests that may run at once; unset when the team has no limit.
  std::optional<std::uint32_t> concurrency_limit;
};

// The rate at which this host can currently start requests.
struct ServiceRate {
  std::uint32_t slots = 0;        // Granted to this host on usable runners.
  base::Duration service_time{};  // Average per request.
};

// A request that was refused, and why.
struct Refusal {
  RequestTicket ticket;
  NotRun not_run;
};

// The queue of one service on this host: bounded, urgent requests first,
// weighted fair among teams (start-time fair queuing). Refuses early what would
// miss its deadline. Not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  void SetQuota(const std::string& team, TeamQuota quota);
  // A team without a quota has weight one and no limit.
  const TeamQuota& QuotaOf(const std::string& team) const;

  // Queues a request. Returns the refusals this caused: of the request itself
  // or, when the queue is full, of the newest normal request of the team with
  // the most queued per weight.
  std::vector<Refusal> Offer(const RequestTicket& ticket,
                             const ServiceRate& rate,
                             base::TimePoint now,
                             base::Random& random);

  // The reason why a request offered now would be refused, or nothing.
  std::optional<RefusalReason> Preview(const RequestTicket& ticket,
                                       const ServiceRate& rate,
                                       base::TimePoint now) const;

  // Removes the next request in fair-share order and counts it as running.
  // Nothing when the queue is empty or all waiting teams are at their limits.
  // The caller must have a free slot.
  std::optional<RequestTicket> TakeNext();

  // Counts one more try of a dequeued request as running.
  // Returns false when its team is at its limit.
  bool StartRetry(const std::string& team);

  // Ends a try that was counted as running. `cost` is its duration in units of
  // the average service time; its team is charged for it.
  void Release(const std::string& team, double cost);

  // Removes and refuses queued requests that are not expected to be answered
  // before their deadline, or that have waited for max_wait_without_slots while
  // this host has no usable slots or their team's concurrency limit is zero.
  std::vector<Refusal> RefuseLate(const ServiceRate& rate,
                                  base::TimePoint now,
                                  base::Random& random);

  // Removes and refuses the queued requests that satisfy the condition.
  using Condition = std::function<bool(const RequestTicket&)>;
  std::vector<Refusal> RefuseMatching(const Condition& condition,
                                      RefusalReason reason,
                                      const ServiceRate& rate,
                                      base::Random& random);

  // Draws the time after which a refused caller should retry: about when the
  // queue has drained, with jitter so that callers don't retry at the same
  // time.
  base::Duration DrawRetryAfter(const ServiceRate& rate,
                                base::Random& random) const;

  std::size_t Size() const { return m_size; }
  std::uint32_t Running() const { return m_running; }

  // A team's queued and running requests.
  struct TeamCount {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
  };
  std::map<std::string, TeamCount> Counts() const;
  TeamCount CountOf(const std::string& team) const;

 private:
  struct TeamQueue {
    TeamQuota quota;
    std::deque<RequestTicket> urgent;
    std::deque<RequestTicket> normal;
    std::uint32_t running = 0;
    double virtual_time = 0;

    std::size_t Queued() const { return urgent.size() + normal.size(); }
    bool MayStart() const;
  };

  void AdvanceVirtualTime();
  TeamQueue* FindNext();
  TeamQueue* FindLargest();
  double ExpectedWait(const TeamQueue& team,
                      std::size_t ahead,
                      const ServiceRate& rate) const;
  std::optional<RefusalReason> FindRefusalReason(const TeamQueue& team,
                                                 std::size_t ahead,
                                                 const RequestTicket& ticket,
                                                 const ServiceRate& rate,
                                                 base::TimePoint now,
                                                 double wait_fraction) const;
  Refusal Refuse(const RequestTicket& ticket,
                 RefusalReason reason,
                 const ServiceRate& rate,
                 base::Random& random) const;
  Refusal EvictNewest(TeamQueue& team,
                      const ServiceRate& rate,
                      base::Random& random);

  AdmissionOptions m_options;
  std::map<std::string, TeamQueue> m_teams;
  std::size_t m_size = 0;
  std::uint32_t m_running = 0;
  double m_virtual_time = 0;
};

// Token bucket that limits retries to a fraction of the answers.
class RetryBudget {
 public:
  // Each answer adds `tokens_per_answer`, up to `max_tokens`. The bucket starts
  // full.
  RetryBudget(double tokens_per_answer, double max_tokens);

  // Adds the tokens for one answer.
  void Earn();
  bool HasToken() const { return m_tokens >= 1; }
  // Spends one token; returns false when there is none.
  bool Spend();

 private:
  double m_tokens_per_answer;
  double m_max_tokens;
  double m_tokens;
};

}  // namespace cassiastile::work
