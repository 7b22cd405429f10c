#include "table.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cassiastile::operators {
namespace {

using nlohmann::json;

TEST(TableTest, ShowsObjectsInACellByTheirNames) {
  EXPECT_EQ(FormatCell(json::parse(R"([{"detail": "x", "host": "w-1"},
                                       {"detail": "y", "host": "w-2"}])")),
            "w-1, w-2");
  EXPECT_EQ(FormatCell(json::parse(R"({"basis": "900 s", "finish": null})")),
            "basis 900 s, finish -");
}

TEST(TableTest, CutsLongListsAndCountsTheRest) {
  EXPECT_EQ(FormatCell(json{1, 2, 3, 4, 5, 6}), "1, 2, 3, 4, 5, 6");
  EXPECT_EQ(FormatCell(json{1, 2, 3, 4, 5, 6, 7, 8}),
            "1, 2, 3, 4, 5, 6 and 2 more");
}

}  // namespace
}  // namespace cassiastile::operators
