#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/random.hpp"
#include "cassiastile/config/fleet.hpp"
#include "cassiastile/standin/worker.hpp"

namespace cassiastile::standin {

// Probabilities, from 0 to 1.
struct WorkerFleetFaults {
  double lose_poll = 0;
  double lose_answer = 0;
};

struct SentPoll {
  std::size_t worker = 0;
  base::TimePoint sent{};
  work::WorkerPoll poll;
};

// The workers of a pool, polling in virtual time. For tests and measurements.
class WorkerFleet {
 public:
  WorkerFleet(const std::vector<config::Host>& hosts,
              base::Random random,
              const Worker::Log& log);

  // Brings all workers up to the time and returns the polls that arrive now.
  std::vector<SentPoll> CollectPolls(base::TimePoint now);

  // Hands a worker the answer to its poll, unless there is none or it is lost.
  void Deliver(const SentPoll& poll,
               const std::optional<work::PollAnswer>& answer,
               base::TimePoint now);

  void SetFaults(WorkerFleetFaults faults);
  Worker& At(std::size_t index);
  std::size_t Count() const;

 private:
  bool InjectFault(double probability);

  struct Member {
    Worker worker;
    base::TimePoint last_poll{};
    base::TimePoint next_poll{};
  };

  base::Random m_random;
  WorkerFleetFaults m_faults;
  std::vector<Member> m_members;
};

}  // namespace cassiastile::standin
