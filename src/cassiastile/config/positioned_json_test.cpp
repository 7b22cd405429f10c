#include "cassiastile/config/positioned_json.hpp"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

namespace cassiastile::config {
namespace {

// Formats the single finding that a text must give.
std::string FindingOf(const std::string& text) {
  const auto document = ParsePositionedJson(text, "f");
  if (document || document.error().size() != 1) {
    return "no single finding";
  }
  return base::FormatFinding(document.error().front());
}

TEST(PositionedJsonTest, TracksPositionsAcrossComments) {
  const std::string text =
      "// head\n{ \"a\": [1,/*,:*/ -2.5e3/* x */, \"\\\"]\"],\n"
      "  /* ž */ \"b\": {\"c\": true}, \"d\": null }";
  const auto document = ParsePositionedJson(text, "f");
  ASSERT_TRUE(document);
  const auto position_of = [&](std::string_view path) {
    const base::TextPosition position = FindTextPosition(*document, path);
    return std::to_string(position.line) + ":" +
           std::to_string(position.column);
  };
  EXPECT_EQ(position_of("a"), "2:8");
  EXPECT_EQ(position_of("a[0]"), "2:9");
  EXPECT_EQ(position_of("a[1]"), "2:18");
  EXPECT_EQ(position_of("a[2]"), "2:33");
  EXPECT_EQ(position_of("b.c"), "3:22");
  EXPECT_EQ(position_of("d"), "3:34");
  EXPECT_EQ(position_of("b.nothing"), "3:16");
  const PositionedValue& list = FindMember(document->root, "a")->value;
  EXPECT_EQ(text.substr(list.begin, list.end - list.begin),
            "[1,/*,:*/ -2.5e3/* x */, \"\\\"]\"]");
}

TEST(PositionedJsonTest, RejectsInvalidText) {
  EXPECT_NE(FindingOf("").find("f:1:1: error: "), std::string::npos);
  EXPECT_NE(FindingOf("{\n \"a\": [1, 2").find("f:2:"), std::string::npos);
  EXPECT_NE(FindingOf("{\n \"a\": \xC3\x28 }")
                .find("f:2:7: error: the text is "
                      "not valid UTF-8"),
            std::string::npos);
  EXPECT_NE(FindingOf("// \xFF\n{}").find("f:1:4: error: "), std::string::npos);
  EXPECT_NE(FindingOf(std::string("{}\0", 3)).find("f:1:3: error: "),
            std::string::npos);
  EXPECT_NE(FindingOf("\x7F"
                      "ELF\x02")
                .find("error: "),
            std::string::npos);
  EXPECT_NE(FindingOf("{} {}").find("f:1:4: error: "), std::string::npos);
  EXPECT_NE(FindingOf("{\"a\": 1e999}").find("error: "), std::string::npos);
  EXPECT_NE(FindingOf("{ /* never closed").find("error: "), std::string::npos);
}

TEST(PositionedJsonTest, RejectsHugeAndDeepText) {
  EXPECT_NE(FindingOf(std::string(kMaxDocumentBytes + 1, ' ')).find("at most"),
            std::string::npos);
  const std::string deep(1000000, '[');
  EXPECT_NE(FindingOf(deep).find("nested deeper than the 64 levels"),
            std::string::npos);
  std::string many = "[";
  for (std::size_t i = 0; i <= kMaxDocumentValues; ++i) {
    many += "0,";
  }
  EXPECT_NE(FindingOf(many + "0]").find("more than the 200000 values"),
            std::string::npos);
  const std::string allowed =
      std::string(kMaxDocumentDepth, '[') + std::string(kMaxDocumentDepth, ']');
  EXPECT_TRUE(ParsePositionedJson(allowed, "f"));
}

TEST(PositionedJsonTest, ReportsDuplicatesWithTheirPaths) {
  const auto document =
      ParsePositionedJson("{\"a\": [{\"b\": 1,\n\"b\": {\"b\": 2}}]}", "f");
  ASSERT_TRUE(document);
  ASSERT_EQ(document->duplicates.size(), 1U);
  EXPECT_EQ(document->duplicates[0].path, "a[0].b");
  EXPECT_EQ(document->duplicates[0].position.line, 2U);
}

RC_GTEST_PROP(PositionedJsonPropertyTest,
              AnyBytesGiveAValueOrFindings,
              (const std::string& text)) {
  const auto document = ParsePositionedJson(text, "f");
  RC_ASSERT(document.has_value() || !document.error().empty());
}

RC_GTEST_PROP(PositionedJsonPropertyTest, AnyTokensGiveAValueOrFindings, ()) {
  const auto tokens = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("{", "}", "[", "]", ",", ":", "\"a\"", "1",
                                    "-", "true", "//", "/*", "*/", "\n", "\"",
                                    "\\", " ", "\xC5\xBE"));
  std::string text;
  for (const std::string& token : tokens) {
    text += token;
  }
  const auto document = ParsePositionedJson(text, "f");
  RC_ASSERT(document.has_value() || !document.error().empty());
  const bool valid = nlohmann::json::accept(text, true);
  RC_ASSERT(document.has_value() == valid);
}

}  // namespace
}  // namespace cassiastile::config
