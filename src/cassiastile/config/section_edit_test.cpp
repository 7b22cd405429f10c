#include "cassiastile/config/section_edit.hpp"

#include <fstream>
#include <iterator>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cassiastile/config/diff.hpp"
#include "cassiastile/config/fleet_reader.hpp"

namespace cassiastile::config {
namespace {

std::string ReadExample() {
  std::ifstream file(std::string(CASSIASTILE_SOURCE_DIR) +
                     "/examples/fleets/plechovy-hlas.jsonc");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(SectionEditTest, ReadsASectionWithItsComments) {
  const auto text = SectionText(ReadExample(), SectionName::kWaves);
  ASSERT_TRUE(text);
  EXPECT_TRUE(text->starts_with("[\n"));
  EXPECT_TRUE(text->ends_with("]"));
  EXPECT_NE(text->find("// For an urgent fix"), std::string::npos);
}

TEST(SectionEditTest, RejectsTextThatIsNotOneList) {
  for (const char* text :
       {"", "{}", "[", "[] // ]", "/* a */ []", "[], []", "[] /* ]"}) {
    EXPECT_FALSE(ReplaceSection(ReadExample(), SectionName::kWaves, text))
        << text;
  }
  EXPECT_FALSE(ReplaceSection("{}", SectionName::kWaves, "[]"));
}

RC_GTEST_PROP(SectionEditPropertyTest, KeepsTheRestByteForByte, ()) {
  static const std::string example = ReadExample();
  const auto section = static_cast<SectionName>(
      *rc::gen::inRange(0, static_cast<int>(SectionName::kWaves) + 1));
  const auto comment = *rc::gen::container<std::string>(
      rc::gen::element('a', ' ', '"', '[', ']', '{', ',', '\n', '*'));
  const std::string text = "[ /* " + comment + " */ ]";
  const auto edited = ReplaceSection(example, section, text);
  RC_PRE(comment.find("*/") == std::string::npos);
  RC_ASSERT(edited.has_value());
  const std::string old_text = *SectionText(example, section);
  const std::size_t begin = example.find(old_text);
  RC_ASSERT(edited->substr(0, begin) == example.substr(0, begin));
  RC_ASSERT(edited->substr(begin + text.size()) ==
            example.substr(begin + old_text.size()));
  RC_ASSERT(*SectionText(*edited, section) == text);
  RC_ASSERT(*ReplaceSection(*edited, section, old_text) == example);
}

TEST(SectionEditTest, OnlyTheOwnerMayEditASection) {
  const std::string before = ReadExample();
  const Fleet fleet = *ReadFleet(before, "f");
  const std::string after = Replaced(before, "\"weight\": 4", "\"weight\": 5");
  EXPECT_TRUE(
      CheckEditPermission(before, after, fleet, "contest-office", "f").empty());
  const auto refused =
      CheckEditPermission(before, after, fleet, "key-desk", "f");
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].path, "shares");
  EXPECT_NE(refused[0].message.find("owned by \"contest-office\""),
            std::string::npos);
}

// Guards against checking an edit by the ownership that the edit itself sets:
// contest-office owns neither "ownership" nor "keys" before it, so both are
// refused.
TEST(SectionEditTest, EditorCannotMakeItselfOwnerOfASection) {
  const std::string before = ReadExample();
  const Fleet fleet = *ReadFleet(before, "f");
  const std::string after =
      Replaced(Replaced(before, R"("keys", "owner": "key-desk")",
                        R"("keys", "owner": "contest-office")"),
               "\"brno-region-key-1\"", "\"brno-region-key-2\"");
  EXPECT_EQ(
      CheckEditPermission(before, after, fleet, "contest-office", "f").size(),
      2U);
}

TEST(SectionEditTest, TextOutsideSectionsBelongsToTheOwnerOfOwnership) {
  const std::string before = ReadExample();
  const Fleet fleet = *ReadFleet(before, "f");
  const std::string after = Replaced(before, "// Nights only", "// Days only");
  EXPECT_TRUE(
      CheckEditPermission(before, after, fleet, "audit-board", "f").empty());
  EXPECT_EQ(
      CheckEditPermission(before, after, fleet, "platform-office", "f").size(),
      1U);
}

TEST(DiffTest, ShowsLinesInTheUnifiedFormat) {
  EXPECT_EQ(UnifiedDiff("a\nb\n", "a\nb\n", "x", "y"), "");
  EXPECT_EQ(UnifiedDiff("a\nb\nc\n", "a\nB\nc\n", "x", "y"),
            "--- x\n+++ y\n@@ -1,3 +1,3 @@\n a\n-b\n+B\n c\n");
  EXPECT_EQ(UnifiedDiff("", "a", "x", "y"),
            "--- x\n+++ y\n@@ -0,0 +1,1 @@\n+a\n\\ No newline at end of "
            "file\n");
}

// Applies a unified diff. All texts must end in a line feed.
std::string Apply(const std::string& before, const std::string& diff) {
  std::istringstream old_lines(before);
  std::istringstream steps(diff);
  std::string line;
  std::string after;
  std::size_t at = 0;
  std::getline(steps, line);
  std::getline(steps, line);
  while (std::getline(steps, line)) {
    if (line.starts_with("@@")) {
      std::size_t start = std::stoul(line.substr(4));
      start -= line.find(",0 +") == std::string::npos ? 1 : 0;
      for (std::string kept; at < start; ++at) {
        std::getline(old_lines, kept);
        after += kept + "\n";
      }
      continue;
    }
    if (line[0] != '+') {
      std::string taken;
      std::getline(old_lines, taken);
      ++at;
    }
    after += line[0] == '-' ? "" : line.substr(1) + "\n";
  }
  for (std::string kept; std::getline(old_lines, kept);) {
    after += kept + "\n";
  }
  return after;
}

RC_GTEST_PROP(DiffPropertyTest, AppliedToTheOldTextGivesTheNew, ()) {
  const auto lines =
      rc::gen::container<std::string>(rc::gen::element('a', 'b', 'c', 'd'));
  const auto join = [](const std::string& letters) {
    std::string text;
    for (const char letter : letters) {
      text += std::string(1, letter) + "\n";
    }
    return text;
  };
  const std::string before = join(*lines);
  const std::string after = join(*lines);
  RC_ASSERT(Apply(before, UnifiedDiff(before, after, "x", "y")) == after);
}

TEST(DiffTest, DescribesTheEffectsOfAnEdit) {
  const std::string before = ReadExample();
  std::string after = Replaced(before, "entries-01", "entries-11");
  after = Replaced(after, "brno-region-key-1", "brno-region-key-2");
  after = Replaced(after, "\"requests\": 220, \"tasks\": 160",
                   "\"requests\": 140, \"tasks\": 160");
  const Fleet old_fleet = *ReadFleet(before, "f");
  const Fleet new_fleet = *ReadFleet(after, "f");
  const std::vector<TeamUsage> usage{{"brno-region", 150, 3},
                                     {"praha-region", 150, 3}};
  const FleetChange change = CompareFleets(old_fleet, new_fleet, usage);
  EXPECT_EQ(DescribeChange(change),
            "host entries-01 leaves pool entries and the fleet\n"
            "host entries-11 is new in pool entries\n"
            "key brno-region-key-1 stops working\n"
            "key brno-region-key-2 starts to work\n"
            "limit of team brno-region: requests 220 -> 140, tasks 160 -> 160\n"
            "team brno-region has more running than its new limit\n");
}

}  // namespace
}  // namespace cassiastile::config
