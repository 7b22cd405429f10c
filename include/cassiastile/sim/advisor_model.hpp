#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/jobs/fleet_config.hpp"
#include "cassiastile/jobs/orders.hpp"
#include "cassiastile/jobs/worker_view.hpp"

namespace cassiastile::sim {

// The platform's placement advisor, in memory: it handles one call at a time of
// each host, in turn, whether or not the host still waits, and turns calls away
// while many wait. Its user decides which answers are lost. Not thread-safe.
class AdvisorModel {
 public:
  static constexpr std::size_t kMaxWaiting = 32;
  static constexpr std::size_t kMaxNamed = 100;

  // The current incarnation of a worker, or nothing; and whether it may run
  // steps.
  using FindIncarnation =
      std::function<std::optional<std::int64_t>(const std::string& worker)>;
  using Policy = std::function<bool(const std::string& worker)>;

  AdvisorModel(jobs::AdviceConfig times,
               FindIncarnation find_incarnation,
               Policy policy);

  // Takes a call and returns when it will be handled, or nothing if it is
  // turned away.
  std::optional<base::TimePoint> Take(const std::string& host,
                                      const jobs::AdviceRequest& request,
                                      base::TimePoint now);
  // The ids and the tickets of the allowed workers; `now` is what Take
  // returned.
  std::vector<std::pair<std::string, std::string>> Answer(
      const jobs::AdviceRequest& request,
      base::TimePoint now);
  // Whether the ticket is valid for a start of the step on the worker.
  bool IsValid(const std::string& ticket,
               const std::string& step,
               const jobs::WorkerId& worker,
               base::TimePoint now) const;

  const jobs::AdviceConfig& Times() const { return m_times; }
  std::uint64_t Calls() const { return m_calls; }
  std::uint64_t TurnedAway() const { return m_turned_away; }
  // The most calls of one host that were under way at once.
  std::size_t MostOfAHost() const { return m_most_of_a_host; }

 private:
  struct Ticket {
    std::string step;
    jobs::WorkerId worker;
    base::TimePoint until{};
  };

  jobs::AdviceConfig m_times;
  FindIncarnation m_find_incarnation;
  Policy m_policy;
  // When the calls of each host are handled that are not yet.
  std::map<std::string, std::deque<base::TimePoint>> m_handled_at;
  std::map<std::string, Ticket> m_tickets;
  std::uint64_t m_calls = 0;
  std::uint64_t m_turned_away = 0;
  std::size_t m_most_of_a_host = 0;
};

}  // namespace cassiastile::sim
