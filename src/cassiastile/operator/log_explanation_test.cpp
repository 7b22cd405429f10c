#include "cassiastile/operator/log_explanation.hpp"

#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::operators {
namespace {

using testing::Contains;
using testing::HasSubstr;
using testing::SizeIs;

constexpr char kJob[] = "5c0e7a21d94b36f8";

class LogExplanationTest : public testing::Test {
 protected:
  // Adds a host's log line `at_ms` milliseconds after the start.
  void Add(int at_ms, const std::string& host, nlohmann::json fields) {
    fields["at"] = "2026-12-04T01:00:0" + std::to_string(at_ms / 1000) + "." +
                   std::to_string(1000 + at_ms % 1000).substr(1) + "Z";
    fields["host"] = host;
    m_text += fields.dump() + "\n";
  }

  Explanation Explain(const std::string& id = kJob) {
    std::istringstream in(m_text);
    m_lines.Read(in, "log");
    m_lines.Sort();
    return ExplainId(m_lines, id);
  }

  std::string m_text;
  LogLines m_lines;
};

TEST_F(LogExplanationTest, RefusalNamesWaitAndPoolSize) {
  Add(900, "h1",
      {{"event", "pool.load"},
       {"service", "s"},
       {"workers", 24},
       {"backlog_core_ms", 5263000},
       {"arriving_cores", 4651}});
  Add(1000, "h1",
      {{"event", "job.refused"},
       {"job", kJob},
       {"service", "s"},
       {"reason", "overload"},
       {"wait_ms", 2800},
       {"slack_ms", 1400},
       {"age_ms", 0},
       {"beyond_share", false},
       {"retry_after_ms", 1200}});
  const Explanation explanation = Explain();
  EXPECT_EQ(explanation.cause, OutcomeCause::kRefusedOverload);
  EXPECT_THAT(explanation.reasons, Contains(HasSubstr("2800 ms")));
  EXPECT_THAT(explanation.reasons, Contains(HasSubstr("24 workers")));
}

TEST_F(LogExplanationTest, RefusalNamesTheCustomerBeyondItsShare) {
  Add(1000, "h1",
      {{"event", "job.refused"},
       {"job", kJob},
       {"reason", "overload"},
       {"customer", "c"},
       {"beyond_share", true}});
  const Explanation explanation = Explain();
  EXPECT_EQ(explanation.cause, OutcomeCause::kRefusedOverShare);
  EXPECT_THAT(explanation.reasons, Contains(HasSubstr("customer c")));
}

TEST_F(LogExplanationTest, BusyLeaderIsNotTakenForAFullPool) {
  Add(1000, "h1",
      {{"event", "job.refused"},
       {"job", kJob},
       {"reason", "leader busy"},
       {"commit_wait_ms", 410}});
  const Explanation explanation = Explain();
  EXPECT_EQ(explanation.cause, OutcomeCause::kRefusedOverload);
  EXPECT_THAT(explanation.reasons, Contains(HasSubstr("waited 410 ms")));
}

// Guards against "no final answer" for a job that was refused while it waited
// for the store.
TEST_F(LogExplanationTest, WithdrawnJobWasRefusedForTheStore) {
  Add(1000, "h1",
      {{"event", "job.withdrawn"},
       {"job", kJob},
       {"commits_fail_for_ms", 1020}});
  const Explanation explanation = Explain();
  EXPECT_EQ(explanation.cause, OutcomeCause::kRefusedStore);
  EXPECT_THAT(explanation.reasons, Contains(HasSubstr("1020 ms")));
}

TEST_F(LogExplanationTest, UnansweredDuringALeaderChange) {
  Add(1000, "h2",
      {{"event", "request.undecided"},
       {"job", kJob},
       {"waited_ms", 1500},
       {"holder", "h1"},
       {"fence", 3},
       {"heard_ms_ago", 1600}});
  Add(1400, "h3", {{"event", "office.take"}, {"why", "term over"}});
  const Explanation explanation = Explain();
  EXPECT_EQ(explanation.cause, OutcomeCause::kUnanswered);
  EXPECT_THAT(explanation.reasons, Contains(HasSubstr("h1 in office")));
  EXPECT_THAT(explanation.lines, SizeIs(2));
}

TEST_F(LogExplanationTest, LateBecauseOfAFailedRun) {
  Add(0, "h1", {{"event", "job.accepted"}, {"job", kJob}});
  Add(50, "h1",
      {{"event", "run.start"},
       {"run", 1},
       {"job", kJob},
       {"task", {0, 0, 0}},
       {"worker", "w1"},
       {"result", "running"}});
  Add(2000, "h1",
      {{"event", "run.ended"},
       {"job", kJob},
       {"task", {0, 0, 0}},
       {"worker", "w1"},
       {"how", "failed"}});
  Add(2050, "h1",
      {{"event", "run.start"},
       {"run", 2},
       {"job", kJob},
       {"task", {0, 0, 0}},
       {"worker", "w2"},
       {"result", "running"}});
  Add(2900, "h1",
      {{"event", "job.finished"},
       {"job", kJob},
       {"phase", "done"},
       {"late", true},
       {"age_ms", 2900},
       {"allowed_ms", 1500}});
  const Explanation explanation = Explain();
  EXPECT_EQ(explanation.cause, OutcomeCause::kLateFailedRuns);
  EXPECT_THAT(explanation.reasons, Contains(HasSubstr("failed on worker w1")));
}

TEST_F(LogExplanationTest, LateBecauseOfMissingCapacity) {
  Add(0, "h1", {{"event", "job.accepted"}, {"job", kJob}});
  Add(2500, "h1",
      {{"event", "run.start"},
       {"run", 1},
       {"job", kJob},
       {"task", {0, 0, 0}},
       {"worker", "w1"},
       {"result", "running"}});
  Add(3000, "h1",
      {{"event", "job.finished"},
       {"job", kJob},
       {"phase", "done"},
       {"late", true},
       {"age_ms", 3000},
       {"allowed_ms", 1500}});
  EXPECT_EQ(Explain().cause, OutcomeCause::kLateNoCapacity);
}

TEST_F(LogExplanationTest, SortsLinesByTime) {
  Add(2000, "h1",
      {{"event", "job.finished"}, {"job", kJob}, {"phase", "done"}});
  Add(1000, "h2", {{"event", "job.accepted"}, {"job", kJob}});
  const Explanation explanation = Explain();
  ASSERT_THAT(explanation.lines, SizeIs(2));
  EXPECT_EQ(explanation.lines.front()["host"], "h2");
  EXPECT_EQ(explanation.cause, OutcomeCause::kInTime);
}

TEST_F(LogExplanationTest, CountsForeignAndTruncatedLinesAsSkipped) {
  m_text += "a line of another program\n{\"event\":\"job.acc\n{\"x\":1}\n";
  m_text += "12.5 host-1 ";  // A prefix added by a log collector.
  Add(1000, "h2", {{"event", "job.accepted"}, {"job", kJob}});
  EXPECT_EQ(Explain().cause, OutcomeCause::kUnfinished);
  EXPECT_EQ(m_lines.LinesRead(), 4U);
  EXPECT_EQ(m_lines.LinesSkipped(), 3U);
}

TEST_F(LogExplanationTest, FindsTheLinesOfAWorkerById) {
  Add(1000, "h1", {{"event", "worker.silent"}, {"worker", "w1"}});
  const Explanation explanation = Explain("w1");
  EXPECT_EQ(explanation.cause, OutcomeCause::kUnknownId);
  EXPECT_THAT(explanation.lines, SizeIs(1));
}

}  // namespace
}  // namespace cassiastile::operators
