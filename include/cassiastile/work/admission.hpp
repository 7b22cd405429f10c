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

struct AdmissionOptions {
  std::size_t queue_limit = 512;
  // How many requests a team's urgent ones may go ahead of its share.
  double urgent_lead = 16;
  // How long a request may wait when nothing can be started at all.
  std::chrono::milliseconds patience{1000};
  // The part of a request's remaining time that its wait may be put at when it
  // arrives, and while it waits.
  double admit_fraction = 0.5;
  double keep_fraction = 0.9;
  std::chrono::milliseconds min_retry_after{1000};
  std::chrono::milliseconds max_retry_after{30000};
};

// What a team may take of this host.
struct TeamQuota {
  std::uint32_t weight = 1;
  // Requests that may run at once; nothing where the team has no limit.
  std::optional<std::uint32_t> granted;
};

// How fast this host can start requests at present.
struct ServiceRate {
  std::uint32_t slots = 0;  // Granted to this host on usable runners.
  base::Duration service_time{};
};

struct Refusal {
  RequestTicket ticket;
  NotRun not_run;
};

// The requests that wait on this host for one service: bounded, urgent first,
// fair among teams by weight (start-time fair queuing), refusing early what
// would be answered too late.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  void SetQuota(const std::string& team, TeamQuota terms);
  // A team that no terms were set for has weight one and no limit.
  const TeamQuota& QuotaOf(const std::string& team) const;

  // Takes in a request. The refusals are of this one or, when the queue is
  // full, of one from the team that takes up most of it.
  std::vector<Refusal> Offer(const RequestTicket& ticket,
                             const ServiceRate& rate,
                             base::TimePoint now,
                             base::Random& random);

  // Why a request offered now would be refused, or nothing.
  std::optional<RefusalReason> Preview(const RequestTicket& ticket,
                                       const ServiceRate& rate,
                                       base::TimePoint now) const;

  // Takes out the request that is next by its team's share, and counts it as
  // running; nothing when none may start.
  std::optional<RequestTicket> TakeNext();

  // Counts one more try of a request already taken out, if its team may run
  // one more.
  bool StartRetry(const std::string& team);

  // A try counted as running has ended after `cost` times the usual service
  // time, which its team is charged.
  void Release(const std::string& team, double cost);

  // Takes out and refuses what can't be answered before its deadline any more.
  std::vector<Refusal> RefuseLate(const ServiceRate& rate,
                                  base::TimePoint now,
                                  base::Random& random);

  // Takes out and refuses what fits the condition.
  using Condition = std::function<bool(const RequestTicket&)>;
  std::vector<Refusal> RefuseMatching(const Condition& condition,
                                      RefusalReason reason,
                                      const ServiceRate& rate,
                                      base::Random& random);

  // When a caller that is refused should come back: after the queue has
  // drained, spread so that callers don't come back together.
  base::Duration DrawRetryAfter(const ServiceRate& rate,
                                base::Random& random) const;

  std::size_t Size() const { return m_size; }
  std::uint32_t Running() const { return m_running; }

  struct TeamCount {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
  };
  std::map<std::string, TeamCount> Counts() const;
  TeamCount CountOf(const std::string& team) const;

 private:
  struct TeamQueue {
    TeamQuota terms;
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
  std::optional<RefusalReason> FindObjection(const TeamQueue& team,
                                             std::size_t ahead,
                                             const RequestTicket& ticket,
                                             const ServiceRate& rate,
                                             base::TimePoint now,
                                             double part) const;
  Refusal Refuse(const RequestTicket& ticket,
                 RefusalReason reason,
                 const ServiceRate& rate,
                 base::Random& random) const;
  Refusal PushOut(TeamQueue& team,
                  const ServiceRate& rate,
                  base::Random& random);

  AdmissionOptions m_options;
  std::map<std::string, TeamQueue> m_teams;
  std::size_t m_size = 0;
  std::uint32_t m_running = 0;
  double m_virtual_time = 0;
};

// Keeps retries to a part of what is answered.
class RetryBudget {
 public:
  // Each answer earns `part` of a retry, up to `most` of them.
  RetryBudget(double part, double most);

  void Earn();
  bool HasToken() const { return m_tokens >= 1; }
  // Spends one retry; false when there is none.
  bool Spend();

 private:
  double m_part;
  double m_most;
  double m_tokens;
};

}  // namespace cassiastile::work
