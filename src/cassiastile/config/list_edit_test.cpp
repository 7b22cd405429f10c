#include "cassiastile/config/list_edit.hpp"

#include <gtest/gtest.h>

namespace cassiastile::config {
namespace {

const std::string kList =
    "[\n"
    "    // one, with a comma\n"
    "    { \"id\": 1 }, // first\n"
    "    { \"id\": 2 } /* , */,\n"
    "    { \"id\": 3 } // last\n"
    "  ]";

TEST(ListEditTest, AppendsAfterTheLastComment) {
  EXPECT_EQ(*AppendItem("[]", "4"), "[\n    4\n  ]");
  EXPECT_EQ(*AppendItem(kList, "4"),
            "[\n"
            "    // one, with a comma\n"
            "    { \"id\": 1 }, // first\n"
            "    { \"id\": 2 } /* , */,\n"
            "    { \"id\": 3 }, // last\n"
            "    4\n"
            "  ]");
}

TEST(ListEditTest, RemovesOneItemAndKeepsTheComments) {
  EXPECT_EQ(*RemoveItem(kList, 0),
            "[\n"
            "    // one, with a comma\n"
            "     // first\n"
            "    { \"id\": 2 } /* , */,\n"
            "    { \"id\": 3 } // last\n"
            "  ]");
  EXPECT_EQ(*RemoveItem(kList, 2),
            "[\n"
            "    // one, with a comma\n"
            "    { \"id\": 1 }, // first\n"
            "    { \"id\": 2 } /* , */\n"
            "     // last\n"
            "  ]");
  EXPECT_EQ(*RemoveItem("[\n  1,\n  2\n]", 0), "[\n  2\n]");
  EXPECT_EQ(*RemoveItem("[\n  1,\n  2\n]", 1), "[\n  1\n]");
  EXPECT_EQ(*RemoveItem("[1]", 0), "[]");
}

TEST(ListEditTest, RejectsInvalidListsAndIndexes) {
  EXPECT_FALSE(RemoveItem("[1]", 1));
  EXPECT_FALSE(RemoveItem("{}", 0));
  EXPECT_FALSE(AppendItem("[", "1"));
}

}  // namespace
}  // namespace cassiastile::config
