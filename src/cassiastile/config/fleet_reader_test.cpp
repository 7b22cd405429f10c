#include "cassiastile/config/fleet_reader.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cassiastile::config {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(CASSIASTILE_SOURCE_DIR) + "/examples/fleets/" +
                     name);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the example with the first occurrence of one text replaced by
// another.
std::string Changed(const std::string& from, const std::string& to) {
  std::string text = ReadExample("plechovy-hlas.jsonc");
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

base::Findings FindingsOf(const std::string& text) {
  const auto fleet = ReadFleet(text, "fleet.jsonc");
  return fleet ? base::Findings{} : fleet.error();
}

bool HasFinding(const base::Findings& findings,
                const std::string& path,
                const std::string& fragment) {
  return std::any_of(
      findings.begin(), findings.end(), [&](const base::Finding& finding) {
        return finding.path == path && finding.position.line > 1 &&
               finding.message.find(fragment) != std::string::npos;
      });
}

TEST(FleetReaderTest, BothExamplesHaveNoFindings) {
  for (const char* name : {"plechovy-hlas.jsonc", "siamlink.jsonc"}) {
    const auto fleet = ReadFleet(ReadExample(name), name);
    ASSERT_TRUE(fleet) << base::FormatFindings(fleet.error());
    EXPECT_EQ(fleet->pools.size(), 5U);
    EXPECT_EQ(fleet->services.size(), 5U);
    EXPECT_EQ(fleet->zones.size(), 3U);
    EXPECT_EQ(fleet->teams.size(), 6U);
    for (const Pool& pool : fleet->pools) {
      EXPECT_EQ(pool.hosts.size(), 10U);
    }
    for (const Team& team : fleet->teams) {
      const Key* key = FindKey(*fleet, team.name + "-secret-1");
      ASSERT_NE(key, nullptr);
      EXPECT_EQ(key->team, team.name);
    }
    EXPECT_EQ(FindKey(*fleet, "nobody-secret-1"), nullptr);
    for (const Operator& one : fleet->operators) {
      EXPECT_EQ(FindOperator(*fleet, one.name + "-secret-1"), &one);
    }
  }
}

// A single fault to put into the example, and the finding it must give.
struct Fault {
  std::string name;
  std::string from;
  std::string to;
  std::string path;
  std::string fragment;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << fault.name;
}

class FleetFaultTest : public testing::TestWithParam<Fault> {};

TEST_P(FleetFaultTest, IsFoundWithItsPath) {
  const Fault& fault = GetParam();
  const base::Findings findings = FindingsOf(Changed(fault.from, fault.to));
  EXPECT_TRUE(HasFinding(findings, fault.path, fault.fragment))
      << base::FormatFindings(findings);
}

const std::string kBudget = R"("max_out": 2, "survive_zone_loss": true)";

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    FleetFaultTest,
    testing::Values(
        Fault{"UnknownField", "\"max_out\"", "\"max_ouy\"", "pools[0].max_ouy",
              "did you mean \"max_out\""},
        Fault{"UnknownSection", "\"waves\": [", "\"wavs\": [", "wavs",
              "did you mean \"waves\""},
        Fault{"NotASection", "\"section\": \"waves\"", "\"section\": \"wave\"",
              "ownership[10].section", "did you mean \"waves\""},
        Fault{"WrongType", "\"max_out\": 2", "\"max_out\": \"two\"",
              "pools[0].max_out", "is text, but must be a whole number"},
        Fault{"NotWhole", "\"weight\": 4", "\"weight\": 4.5",
              "shares[0].weight", "is a number, but must be a whole number"},
        Fault{"OutOfRange", "\"cores\": 16", "\"cores\": 0",
              "pools[0].hosts[0].cores", "must be from 1 to 1024"},
        Fault{"BeyondSixtyFourBits", "\"weight\": 4",
              "\"weight\": 99999999999999999999", "shares[0].weight",
              "must be a whole number"},
        Fault{"BadWindow", "23:00-04:00", "23:00-24:00", "waves[0].window",
              "two times of day"},
        Fault{"BadOrder", "longest-free-first", "fastest", "waves[0].order",
              "as-listed"},
        Fault{"BadName", "\"name\": \"rosters\"", "\"name\": \"ro/sters\"",
              "pools[1].name", "must be a name"},
        Fault{"DuplicatePool", "\"name\": \"draw\"", "\"name\": \"rosters\"",
              "pools[2].name", "used already at pools[1].name"},
        Fault{"DuplicateField", kBudget, kBudget + ", \"max_out\": 1",
              "pools[0].max_out", "occurs twice in this object"},
        Fault{"HostInTwoPools", "rosters-01", "entries-01",
              "pools[1].hosts[0].name", "in pool \"entries\" already"},
        Fault{"HostTwice", "entries-02", "entries-01", "pools[0].hosts[1].name",
              "listed twice"},
        Fault{"UnknownZone", "\"zone\": \"praha-a\"", "\"zone\": \"praha-d\"",
              "pools[0].hosts[0].zone", "did you mean \"praha-"},
        Fault{"RackInTwoZones", "\"rack\": \"ph-b1\"", "\"rack\": \"ph-a1\"",
              "pools[0].hosts[4].rack", "stands in one zone"},
        Fault{"UnknownPool", "\"pool\": \"entries\"", "\"pool\": \"entris\"",
              "services[0].pool", "did you mean \"entries\""},
        Fault{"UnknownOwner", "\"owner\": \"key-desk\"", "\"owner\": \"desk\"",
              "ownership[7].owner", "no owner is named"},
        Fault{"OverlappingOwnership", "\"section\": \"waves\"",
              "\"section\": \"zones\"", "ownership[10].section",
              "owned by \"platform-office\" already"},
        Fault{"NoOwner", "\"section\": \"waves\"", "\"section\": \"zones\"",
              "ownership", "section \"waves\" has no owner"},
        Fault{"KeyForUnknownTeam", R"("team": "brno-region",
      "sha256")",
              R"("team": "brno",
      "sha256")",
              "keys[0].team", "no team is named \"brno\""},
        Fault{"MalformedDigest", "\"sha256\": \"", "\"sha256\": \"x",
              "keys[0].sha256", "64 lower-case hexadecimal"},
        Fault{"NoShare", "{ \"team\": \"brno-region\", \"weight\": 4 },", "",
              "teams[0].name", "has no share"},
        Fault{"NoLimit",
              R"({ "team": "brno-region", "requests": 220, "tasks": 160 },)",
              "", "teams[0].name", "has no limit"},
        Fault{"LimitBelowShare", "\"requests\": 220", "\"requests\": 132",
              "limits[0].requests", "below the 133 of 400 slots"},
        Fault{"NoTasks", "\"tasks\": 160", "\"tasks\": 0", "queues[0].team",
              "could never run any"},
        Fault{"BudgetTakesAll", "\"max_out\": 2", "\"max_out\": 10",
              "pools[0].max_out", "leaves none"},
        Fault{"BudgetNoWaveCanMeet", "\"max_out\": 2", "\"max_out\": 0",
              "waves[0].pools[0]", "no wave can take a host"},
        Fault{"WaveOverBudget", "\"parallel\": 2", "\"parallel\": 3",
              "waves[0].parallel", "may miss only 2"},
        Fault{"RackOverParallel", "\"per_rack\": 1", "\"per_rack\": 3",
              "waves[0].per_rack", "only 2 hosts at once"},
        Fault{"TooManyCanaries", "\"canaries\": 1", "\"canaries\": 11",
              "waves[0].canaries", "has only 10 hosts"},
        Fault{"ZoneLoss", "\"max_out\": 2", "\"max_out\": 6",
              "pools[0].survive_zone_loss", "leaves none"},
        Fault{"NoSpare", "\"spare\": true", "\"spare\": false", "pools",
              "no pool is the spare"},
        Fault{"ServiceOnSpare", "\"pool\": \"entries\"", "\"pool\": \"spare\"",
              "services[0].pool", "spare pool"},
        Fault{"TooFewConnections", "\"connections_per_runner\": 64",
              "\"connections_per_runner\": 7",
              "services[0].connections_per_runner", "8 slots"}),
    [](const auto& test) { return test.param.name; });

