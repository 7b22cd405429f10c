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

// Simulates the workers of a pool, which poll in virtual time. For tests and
// benchmarks.
class WorkerFleet {
 public:
  WorkerFleet(const std::vector<config::Host>& hosts,
              base::Random random,
              const Worker::Log& log);

  // Advances all workers to a time and returns the polls that they send then,
  // without the lost ones.
  std::vector<SentPoll> CollectPolls(base::TimePoint now);

  // Gives a worker the answer to its poll, unless there is none or the answer
  // is lost.
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
