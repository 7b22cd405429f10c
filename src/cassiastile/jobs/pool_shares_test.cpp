#include "cassiastile/jobs/pool_shares.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "scheduler_bench.hpp"

namespace cassiastile::jobs {
namespace {

using std::chrono::milliseconds;

constexpr Resources kPool{100000, 1000000, 0};

CustomerDemand Demand(double weight, std::int64_t running, std::int64_t cpu) {
  return {weight, {running, 0, 0}, {cpu, 0, 0}};
}

TEST(PoolSharesTest, DividesWhatOthersLeaveByWeight) {
  const PoolShares shares(kPool, {{"small", Demand(1, 0, 10000)},
                                  {"medium", Demand(1, 0, 90000)},
                                  {"large", Demand(2, 0, 90000)}});
  EXPECT_TRUE(shares.IsContended());
  EXPECT_NEAR(shares.PartOf("medium", 1), 0.3, 1e-9);
  EXPECT_NEAR(shares.PartOf("large", 2), 0.6, 1e-9);
  // It could have as much as the other of its weight if it needed it.
  EXPECT_NEAR(shares.PartOf("small", 1), 0.25, 1e-9);
}

TEST(PoolSharesTest, CustomerIsBeyondItsShareOnceItHasTakenIt) {
  PoolShares shares(
      kPool, {{"a", Demand(1, 40000, 60000)}, {"b", Demand(1, 60000, 60000)}});
  EXPECT_TRUE(shares.IsWithinShare("a"));
  EXPECT_FALSE(shares.IsWithinShare("b"));
  shares.Take("a", {10000, 0, 0});
  EXPECT_FALSE(shares.IsWithinShare("a"));
}

TEST(PoolSharesTest, TheScarcerResourceIsDivided) {
  PoolShares shares(kPool, {{"a", {1, {1000, 600000, 0}, {}}},
                            {"b", {1, {60000, 100000, 0}, {0, 600000, 0}}}});
  EXPECT_FALSE(shares.IsWithinShare("a"));
  EXPECT_TRUE(shares.IsWithinShare("b"));
}

// Guards against a pool that stays unused because one customer has its share.
TEST(PoolSharesTest, WithRoomForAllNobodyIsBeyondItsShare) {
  const PoolShares shares(
      kPool, {{"a", Demand(1, 80000, 10000)}, {"b", Demand(1, 0, 5000)}});
  EXPECT_FALSE(shares.IsContended());
  EXPECT_TRUE(shares.IsWithinShare("a"));
}

TEST(PoolSharesTest, CustomerWithoutWeightGetsSomething) {
  const PoolShares shares(
      kPool, {{"a", Demand(0, 0, 90000)}, {"b", Demand(1, 90000, 90000)}});
  EXPECT_TRUE(shares.IsWithinShare("a"));
  EXPECT_GT(shares.PartOf("a", 0), 0);
}

// Ten customers of equal weight on 48 cores. Each submits a job of 2
// core-seconds every 500 ms, which is 40 cores in all, and one of them up to
// eight times as much for 6 s.
class ShareByWeightTest : public testing::Test {
 protected:
  // The jobs done within their objective, by customer.
  using Served = std::map<std::string, int>;

  static constexpr milliseconds kTick{50};
  static constexpr milliseconds kTaskTime{500};
  static constexpr milliseconds kObjective{2 * kTaskTime + milliseconds(600)};
  static constexpr int kCustomers = 10;

  static std::string NameOf(int customer) {
    return "customer" + std::to_string(customer);
  }

