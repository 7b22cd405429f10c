#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cassiastile/platform/memory_platform.hpp"
#include "cassiastile/standin/worker_fleet.hpp"
#include "cassiastile/work/task_owner.hpp"

namespace cassiastile::standin {

// A sink that keeps all decisions, in their order.
class RecordedDecisions final : public base::DecisionSink {
 public:
  void Record(base::Decision decision) override {
    recorded.push_back(std::move(decision));
  }

  std::vector<base::Decision> recorded;
};

// One pool in virtual time: its table, its workers and two processes that may
// own its shard. Tests learn what ran from the workers' log, as the table is
// what they check.
//
// The pool "p" has the hosts w0, w1 and so on in three zones, with 16 cores
// each, the queue "q" and the urgent queue "u".
class TaskCluster {
 public:
  explicit TaskCluster(std::size_t hosts = 4, std::uint64_t seed = 1)
      : table(seed), m_random(seed) {
    accepted.version = 1;
    config::Pool pool;
    pool.name = "p";
    for (std::size_t index = 0; index < hosts; ++index) {
      config::Host host;
      host.name = "w" + std::to_string(index);
      host.zone = "z" + std::to_string(index % 3);
      host.rack = "r" + std::to_string(index / 2);
      pool.hosts.push_back(host);
    }
    accepted.fleet.pools = {pool};
    accepted.fleet.queues = {{"q", "p", "a", false}, {"u", "p", "a", true}};
    accepted.fleet.teams = {{"a", "c"}, {"b", "c"}};
    workers = std::make_unique<WorkerFleet>(
        pool.hosts, base::Random(seed),
        [this](const WorkerLogEntry& line) { RecordEvent(line); });
    for (auto& owner : m_owners) {
      owner = std::make_unique<work::TaskOwner>("p", work::TaskOwnerOptions{},
                                                table, decisions,
                                                base::Random(m_random()));
    }
    TakeOver(0);
    ApplyFleet();
  }

  // Applies the fleet document and the states of the hosts to both owners.
  void ApplyFleet() {
    ++accepted.version;
    std::vector<fleet::HostView> views;
    for (const config::Host& host : accepted.fleet.pools[0].hosts) {
      fleet::HostView view;
      view.host = host;
      view.pool = "p";
      if (draining.contains(host.name)) {
        view.state = fleet::HostState::kDraining;
      }
      views.push_back(view);
    }
    for (auto& owner : m_owners) {
      owner->SetFleet(accepted);
      owner->SetHosts(views);
    }
  }

  // Sets the most tasks of a team that may run at once.
  void SetLimit(const std::string& team, std::uint32_t tasks) {
    std::erase_if(accepted.fleet.limits, [&team](const config::Limit& limit) {
      return limit.team == team;
    });
    accepted.fleet.limits.push_back({team, 0, tasks});
    ApplyFleet();
  }

  // Gives a process the lease on the shard. The other process still believes
  // that it holds the lease.
  void TakeOver(std::size_t owner) {
    const auto row = table.Get("lease/p");
    if (!row) {
      return;
    }
    const std::uint64_t version = *row ? (*row)->version : 0;
    const platform::Transaction transaction{
        "lease" + std::to_string(version),
        {{"lease/p", version}},
        {{"lease/p", std::to_string(owner)}}};
    if (table.Apply(transaction)) {
      m_leases[owner] = {version + 1, {"lease/p", version + 1}};
      current = owner;
    }
  }

  work::TaskOwner& Owner() { return *m_owners[current]; }

  // Gives the event to the current process as a batch of its own.
  work::TaskResult Send(work::TaskEvent event) {
    return m_owners[current]
        ->ProcessEvents({std::move(event)}, Now(), m_leases[current])
        .front();
  }

  // Submits a task and records its key if the submission was acknowledged.
  work::TaskResult Submit(const work::TaskSpec& spec) {
    work::TaskResult result = Send(work::SubmitEvent{spec});
    if (result.effect == work::Effect::kCommitted &&
        result.reply.verdict == work::Verdict::kDone) {
      acknowledged.insert(work::KeyOf(spec));
    }
    return result;
  }

  // Advances the time and handles the polls that are due by then.
  void Step(base::Duration by) {
    clock.Advance(by);
    std::vector<SentPoll> polls = workers->CollectPolls(clock.Now());
    for (const SentPoll& poll : polls) {
      const std::size_t to = split_polls ? poll.worker % 2 : current;
      const auto result =
          m_owners[to]->ProcessEvents({poll.poll}, Now(), m_leases[to]).front();
      workers->Deliver(poll, result.answer, clock.Now());
    }
    m_owners[current]->ProcessEvents({}, Now(), m_leases[current]);
  }

  // Advances the time in steps of 100 ms.
  void Run(base::Duration length) {
    constexpr base::Duration kStep = std::chrono::milliseconds(100);
    for (base::Duration passed{}; passed < length; passed += kStep) {
      Step(kStep);
    }
  }

  work::Moment Now() const { return {clock.Now(), clock.WallNow()}; }

  // Returns the task as stored in the table; empty if it is absent or the table
  // fails.
  std::optional<work::Task> Stored(const std::string& key) {
    const auto row = table.Get("task/p/" + key);
    if (!row || !*row) {
      return std::nullopt;
    }
    return work::DecodeTask((*row)->value).value();
  }

  // Counts the events of one kind in the workers' log for a task.
  std::size_t CountLog(const std::string& key, WorkerEvent event) const {
    std::size_t count = 0;
    for (const WorkerLogEntry& line : log) {
      count += line.key == key && line.event == event ? 1 : 0;
    }
    return count;
  }

  base::ManualClock clock;
  platform::MemoryTable table;
  RecordedDecisions decisions;
  config::AcceptedFleet accepted;
  std::set<std::string> draining;  // Host names; ApplyFleet passes them on.
  std::unique_ptr<WorkerFleet> workers;
  std::vector<WorkerLogEntry> log;
  std::set<std::string> acknowledged;  // Task keys.
  // Runs in progress by team, and the most at once, from the workers' log.
  std::map<std::string, std::int64_t> running;
  std::map<std::string, std::int64_t> peak_running;
  std::size_t current = 0;  // The process that gets submissions and polls.
  // Whether half of the workers poll each process; otherwise all poll the
  // current one.
  bool split_polls = false;

 private:
  void RecordEvent(const WorkerLogEntry& line) {
    log.push_back(line);
    if (line.event == WorkerEvent::kStarted) {
      ++running[line.team];
    } else if (line.event != WorkerEvent::kNotStarted) {
      --running[line.team];
    }
    peak_running[line.team] =
        std::max(peak_running[line.team], running[line.team]);
  }

  base::Random m_random;
  std::array<std::unique_ptr<work::TaskOwner>, 2> m_owners;
  std::array<work::OwnerLease, 2> m_leases;
};

// Returns an idempotent task of team "a" in queue "q" that runs for `seconds`.
inline work::TaskSpec MakeSpec(const std::string& id, double seconds = 5) {
  work::TaskSpec spec;
  spec.id = id;
  spec.queue = "q";
  spec.team = "a";
  spec.kind = "k";
  spec.seconds = seconds;
  spec.idempotent = true;
  return spec;
}

}  // namespace cassiastile::standin
