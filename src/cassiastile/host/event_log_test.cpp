#include "cassiastile/host/event_log.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cassiastile::host {
namespace {

using testing::HasSubstr;
using testing::Not;

class EventLogTest : public testing::Test {
 protected:
  std::size_t Take(std::string_view bytes) {
    const std::size_t taken = std::min(bytes.size(), m_room);
    m_written += bytes.substr(0, taken);
    m_room -= taken;
    return taken;
  }

  base::ManualClock m_clock;
  HostMetrics m_metrics;
  std::string m_written;
  std::size_t m_room = 1U << 30U;
  EventLog m_log{m_clock, "host-1", m_metrics,
                 [this](std::string_view bytes) { return Take(bytes); }};
};

TEST_F(EventLogTest, WritesOneJsonObjectPerLine) {
  m_log.Write("job.accepted", {{"job", "a"}});
  m_log.Flush();
  const auto line = nlohmann::json::parse(m_written);
  EXPECT_EQ(line["event"], "job.accepted");
  EXPECT_EQ(line["host"], "host-1");
  EXPECT_EQ(line["job"], "a");
}

TEST_F(EventLogTest, LinesDroppedForABlockedReaderAreReportedInTheLog) {
  m_room = 0;
  constexpr int kLines = 20000;
  for (int i = 0; i < kLines; ++i) {
    m_log.Write("run.start", {{"number", i}});
    m_log.Flush();
  }
  EXPECT_GT(m_log.Dropped(), 0U);
  EXPECT_LT(m_log.Dropped(), static_cast<std::uint64_t>(kLines));
  m_room = 1U << 30U;
  m_log.Flush();
  m_log.Write("run.start", {{"number", kLines}});
  m_log.Flush();
  EXPECT_THAT(m_written, HasSubstr("\"event\":\"log.dropped\""));
  EXPECT_THAT(m_written, HasSubstr("\"number\":20000"));
}

TEST_F(EventLogTest, CountsEventsByOutcome) {
  m_log.Write("run.ended", {{"how", "done"}});
  m_log.Write("run.ended", {{"how", "failed"}});
  m_log.Write("run.ended", {{"how", "done"}});
  const std::string text = m_metrics.Expose();
  EXPECT_THAT(text, HasSubstr("cassia_events_total{event=\"run.ended\","
                              "outcome=\"done\"} 2"));
  EXPECT_THAT(text, HasSubstr("# HELP cassia_commit_seconds"));
}

TEST_F(EventLogTest, InvalidUtf8IsWrittenAsOneLine) {
  m_log.Write("config.bad", {{"error", "\xff\n"}});
  m_log.Flush();
  EXPECT_EQ(std::ranges::count(m_written, '\n'), 1);
  EXPECT_THAT(m_written, Not(HasSubstr("\xff")));
}

// Ids come from outside; a line must stay one JSON object whatever they hold.
TEST(QuoteJsonTest, AnyBytesMakeAString) {
  EXPECT_EQ(QuoteJson("i-b5cf.1"), R"("i-b5cf.1")");
  EXPECT_EQ(QuoteJson("a\"b\\c\n"), R"("a\"b\\c\n")");
  const auto read = nlohmann::json::parse(QuoteJson("\xff{"), nullptr, false);
  EXPECT_TRUE(read.is_string());
}

}  // namespace
}  // namespace cassiastile::host
