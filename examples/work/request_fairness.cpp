#include <cstdio>
#include <map>

#include "cassiastile/work/admission.hpp"

// Fills a queue with requests of two teams with weights 3 and 1, and prints how
// many of each are among the first 40 that start.
int main() {
  using namespace cassiastile;
  constexpr work::RequestId kEach = 40;
  const base::TimePoint now{std::chrono::hours(1)};
  const work::ServiceRate rate{8, std::chrono::milliseconds(50)};
  base::Random random(1);
  work::AdmissionQueue queue({});
  queue.SetQuota("large", {.weight = 3, .concurrency_limit = {}});
  for (work::RequestId id = 0; id < 2 * kEach; ++id) {
    work::RequestTicket ticket;
    ticket.id = id;
    ticket.team = id % 2 == 0 ? "large" : "small";
    ticket.arrived = now;
    ticket.deadline = now + std::chrono::seconds(10);
    queue.Offer(ticket, rate, now, random);
  }
  std::map<std::string, int> started;
  for (work::RequestId i = 0; i < kEach; ++i) {
    ++started[queue.TakeNext()->team];
  }
  std::printf("large %d, small %d\n", started["large"], started["small"]);
  return 0;
}
