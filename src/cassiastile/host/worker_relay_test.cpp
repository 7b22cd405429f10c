#include "cassiastile/host/worker_relay.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cassiastile/host/relayed_workers.hpp"
#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;
using testing::UnorderedElementsAre;

// Notes the calls to workers and answers none by itself.
class RecordingWorkers final : public WorkerPort {
 public:
  void Extend(
      const WorkerAddress& worker,
      const LeaseExtension& extension,
      std::function<void(tl::expected<jobs::WorkerReport, WorkerCallFailure>)>
          done) override {
    extended.push_back(worker.id.id);
    fences.push_back(extension.fence);
    extensions.push_back(std::move(done));
  }
  void Start(const WorkerAddress&,
             const jobs::StartOrder& order,
             std::uint64_t fence,
             milliseconds,
             std::function<void(const StartAnswer&)> done) override {
    payloads.push_back(order.payload);
    fences.push_back(fence);
    starts.push_back(std::move(done));
  }
  void Stop(const WorkerAddress&,
            const jobs::StopOrder&,
            std::uint64_t fence,
            std::function<void(bool)>) override {
    fences.push_back(fence);
  }
  void Pace(const WorkerAddress&,
            const jobs::PaceOrder&,
            std::uint64_t fence,
            std::function<void(bool)>) override {
    fences.push_back(fence);
  }

  std::vector<std::string> extended;
  std::vector<std::uint64_t> fences;  // Of all calls.
  std::vector<std::string> payloads;
  std::vector<
      std::function<void(tl::expected<jobs::WorkerReport, WorkerCallFailure>)>>
      extensions;
  std::vector<std::function<void(const StartAnswer&)>> starts;
};

// Passes batches to one relay, and results back to the leader.
class RelayWire final : public PeerPort {
 public:
  void Gossip(const std::string&,
              const GossipMessage&,
              Done<GossipMessage>) override {}
  void ForwardJob(const std::string&,
                  const JobRequest&,
                  milliseconds,
                  Done<JobAnswer>) override {}
  void SendRelayBatch(const std::string&,
                      const RelayBatch& batch,
                      Done<RelayReply> done) override {
    batches.push_back(batch);
    loop->After(delay, [this, batch, done] {
      if (refuses) {
        done(tl::unexpected(Failure{true, true}));
        return;
      }
      RelayReply reply = relay->Handle(batch);
      reply.has_worker_fences = has_worker_fences;
      loop->After(delay, [done, reply] { done(reply); });
    });
  }
  void SendRelayResults(const std::string&,
                        const RelayResults& results) override {
    loop->After(delay, [this, results] { leader->HandleResults(results); });
  }

  VirtualLoop* loop = nullptr;
  WorkerRelay* relay = nullptr;
  RelayedWorkers* leader = nullptr;
  milliseconds delay{1};
  bool refuses = false;
  bool has_worker_fences = true;  // Whether the relay says so.
  std::vector<RelayBatch> batches;
};

// The loop of a process that gets to each callback late.
class LateLoop final : public Loop {
 public:
  explicit LateLoop(Loop& loop) : m_loop(loop) {}
  const base::Clock& GetClock() const override { return m_loop.GetClock(); }
  void After(base::Duration delay, std::function<void()> callback) override {
    m_loop.After(delay + lag, std::move(callback));
  }

  milliseconds lag{0};

 private:
  Loop& m_loop;
};

class WorkerRelayTest : public testing::Test {
 protected:
  WorkerRelayTest() {
    m_wire.loop = &m_loop;
    m_wire.relay = &m_relay;
    m_wire.leader = &m_leader;
    Offer();
    m_loop.RunFor(milliseconds(20));
    Offer();
  }

  void Offer() {
    m_leader.ChooseRelays(7, {{"relay", "relay:1", 0.5}}, {{"zone", 200}});
  }

  void Start(const std::string& worker, const std::string& job) {
    m_leader.Start(
        {{worker, 1}, worker + ":1", "zone"},
        {{worker, 1}, {job, 0, 0, 0}, 1, "payload of " + job, "", ""}, 7,
        milliseconds(5000), [this](const StartAnswer& answer) {
          m_results.push_back(answer.result);
        });
  }

  void Extend(const std::string& worker) {
    m_leader.Extend({{worker, 1}, worker + ":1", "zone"}, {.fence = 7},
                    [this](const auto& report) {
                      m_reported.push_back(report.has_value());
                    });
  }

  VirtualLoop m_loop;
  HostMetrics m_metrics;
  EventLog m_log{m_loop.GetClock(), "leader", m_metrics,
                 [](std::string_view bytes) { return bytes.size(); }};
  RelayWire m_wire;
  RecordingWorkers m_direct;
  RecordingWorkers m_relayed;
  WorkerRelay m_relay{m_relayed, m_wire, m_loop, m_log, {"process", "zone"}};
  LateLoop m_leader_loop{m_loop};
  RelayedWorkers m_leader{m_direct, m_wire, m_leader_loop, m_log, "leader:1"};
  std::vector<jobs::StartResult> m_results;
  std::vector<bool> m_reported;
};

