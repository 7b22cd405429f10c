#include <future>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/control/task_service.hpp"
#include "cassiastile/platform/memory_platform.hpp"
#include "cassiastile/wire/http_client.hpp"

namespace cassiastile::control {
namespace {

class FixedFleetSource final : public config::FleetSource {
 public:
  FixedFleetSource() {
    auto next = std::make_shared<config::AcceptedFleet>();
    next->version = 1;
    config::Pool pool;
    pool.name = "p";
    pool.hosts = {{"w0", "z0", "r0", 16, 64, 0}};
    next->fleet.pools = {pool};
    next->fleet.queues = {{"q", "p", "a", false}, {"open", "p", "", false}};
    next->fleet.keys = {{"ka", "a", base::Sha256Hex("secret-a")},
                        {"kb", "b", base::Sha256Hex("secret-b")}};
    next->fleet.operators = {{"ann", base::Sha256Hex("secret-op")}};
    accepted = next;
  }
  std::shared_ptr<const config::AcceptedFleet> Current() const override {
    return accepted;
  }
  bool IsFresh(base::TimePoint) const override { return fresh; }

  std::shared_ptr<const config::AcceptedFleet> accepted;
  std::atomic<bool> fresh{true};
};

class FixedShardOwner final : public member::ShardOwner {
 public:
  std::optional<member::ShardLease> CurrentLease(
      const std::string& shard,
      base::TimePoint) const override {
    if (!owns) {
      return std::nullopt;
    }
    return member::ShardLease{shard, 1, {"lease/" + shard, 0}};
  }
  std::string OwnerAddress(const std::string&) const override { return ""; }

  std::atomic<bool> owns{true};
};

class FixedPoolView final : public fleet::PoolView {
 public:
  explicit FixedPoolView(const FixedFleetSource& fleet) : m_fleet(fleet) {}
  std::vector<fleet::HostView> Hosts(const std::string& pool) const override {
    std::vector<fleet::HostView> views;
    for (const auto& host :
         config::FindPool(m_fleet.accepted->fleet, pool)->hosts) {
      fleet::HostView view;
      view.host = host;
      view.pool = pool;
      views.push_back(view);
    }
    return views;
  }

 private:
  const FixedFleetSource& m_fleet;
};

class NullDecisionSink final : public base::DecisionSink {
 public:
  void Record(base::Decision) override {}
};

class TaskServiceTest : public ::testing::Test {
 protected:
  TaskServiceTest() {
    m_service->Register(m_router);
    m_service->Start();
  }

  wire::HttpResponse Call(const std::string& method,
                          const std::string& path,
                          const std::string& secret = "",
                          const std::string& body = "") {
    wire::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!secret.empty()) {
      request.headers.emplace_back("Authorization", "Bearer " + secret);
    }
    auto promise = std::make_shared<std::promise<wire::HttpResponse>>();
    auto future = promise->get_future();
    m_router.RouteRequest(std::move(request),
                          [promise](wire::HttpResponse response) {
                            promise->set_value(std::move(response));
                          });
    return future.get();
  }

  wire::HttpResponse Submit(const std::string& id) {
    return Call("POST", "/v1/queues/q/tasks", "secret-a",
                R"({"id": ")" + id + R"(", "kind": "push", "seconds": 5})");
  }

  work::PollAnswer Poll(work::WorkerPoll poll) {
    poll.incarnation = 1;
    poll.sequence = ++m_sequence;
    const auto response =
        Call("POST", "/v1/workers/w0/poll", "", work::EncodePoll(poll));
    EXPECT_EQ(response.status, 200) << response.body;
    return work::DecodePollAnswer(response.body).value();
  }

  static std::string ExecutionOf(const wire::HttpResponse& response) {
    return nlohmann::json::parse(response.body).value("execution", "");
  }

