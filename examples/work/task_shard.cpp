#include <cstdio>

#include "cassiastile/work/task_shard.hpp"

// Submits a task to the shard of a pool with one host, and prints where it is
// placed.
int main() {
  using namespace cassiastile;
  const base::ManualClock clock;
  const work::Moment moment{clock.Now(), clock.WallNow()};
  work::TaskShard shard("push", {}, base::Random(1));
  fleet::HostView view;
  view.host = {"w-01", "praha-1", "r-1", 16, 64, 0};
  view.pool = "push";
  shard.SetHosts({view});
  shard.EndLoad(moment);

  work::WorkerPoll poll;
  poll.worker = "w-01";
  poll.incarnation = 1;
  poll.sequence = 1;
  work::TaskSpec spec;
  spec.id = "price-17";
  spec.queue = "push";
  const work::TaskBatch batch =
      shard.Propose({poll, work::SubmitEvent{spec}}, moment);
  for (const base::Decision& decision : batch.decisions) {
    std::printf("%s: %s\n", decision.subject.c_str(), decision.outcome.c_str());
  }
  // The owner of the shard writes the rows here; Confirm must follow the
  // commit.
  shard.Confirm();
  std::printf("%zu row, %zu start\n", batch.rows.size(),
              shard.Answer(poll).start.size());
  return 0;
}