// 16 tasks of a job start at once, as at the begin of a queue's turn.
TEST_F(WorkerRelayTest, BatchCarriesThePayloadOfAJobOnce) {
  m_wire.batches.clear();
  for (int i = 0; i < 16; ++i) {
    Start("worker-" + std::to_string(i % 4), "job");
  }
  m_loop.RunFor(milliseconds(100));
  ASSERT_THAT(m_wire.batches, SizeIs(1));
  EXPECT_THAT(m_wire.batches[0].payloads, ElementsAre("payload of job"));
  EXPECT_THAT(m_wire.batches[0].workers, SizeIs(4));
  EXPECT_THAT(m_relayed.starts, SizeIs(16));
  EXPECT_THAT(m_direct.starts, IsEmpty());
  m_relayed.starts.front()({jobs::StartResult::kRunning});
  m_loop.RunFor(milliseconds(100));
  EXPECT_THAT(m_results, ElementsAre(jobs::StartResult::kRunning));
}

// It shows whether the incarnation that was meant has carried out the start.
TEST_F(WorkerRelayTest, LeaderGetsTheClockOfTheWorkerThatStartedARun) {
  std::vector<std::optional<milliseconds>> clocks;
  for (int i = 0; i < 2; ++i) {
    m_leader.Start(
        {{"worker", 1}, "worker:1", "zone"},
        {{"worker", 1}, {"job", 0, 0, 0}, 1, "payload of job", "", ""}, 7,
        milliseconds(5000), [&clocks](const StartAnswer& answer) {
          clocks.push_back(answer.clock);
        });
  }
  m_loop.RunFor(milliseconds(50));
  ASSERT_THAT(m_relayed.starts, SizeIs(2));
  m_relayed.starts[0]({jobs::StartResult::kRunning, milliseconds(3)});
  m_relayed.starts[1]({jobs::StartResult::kUnknown});
  m_loop.RunFor(milliseconds(50));
  EXPECT_THAT(clocks, ElementsAre(milliseconds(3), std::nullopt));
}

// A relay that was paused for 2 s reads a batch that is as old.
TEST_F(WorkerRelayTest, PausedRelaySendsNothingOfAnOldBatch) {
  m_wire.delay = milliseconds(2000);
  Start("worker", "job");
  m_loop.RunFor(milliseconds(4500));
  EXPECT_THAT(m_relayed.starts, IsEmpty());
  EXPECT_THAT(m_results,
              ElementsAre(testing::AnyOf(jobs::StartResult::kUnknown,
                                         jobs::StartResult::kUnreachable)));
}

// The worker may have begun to drain since the start was ordered.
TEST_F(WorkerRelayTest, SlowLeaderGivesUpStartsThatItWouldSendLate) {
  m_leader_loop.lag = milliseconds(800);
  Start("worker", "job");
  Extend("worker");
  m_loop.RunFor(milliseconds(1500));
  EXPECT_THAT(m_relayed.starts, IsEmpty());
  EXPECT_THAT(m_results, ElementsAre(jobs::StartResult::kTooLate));
  // A lease that comes late does no harm.
  EXPECT_THAT(m_relayed.extended, ElementsAre("worker"));
}

TEST_F(WorkerRelayTest, RelaySendsNothingForAFormerLeader) {
  RelayBatch newer;
  newer.fence = 8;
  newer.relay_incarnation = "process";
  newer.valid_until_ms =
      base::Milliseconds(m_loop.Now().time_since_epoch()) + 500;
  ASSERT_EQ(m_relay.Handle(newer).verdict, RelayVerdict::kTaken);
  Start("worker", "job");
  m_loop.RunFor(milliseconds(100));
  EXPECT_THAT(m_relayed.starts, IsEmpty());
  EXPECT_THAT(m_results, ElementsAre(jobs::StartResult::kUnreachable));
}

// A worker that has restarted refuses calls with the token of its former
// incarnation, which the others are still called with.
TEST_F(WorkerRelayTest, RelayCallsEachWorkerWithItsOwnFence) {
  const WorkerAddress restarted{{"restarted", 2}, "restarted:1", "zone"};
  const jobs::TaskId task{"job", 0, 0, 0};
  const auto ignore = [](const auto&) {};
  m_leader.Extend(restarted, {.fence = 9}, ignore);
  m_leader.Start(restarted, {restarted.id, task, 1, "payload", "", ""}, 9,
                 milliseconds(5000), ignore);
  m_leader.Stop(restarted,
                {restarted.id, task, 1, jobs::StopReason::kDuplicate}, 9,
                ignore);
  m_leader.Pace(restarted, {restarted.id, task, 1, 50}, 9, ignore);
  Extend("worker");
  m_loop.RunFor(milliseconds(50));
  EXPECT_THAT(m_relayed.fences, UnorderedElementsAre(9, 9, 9, 9, 7));
  EXPECT_THAT(m_direct.fences, IsEmpty());
}