  base::SystemClock m_clock;
  platform::MemoryTable m_table;
  FixedFleetSource m_fleet;
  FixedShardOwner m_owner;
  FixedPoolView m_pools{m_fleet};
  NullDecisionSink m_decisions;
  std::unique_ptr<wire::HttpClient> m_client = wire::HttpClient::Create();
  ShardForwarder m_forwarder{m_clock, m_owner, *m_client};
  std::unique_ptr<TaskService> m_service = TaskService::Create(
      {m_table, m_fleet, m_owner, m_pools, m_decisions, m_clock},
      m_forwarder,
      {});
  wire::Router m_router;
  std::uint64_t m_sequence = 0;
};

TEST_F(TaskServiceTest, RunsATaskFromSubmissionToItsEnd) {
  EXPECT_EQ(Submit("1").status, 201);
  work::PollAnswer answer = Poll({});
  while (answer.start.empty()) {
    answer = Poll({});
  }
  EXPECT_EQ(answer.home_pool, "p");
  EXPECT_EQ(answer.start[0].spec.id, "1");
  work::WorkerPoll done;
  done.pool = "p";
  work::EndedRun ended;
  ended.key = "q/1";
  ended.epoch = answer.start[0].epoch;
  ended.end = work::RunEnd::kSucceeded;
  done.ended = {ended};
  EXPECT_EQ(Poll(done).acknowledged.size(), 1U);
  const auto read = Call("GET", "/v1/queues/q/tasks/1", "secret-a");
  EXPECT_EQ(nlohmann::json::parse(read.body).at("outcome"), "succeeded");
}

TEST_F(TaskServiceTest,
       ResubmissionGetsTheSameAnswerAndADifferentTaskIsRefused) {
  const auto first = Submit("1");
  const auto second = Submit("1");
  EXPECT_EQ(second.status, 201);
  EXPECT_EQ(first.body, second.body);
  const auto other = Call("POST", "/v1/queues/q/tasks", "secret-a",
                          R"({"id": "1", "kind": "other"})");
  EXPECT_EQ(other.status, 409);
}

TEST_F(TaskServiceTest, AcceptsTasksOnlyWithAKeyOfTheQueuesTeam) {
  const std::string body = R"({"id": "1"})";
  EXPECT_EQ(Call("POST", "/v1/queues/q/tasks", "", body).status, 403);
  EXPECT_EQ(Call("POST", "/v1/queues/q/tasks", "secret-b", body).status, 403);
  EXPECT_EQ(Call("POST", "/v1/queues/q/tasks", "guess", body).status, 403);
  EXPECT_EQ(Call("POST", "/v1/queues/open/tasks", "", body).status, 201);
  m_fleet.fresh = false;
  EXPECT_EQ(Call("POST", "/v1/queues/q/tasks", "secret-a", body).status, 503);
}

TEST_F(TaskServiceTest, StoreDownIsRefusedAsNotRunAndLostAnswerAsUnknown) {
  EXPECT_EQ(Submit("0").status, 201);
  m_table.SetFaults({.down = true});
  const auto refused = Submit("1");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(ExecutionOf(refused), "not-run");
  m_table.SetFaults({.lose_answer = 1});
  // After a failure the owner refuses submissions as not run for a while.
  auto lost = Submit("2");
  while (ExecutionOf(lost) == "not-run") {
    lost = Submit("2");
  }
  EXPECT_EQ(lost.status, 502);
  EXPECT_EQ(ExecutionOf(lost), "unknown");
  m_table.SetFaults({});
  // The submission is confirmed once the outcome of the lost write is known.
  while (Submit("2").status != 201) {
  }
  EXPECT_FALSE(m_table.Get("task/p/q/1").value().has_value());
  EXPECT_TRUE(m_table.Get("task/p/q/2").value().has_value());
}

TEST_F(TaskServiceTest, WorkersKeepTheirLeasesWhileNoOwnerIsKnown) {
  m_owner.owns = false;
  const work::PollAnswer answer = Poll({});
  EXPECT_EQ(answer.shard_epoch, 0U);
  EXPECT_GT(answer.lease, base::Duration{});
  EXPECT_EQ(Submit("1").status, 503);
}

TEST_F(TaskServiceTest, CancelEndsAQueuedTaskAndOnlyOperatorsResolve) {
  Submit("1");
  const auto cancelled = Call("DELETE", "/v1/queues/q/tasks/1", "secret-a");
  EXPECT_EQ(nlohmann::json::parse(cancelled.body).at("outcome"), "cancelled");
  const std::string body = R"({"outcome": "failed"})";
  const std::string path = "/v1/queues/q/tasks/1/resolve";
  EXPECT_EQ(Call("POST", path, "secret-a", body).status, 403);
  EXPECT_EQ(Call("POST", path, "secret-op", body).status, 409);
  EXPECT_EQ(Call("GET", "/v1/queues/q/tasks/none", "secret-a").status, 404);
}

TEST_F(TaskServiceTest, StopAnswersAcceptedCallsAndRefusesLaterOnes) {
  EXPECT_EQ(Submit("1").status, 201);
  m_service->Stop();
  const auto refused = Submit("2");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(ExecutionOf(refused), "not-run");
}

}  // namespace
}  // namespace cassiastile::control