  static Served Play(int surge, bool share_by_weight, bool replace_leader) {
    SchedulerBench bench(2, {.share_by_weight = share_by_weight});
    std::vector<std::string> names;
    names.reserve(kCustomers);
    for (int i = 0; i < kCustomers; ++i) {
      names.push_back(NameOf(i));
    }
    bench.SetCustomers(names);
    const std::vector<std::string> workers{"a", "b", "c"};
    for (const std::string& worker : workers) {
      bench.AddWorker(worker);
    }
    Served served;
    std::map<std::string, base::TimePoint> submitted;
    std::map<std::string, std::string> customer_of;
    std::vector<std::pair<base::TimePoint, StartOrder>> running;
    std::map<std::string, std::uint64_t> sequences;
    JobSpec spec = SchedulerBench::OneTask(4000);
    spec.steps.front().estimate = kTaskTime;
    int number = 0;
    const auto submit = [&](int customer) {
      const std::string id = std::to_string(1000000 + ++number);
      customer_of[id] = NameOf(customer);
      submitted[id] = bench.Now();
      bench.Submit(id, spec, NameOf(customer));
    };
    for (int tick = 0; tick < 160; ++tick) {
      const bool surging = tick >= 20 && tick < 140;
      // The customer with the surge comes first.
      for (int each = 0; surging && tick % 10 == 0 && each < surge - 1;
           ++each) {
        submit(0);
      }
      submit(tick % kCustomers);
      if (replace_leader && tick == 80) {
        bench = bench.Successor(milliseconds(3000));
        for (const std::string& worker : workers) {
          bench.Report(worker, bench.Listing(worker));
        }
      }
      for (StartOrder& start : bench.StepAndStart()) {
        running.emplace_back(bench.Now() + kTaskTime, std::move(start));
      }
      bench.Advance(kTick);
      std::erase_if(running, [&](const auto& each) {
        const auto& [ends_at, start] = each;
        if (ends_at > bench.Now()) {
          return false;
        }
        const std::string& job = start.task.job;
        if (bench.Now() - submitted.at(job) <= kObjective) {
          ++served[customer_of.at(job)];
        }
        bench.End(start, RunEnd::kDone, ++sequences[start.worker.id]);
        return true;
      });
      for (const std::string& worker : workers) {
        bench.Report(worker, bench.Listing(worker));
      }
    }
    return served;
  }

  static void ExpectOthersUnharmed(const Served& calm, const Served& surged) {
    for (int i = 1; i < kCustomers; ++i) {
      const std::string name = NameOf(i);
      ASSERT_TRUE(calm.contains(name));
      const int served = surged.contains(name) ? surged.at(name) : 0;
      EXPECT_GE(served, 0.9 * calm.at(name)) << name;
    }
  }
};

// Guards against a customer whose surge has the jobs of all others refused or
// late. The others get at least 0.9 of what they get without it.
TEST_F(ShareByWeightTest, SurgeOfOneCustomerHarmsNoOther) {
  const Served calm = Play(1, true, false);
  for (const int surge : {4, 6, 8}) {
    SCOPED_TRACE(surge);
    const Served surged = Play(surge, true, false);
    ExpectOthersUnharmed(calm, surged);
    // Nor is the customer locked out: it has at least what it has without it.
    EXPECT_GE(surged.at(NameOf(0)), calm.at(NameOf(0)));
  }
}

// Guards against shares that a new leader does not know.
TEST_F(ShareByWeightTest, HoldAcrossAReplacedLeader) {
  ExpectOthersUnharmed(Play(1, true, true), Play(8, true, true));
}

// The load above does need shares.
TEST_F(ShareByWeightTest, WithoutThemTheSurgeHarmsOthers) {
  const Served calm = Play(1, false, false);
  const Served surged = Play(8, false, false);
  const int harmed = static_cast<int>(
      std::ranges::count_if(calm, [&surged](const auto& customer) {
        const auto& [name, served] = customer;
        const int now = surged.contains(name) ? surged.at(name) : 0;
        return now < 0.9 * served;
      }));
  EXPECT_GT(harmed, 0);
}

// Guards against idle capacity that only the customer with the surge wants.
TEST_F(ShareByWeightTest, UnusedShareGoesToOthers) {
  SchedulerBench bench(2, {.share_by_weight = true});
  bench.SetCustomers({NameOf(0), NameOf(1)});
  bench.AddWorker("a");
  for (int i = 0; i < 4; ++i) {
    bench.Submit(std::to_string(i), SchedulerBench::OneTask(4000), NameOf(0));
  }
  EXPECT_THAT(bench.StepAndStart(), testing::SizeIs(4));
}

}  // namespace
}  // namespace cassiastile::jobs