// A relay of a former version would call it with the token of the term.
TEST_F(WorkerRelayTest, RelayWithoutWorkerFencesGetsNoCallsForARestartedOne) {
  m_wire.has_worker_fences = false;
  Extend("worker");
  m_loop.RunFor(milliseconds(50));
  m_leader.Extend({{"restarted", 2}, "restarted:1", "zone"}, {.fence = 9},
                  [](const auto&) {});
  EXPECT_THAT(m_direct.fences, ElementsAre(9));
  EXPECT_THAT(m_relayed.fences, ElementsAre(7));
}

TEST_F(WorkerRelayTest, ProcessThatWasNotMeantSendsNothing) {
  RelayBatch batch;
  batch.fence = 7;
  batch.relay_incarnation = "former process";
  batch.valid_until_ms =
      base::Milliseconds(m_loop.Now().time_since_epoch()) + 500;
  EXPECT_EQ(m_relay.Handle(batch).verdict, RelayVerdict::kOtherIncarnation);
}

// The relay is cut off from a worker that is well.
TEST_F(WorkerRelayTest, WorkerIsCalledDirectlyAfterItsRelayGotNoAnswer) {
  Extend("worker");
  m_loop.RunFor(milliseconds(50));
  ASSERT_THAT(m_relayed.extensions, SizeIs(1));
  m_relayed.extensions[0](tl::unexpected(WorkerCallFailure{}));
  m_loop.RunFor(milliseconds(50));
  EXPECT_THAT(m_reported, ElementsAre(false));
  Extend("worker");
  Extend("other");
  m_loop.RunFor(milliseconds(50));
  EXPECT_THAT(m_direct.extended, ElementsAre("worker"));
  EXPECT_THAT(m_relayed.extended, ElementsAre("worker", "other"));
}

// A start found no worker; the leader does not know that yet when it sends an
// acknowledgement, which the worker's next incarnation must not get.
TEST_F(WorkerRelayTest, EndsAreNotAcknowledgedAfterACallThatFailed) {
  Start("worker", "job");
  m_loop.RunFor(milliseconds(50));
  ASSERT_THAT(m_relayed.starts, SizeIs(1));
  m_relayed.starts[0]({jobs::StartResult::kUnknown});
  m_leader.Extend(
      {{"worker", 1}, "worker:1", "zone"}, {.fence = 7, .acknowledged_end = 3},
      [this](const auto& report) { m_reported.push_back(report.has_value()); });
  m_loop.RunFor(milliseconds(50));
  EXPECT_THAT(m_relayed.extended, IsEmpty());
  EXPECT_THAT(m_reported, ElementsAre(false));
}

TEST_F(WorkerRelayTest, CallsOfARelayWhoseProcessIsGoneEndAtOnce) {
  m_wire.refuses = true;
  Start("worker", "job");
  m_loop.RunFor(milliseconds(60));
  EXPECT_THAT(m_results, ElementsAre(jobs::StartResult::kUnreachable));
  Start("worker", "other");
  EXPECT_THAT(m_direct.starts, SizeIs(1));
}

TEST_F(WorkerRelayTest, SmallFleetIsCalledByTheLeader) {
  m_leader.ChooseRelays(7, {{"relay", "relay:1", 0.5}}, {{"zone", 50}});
  Start("worker", "job");
  EXPECT_THAT(m_direct.starts, SizeIs(1));
}

TEST(RelayMessageTest, MalformedMessagesAreRefused) {
  RelayBatch batch;
  batch.starts.push_back({});
  EXPECT_FALSE(DecodeRelayBatch(Encode(batch)));
  batch.workers.push_back({"worker", 1, "worker:1"});
  EXPECT_FALSE(DecodeRelayBatch(Encode(batch)));
  batch.payloads.emplace_back("payload");
  const std::string whole = Encode(batch);
  EXPECT_TRUE(DecodeRelayBatch(whole));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeRelayBatch(whole.substr(0, size))) << size;
  }
  RelayResults results;
  results.starts.push_back({1, 200});
  EXPECT_FALSE(DecodeRelayResults(Encode(results)));
}

// Bytes of any kind, from a peer of another version or from somebody else.
TEST(RelayMessageTest, RandomBytesAreReadOrRefused) {
  constexpr int kMessages = 20000;
  constexpr std::size_t kMaxBytes = 60;
  base::Random random(5);
  RelayBatch batch;
  batch.workers.push_back({"worker", 1, "worker:1"});
  batch.payloads.emplace_back("payload");
  batch.starts.push_back({});
  const std::string whole = Encode(batch);
  for (int i = 0; i < kMessages; ++i) {
    std::string bytes =
        i % 2 == 0 ? whole : std::string(random() % kMaxBytes, 0);
    for (std::size_t change = 0; change <= random() % 4 && !bytes.empty();
         ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    static_cast<void>(DecodeRelayBatch(bytes));
    static_cast<void>(DecodeRelayReply(bytes));
    static_cast<void>(DecodeRelayResults(bytes));
  }
}

}  // namespace
}  // namespace cassiastile::host
