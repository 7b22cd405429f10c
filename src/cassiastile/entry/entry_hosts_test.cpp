#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "entry_bench.hpp"

namespace cassiastile::entry {
namespace {

using PendingAnswers = std::vector<std::future<wire::HttpOutcome>>;

class EntryHostsTest : public testing::Test {
 protected:
  static wire::HttpCall MakeCall(const TestHost& host,
                                 const std::string& body,
                                 const std::string& key = "") {
    wire::HttpCall call;
    call.method = "POST";
    call.url = host.Url("/v1/services/draw/order");
    call.body = body;
    call.headers = {{"Authorization", "Bearer secret"}};
    if (!key.empty()) {
      call.headers.emplace_back("Idempotency-Key", key);
    }
    return call;
  }

  static std::string ExecutionIn(const wire::HttpResponse& response) {
    return nlohmann::json::parse(response.body).value("execution", "");
  }

  std::future<wire::HttpOutcome> StartCall(wire::HttpCall call) {
    auto promise = std::make_shared<std::promise<wire::HttpOutcome>>();
    auto future = promise->get_future();
    m_client->Start(std::move(call), [promise](wire::HttpOutcome outcome) {
      promise->set_value(std::move(outcome));
    });
    return future;
  }

  // Repeats the call until it isn't answered with 409, which means that the
  // outcome of its claim is not in the table yet.
  wire::HttpResponse CallUntilOutcomeIsStored(const wire::HttpCall& call) {
    constexpr int kConflict = 409;
    while (true) {
      auto response = m_client->Call(call).value();
      if (response.status != kConflict) {
        return response;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  TestPlatform m_platform;
  std::unique_ptr<standin::Backend> m_runner = StartRunner(m_platform, "r1");
  TestHost m_first{m_platform, "e1"};
  TestHost m_second{m_platform, "e2"};
  std::unique_ptr<wire::HttpClient> m_client = wire::HttpClient::Create();
};

TEST_F(EntryHostsTest, RetryAtAnotherHostGetsTheSameAnswer) {
  EXPECT_EQ(m_client->Call(MakeCall(m_first, "entry", "k-1"))->status, 200);
  const auto again =
      CallUntilOutcomeIsStored(MakeCall(m_second, "entry", "k-1"));
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(again.body, "entry");
  EXPECT_EQ(m_runner->Log().size(), 1U);
}

TEST_F(EntryHostsTest, SameKeyAtBothHostsAtOnceRunsOnce) {
  m_runner->SetServiceTime(std::chrono::milliseconds(50));
  PendingAnswers answers;
  for (int i = 0; i < 10; ++i) {
    answers.push_back(
        StartCall(MakeCall(i % 2 == 0 ? m_first : m_second, "entry", "k-2")));
  }
  for (auto& answer : answers) {
    EXPECT_TRUE(answer.get().has_value());
  }
  EXPECT_EQ(m_runner->Log().size(), 1U);
}

TEST_F(EntryHostsTest, KeyWithAnotherBodyIsRefused) {
  EXPECT_EQ(m_client->Call(MakeCall(m_first, "entry", "k-3"))->status, 200);
  const auto other = m_client->Call(MakeCall(m_second, "other", "k-3")).value();
  EXPECT_EQ(other.status, 422);
  EXPECT_EQ(ExecutionIn(other), "not-run");
  EXPECT_EQ(m_runner->Log().size(), 1U);
}

TEST_F(EntryHostsTest, RequestWhoseKeyCannotBeClaimedIsNotRun) {
  EXPECT_EQ(m_client->Call(MakeCall(m_first, "warm"))->status, 200);
  m_platform.table.SetFaults({.down = true});
  const auto refused =
      m_client->Call(MakeCall(m_first, "entry", "k-4")).value();
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(ExecutionIn(refused), "not-run");
  m_platform.table.SetFaults({.lose_answer = 1});
  const auto lost = m_client->Call(MakeCall(m_first, "entry", "k-5")).value();
  EXPECT_EQ(ExecutionIn(lost), "not-run");
  m_platform.table.SetFaults({});
  EXPECT_EQ(m_runner->Log().size(), 1U);
}

// The runner closes the connection without an answer, so the request may have
// run. A retry must not run it again.
TEST_F(EntryHostsTest, RequestWhoseRunnerDiedStaysUnknownForItsKey) {
  m_runner->SetFault(standin::BackendFault::kDie, 1);
  const auto lost = m_client->Call(MakeCall(m_first, "entry", "k-6")).value();
  EXPECT_EQ(ExecutionIn(lost), "unknown");
  const auto again =
      CallUntilOutcomeIsStored(MakeCall(m_second, "entry", "k-6"));
  EXPECT_EQ(ExecutionIn(again), "unknown");
  EXPECT_EQ(m_runner->Log().size(), 1U);
}

// The limit is in force before the hosts start, because a limit that is edited
// while they run takes effect only some time after the edit.
TEST_F(EntryHostsTest, TwoHostsNeverExceedATeamsLimit) {
  constexpr std::uint32_t kLimit = 3;
  TestPlatform limited;
  limited.fleet.Edit([](config::Fleet& fleet) {
    fleet.limits = {{"brass", kLimit, 10}};
  });
  const auto runner = StartRunner(limited, "r1");
  runner->SetServiceTime(std::chrono::milliseconds(20));
  const TestHost first(limited, "e1");
  const TestHost second(limited, "e2");
  PendingAnswers answers;
  for (int i = 0; i < 60; ++i) {
    answers.push_back(
        StartCall(MakeCall(i % 2 == 0 ? first : second, "entry")));
  }
  std::size_t answered = 0;
  for (auto& answer : answers) {
    const wire::HttpOutcome outcome = answer.get();
    ASSERT_TRUE(outcome.has_value());
    answered += outcome->status == 200 ? 1 : 0;
  }
  EXPECT_LE(runner->Counts().peak_running, kLimit);
  EXPECT_EQ(runner->Log().size(), answered);
  EXPECT_GT(answered, 0U);
}

TEST_F(EntryHostsTest, TwoHostsNeverExceedARunnersSlots) {
  m_runner->SetServiceTime(std::chrono::milliseconds(20));
  PendingAnswers answers;
  for (int i = 0; i < 100; ++i) {
    answers.push_back(
        StartCall(MakeCall(i % 2 == 0 ? m_first : m_second, "entry")));
  }
  for (auto& answer : answers) {
    EXPECT_TRUE(answer.get().has_value());
  }
  EXPECT_EQ(m_runner->Counts().starts_over_slots, 0U);
  // The default of config::Service::connections_per_runner.
  EXPECT_LE(m_runner->Counts().peak_connections, 64U);
}

TEST_F(EntryHostsTest, StoppingHostFinishesAcceptedRequests) {
  m_runner->SetServiceTime(std::chrono::milliseconds(30));
  PendingAnswers answers;
  for (int i = 0; i < 20; ++i) {
    answers.push_back(StartCall(MakeCall(m_first, "entry")));
  }
  // Shorter than the service time: the first requests still run in Stop.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(m_first.Stop(), 0U);
  for (auto& answer : answers) {
    const auto outcome = answer.get();
    ASSERT_TRUE(outcome.has_value()) << outcome.error().message;
    EXPECT_EQ(outcome->status, 200);
  }
}

TEST_F(EntryHostsTest, StoppedHostReleasesItsSlots) {
  EXPECT_EQ(m_client->Call(MakeCall(m_first, "entry"))->status, 200);
  m_first.Stop();
  const auto row = m_platform.table.Get("ledger/slots/draw").value();
  const auto ledgers = work::ParseLedgerRow(row->value).value();
  // HOST#INCARNATION of the stopped host.
  EXPECT_FALSE(ledgers.at("r1").holdings.contains("e1#1"));
}

}  // namespace
}  // namespace cassiastile::entry
