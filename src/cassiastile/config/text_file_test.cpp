#include "cassiastile/config/text_file.hpp"

#include <sstream>

#include <gtest/gtest.h>

#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {
namespace {

TEST(TextFileTest, ReadsAStreamToItsEndOrOneByteOverTheLimit) {
  std::istringstream empty("");
  EXPECT_EQ(ReadText(empty), "");
  const std::string text(200000, 'x');
  std::istringstream some(text);
  EXPECT_EQ(ReadText(some), text);
  std::istringstream huge(std::string(kMaxDocumentBytes + 100, 'x'));
  EXPECT_EQ(ReadText(huge).size(), kMaxDocumentBytes + 1);
}

TEST(TextFileTest, EndlessFileGivesAFinding) {
  const auto text = ReadTextFile("/dev/zero");
  ASSERT_TRUE(text);
  EXPECT_FALSE(ParsePositionedJson(*text, "f"));
}

}  // namespace
}  // namespace cassiastile::config