TEST(FleetReaderTest, ReportsAllFindingsAtOnce) {
  std::string text = Changed("\"max_out\": 2", "\"max_out\": \"two\"");
  text.replace(text.find("rosters-01"), 10, "entries-01");
  text.replace(text.find("\"weight\""), 8, "\"wieght\"");
  const base::Findings findings = FindingsOf(text);
  EXPECT_TRUE(HasFinding(findings, "pools[0].max_out", "is text"));
  EXPECT_TRUE(HasFinding(findings, "pools[1].hosts[0].name", "already"));
  EXPECT_TRUE(HasFinding(findings, "shares[0].wieght", "\"weight\""));
  EXPECT_TRUE(HasFinding(findings, "shares[0].weight", "missing"));
}

TEST(FleetReaderTest, OneFaultIsNotReportedAsSeveral) {
  EXPECT_EQ(FindingsOf(Changed("\"max_out\": 2,", "")).size(), 1U);
  EXPECT_EQ(FindingsOf(Changed("\"weight\": 4", "\"weight\": -4")).size(), 1U);
  // A misspelled section gives two findings: the name is unknown and the
  // section is missing.
  for (const char* section :
       {"zones", "teams", "shares", "limits", "pools", "operators"}) {
    const std::string name = "\"" + std::string(section);
    EXPECT_EQ(FindingsOf(Changed(name + "\": [", name + "x\": [")).size(), 2U)
        << section;
  }
}

