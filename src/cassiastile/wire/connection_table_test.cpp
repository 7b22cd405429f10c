#include "cassiastile/wire/connection_table.hpp"

#include <utility>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cassiastile::wire {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::Pair;

// Of four connections one may be ending.
constexpr ConnectionLimits kLimits{.max_connections = 4,
                                   .max_request_bytes = 100,
                                   .max_held_bytes = 250};

class ConnectionTableTest : public testing::Test {
 protected:
  ConnectionTable::Id Open() { return m_table.Open().value(); }

  // A request that comes at once and is being handled; returns its bytes.
  std::size_t Handle(ConnectionTable::Id id, std::size_t bytes) {
    m_table.Receive(id, bytes);
    return m_table.CompleteRequest(id);
  }

  std::vector<std::pair<ConnectionTable::Id, CloseReason>> m_closed;
  ConnectionTable m_table{kLimits,
                          [this](ConnectionTable::Id id, CloseReason reason) {
                            m_closed.emplace_back(id, reason);
                          }};
};

TEST_F(ConnectionTableTest, ConnectionThatWaitsLongestMakesRoom) {
  const auto stalled = Open();
  m_table.Receive(stalled, 1);
  const auto idle = Open();
  const auto other = Open();
  m_table.Receive(stalled, 1);
  Open();
  Open();
  EXPECT_THAT(m_closed,
              ElementsAre(Pair(stalled, CloseReason::kTooManyConnections),
                          Pair(idle, CloseReason::kTooManyConnections)));
  m_table.Remove(other);
  EXPECT_EQ(m_table.Usage().connections, 2U);
}

TEST_F(ConnectionTableTest, RequestOnAnOldConnectionIsYoung) {
  const auto used = Open();
  const auto idle = Open();
  Open();
  m_table.Receive(used, 10);
  Open();
  EXPECT_THAT(m_closed,
              ElementsAre(Pair(idle, CloseReason::kTooManyConnections)));
}

TEST_F(ConnectionTableTest, RequestInHandlingIsNeverCutOff) {
  const auto first = Open();
  Handle(first, 10);
  Handle(Open(), 10);
  Handle(Open(), 10);
  // The first ends with its response, and its place is taken meanwhile.
  Handle(Open(), 10);
  EXPECT_TRUE(m_table.EndsWithResponse(first));
  EXPECT_FALSE(m_table.Open().has_value());
  EXPECT_THAT(m_closed, IsEmpty());
  EXPECT_EQ(m_table.Usage().closed[0], 2U);
  EXPECT_EQ(m_table.Usage().connections, 4U);
  m_table.Remove(first);
  EXPECT_TRUE(m_table.Open().has_value());
}

TEST_F(ConnectionTableTest, RequestsWithoutPauseDoNotKeepANewClientOut) {
  std::vector<ConnectionTable::Id> busy;
  for (int i = 0; i < 3; ++i) {
    busy.push_back(Open());
    Handle(busy.back(), 10);
  }
  const auto ordinary = Open();
  // Another one comes before its request.
  m_table.Remove(busy[0]);
  Open();
  EXPECT_THAT(m_closed, IsEmpty());
  EXPECT_FALSE(m_table.EndsWithResponse(ordinary));
  EXPECT_TRUE(m_table.EndsWithResponse(busy[1]));
}

TEST_F(ConnectionTableTest, ClientThatTakesNoResponseMakesRoom) {
  const auto responding = Open();
  Handle(responding, 10);
  m_table.BeginResponse(responding, 50);
  Open();
  Handle(Open(), 10);
  Open();
  EXPECT_THAT(m_closed,
              ElementsAre(Pair(responding, CloseReason::kTooManyConnections)));
}

TEST_F(ConnectionTableTest, RequestOfTheLargestSizeIsTaken) {
  const auto id = Open();
  EXPECT_TRUE(m_table.Receive(id, 60));
  EXPECT_TRUE(m_table.Receive(id, 40));
  EXPECT_EQ(m_table.CompleteRequest(id), 100U);
  m_table.BeginResponse(id, 5);
  m_table.Release(id, 105);
  EXPECT_TRUE(m_table.Receive(id, 100));
}

TEST_F(ConnectionTableTest, LargerRequestIsClosed) {
  const auto id = Open();
  EXPECT_FALSE(m_table.Receive(id, 101));
  EXPECT_THAT(m_closed, ElementsAre(Pair(id, CloseReason::kTooLargeRequest)));
  EXPECT_EQ(m_table.Usage(),
            (ConnectionUsage{
                .connections = 0, .held_bytes = 0, .closed = {0, 1, 0}}));
}

TEST_F(ConnectionTableTest, OldestIncompleteRequestMakesRoomForBytes) {
  const auto first = Open();
  const auto second = Open();
  const auto third = Open();
  m_table.Receive(second, 90);
  m_table.Receive(first, 90);
  EXPECT_TRUE(m_table.Receive(third, 90));
  EXPECT_THAT(m_closed,
              ElementsAre(Pair(second, CloseReason::kTooManyBytesHeld)));
  EXPECT_EQ(m_table.Usage().held_bytes, 180U);
}

TEST_F(ConnectionTableTest, BytesOfHandledRequestsRefuseTheNextOne) {
  const auto first = Open();
  const std::size_t held = Handle(first, 100) + Handle(Open(), 100);
  const auto third = Open();
  EXPECT_FALSE(m_table.Receive(third, 60));
  EXPECT_THAT(m_closed,
              ElementsAre(Pair(third, CloseReason::kTooManyBytesHeld)));
  m_table.Release(first, held);
  EXPECT_EQ(m_table.Usage().held_bytes, 0U);
}

TEST_F(ConnectionTableTest, UnreadResponsesMakeRoomForBytes) {
  const auto first = Open();
  const std::size_t request = Handle(first, 10);
  m_table.BeginResponse(first, 230);
  EXPECT_TRUE(m_table.Receive(Open(), 60));
  EXPECT_THAT(m_closed,
              ElementsAre(Pair(first, CloseReason::kTooManyBytesHeld)));
  m_table.Release(first, request + 230);
  EXPECT_EQ(m_table.Usage().held_bytes, 60U);
}

TEST_F(ConnectionTableTest, RequestOfAGoneClientIsHeldUntilItsRelease) {
  const auto id = Open();
  const std::size_t bytes = Handle(id, 80);
  m_table.Remove(id);
  EXPECT_EQ(m_table.Usage().held_bytes, 80U);
  m_table.BeginResponse(id, 20);
  m_table.Release(id, bytes + 20);
  EXPECT_EQ(m_table.Usage().held_bytes, 0U);
}

TEST_F(ConnectionTableTest, PartBehindAnUnreadResponseMakesRoomForBytes) {
  const auto pipelining = Open();
  const std::size_t request = Handle(pipelining, 10);
  m_table.BeginResponse(pipelining, 10);
  m_table.Receive(pipelining, 95);
  const auto other = Open();
  m_table.Receive(other, 90);
  EXPECT_TRUE(m_table.Receive(Open(), 60));
  EXPECT_THAT(m_closed,
              ElementsAre(Pair(pipelining, CloseReason::kTooManyBytesHeld)));
  m_table.Release(pipelining, request + 10);
  EXPECT_EQ(m_table.Usage().held_bytes, 150U);
}

}  // namespace
}  // namespace cassiastile::wire