TEST(FleetReaderTest, SameKeyTwiceIsFound) {
  std::string text = ReadExample("plechovy-hlas.jsonc");
  const std::string field = "\"sha256\": \"";
  const std::size_t first = text.find(field) + field.size();
  const std::size_t second = text.find(field, first) + field.size();
  text.replace(second, 64, text.substr(first, 64));
  EXPECT_TRUE(HasFinding(FindingsOf(text), "keys[1].sha256",
                         "the same key as at keys[0].sha256"));
}

TEST(FleetReaderTest, ReportsTheLineAndColumn) {
  const auto fleet = ReadFleet("{\n  \"fleet\": /* ž */ 7\n}", "f.jsonc");
  ASSERT_FALSE(fleet);
  EXPECT_EQ(base::FormatFinding(fleet.error().front()),
            "f.jsonc:2:20: error: fleet: is a whole number, but must be text");
}

TEST(FleetReaderTest, AnyPrefixOfADocumentGivesFindings) {
  const std::string text = ReadExample("plechovy-hlas.jsonc");
  for (std::size_t length = 0; length + 2 < text.size(); length += 97) {
    EXPECT_FALSE(FindingsOf(text.substr(0, length)).empty()) << length;
  }
}

TEST(FleetReaderTest, BoundsTheNumberOfFindings) {
  std::string text = "{";
  for (int i = 0; i < 100000; ++i) {
    text += "\"f" + std::to_string(i) + "\":1,";
  }
  text += "\"fleet\":\"x\"}";
  const base::Findings findings = FindingsOf(text);
  // About kMaxFindings; a last one says that the rest are omitted.
  EXPECT_GT(findings.size(), 900U);
  EXPECT_LT(findings.size(), 1100U);
}

RC_GTEST_PROP(FleetReaderPropertyTest,
              DamagedExampleGivesAValueOrFindings,
              ()) {
  static const std::string example = ReadExample("siamlink.jsonc");
  std::string text = example;
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto length = *rc::gen::inRange<std::size_t>(0, 64);
  text.replace(at, length, *rc::gen::arbitrary<std::string>());
  const auto fleet = ReadFleet(text, "f");
  RC_ASSERT(fleet.has_value() || !fleet.error().empty());
}

}  // namespace
}  // namespace cassiastile::config
