#include "cassiastile/member/member.hpp"

#include <functional>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/member/config_store.hpp"
#include "cassiastile/member/peer_link.hpp"
#include "cassiastile/platform/memory_platform.hpp"
#include "fleet_example_test.hpp"

namespace cassiastile::member {
namespace {

constexpr std::string_view kSecret = "fleet secret";

// Polls in real time until other threads have done something. The limit of 30
// seconds only ends a hang.
bool WaitFor(const std::function<bool()>& done) {
  constexpr int kSteps = 3000;
  for (int i = 0; i < kSteps; ++i) {
    if (done()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

class MemberTest : public ::testing::Test {
 protected:
  std::unique_ptr<Member> MakeMember(const std::string& name,
                                     std::vector<std::string> peers,
                                     platform::Table& table) {
    MemberOptions options;
    options.name = name;
    options.role = MemberRole::kControl;
    options.zone = "zone-a";
    options.incarnation = 1;
    options.peers = std::move(peers);
    options.fleet_secret = kSecret;
    options.times.list_read_period = std::chrono::milliseconds(200);
    auto member = Member::Create(options, table, m_clock);
    EXPECT_TRUE(member);
    (*member)->Start();
    return std::move(*member);
  }

  static bool HasVersion(const Member& member, std::uint64_t version) {
    const auto fleet = member.Current();
    return fleet && fleet->version == version;
  }

  base::SystemClock m_clock;
  platform::MemoryTable m_table;
};

TEST_F(MemberTest, JoinsLearnsTheHeadAndPullsTheBody) {
  const auto first = MakeMember("a", {}, m_table);
  const auto second = MakeMember("b", {first->Address()}, m_table);
  ASSERT_TRUE(WaitFor([&] { return second->LiveControlOwners().size() == 2; }));
  ConfigStore store(m_table, m_clock, *first, 1);
  ASSERT_TRUE(WaitFor([&] {
    return store
        .Accept({ExampleText(), {}, 0, "audit-board-secret-1", false, {}})
        .has_value();
  }));
  EXPECT_TRUE(WaitFor([&] {
    return HasVersion(*first, 1) && HasVersion(*second, 1) &&
           second->IsFresh(m_clock.Now());
  }));
  EXPECT_EQ(second->Current()->fleet.name, "plechovy-hlas");
  EXPECT_TRUE(first->WaitUntilInForce(1).missing.empty());
}

TEST_F(MemberTest, PullsTheBodyFromAPeerWhileTheTableIsDown) {
  const auto first = MakeMember("a", {}, m_table);
  ConfigStore store(m_table, m_clock, *first, 1);
  ASSERT_TRUE(WaitFor([&] {
    return store
        .Accept({ExampleText(), {}, 0, "audit-board-secret-1", false, {}})
        .has_value();
  }));
  ASSERT_TRUE(WaitFor([&] { return HasVersion(*first, 1); }));
  platform::MemoryTable down;
  down.SetFaults({true, 0, 0, 0});
  const auto second = MakeMember("b", {first->Address()}, down);
  EXPECT_TRUE(WaitFor([&] {
    return HasVersion(*second, 1) && second->IsFresh(m_clock.Now());
  }));
  EXPECT_FALSE(second->Status().reaches_store);
}

TEST_F(MemberTest, BodyWithAnotherDigestIsNotPutInForce) {
  const auto member = MakeMember("a", {}, m_table);
  ASSERT_TRUE(m_table.Apply(
      {"n",
       {},
       {{"config/body/1", ExampleText()},
        {"config/head", R"({"version": 1, "digest": "00ff"})"}}}));
  ASSERT_TRUE(WaitFor([&] { return member->Status().head.version == 1; }));
  // 40 further reads of the table include several reads of the body.
  const std::uint64_t reads = m_table.Counts().reads;
  ASSERT_TRUE(WaitFor([&] { return m_table.Counts().reads > reads + 40; }));
  EXPECT_EQ(member->Current(), nullptr);
  EXPECT_FALSE(member->IsFresh(m_clock.Now()));
}

TEST(PeerLinkTest, AnswersOnlyRequestsWithTheFleetSecret) {
  const PeerHandler handler = [](const PeerRequest& request) {
    PeerReply reply;
    reply.version = request.version;
    reply.text = std::string(100000, 'x');
    reply.list = {{"a", 1, MemberRole::kEntry, "z", "10.0.0.1:1", "", 0}};
    return reply;
  };
  const auto server =
      PeerServer::Start("127.0.0.1", 0, std::string(kSecret), handler);
  ASSERT_TRUE(server);
  const std::string address = "127.0.0.1:" + std::to_string((*server)->Port());
  constexpr std::chrono::milliseconds kTimeout{30000};
  const auto reply = AskPeer(address, {7, "nonce"}, kSecret, kTimeout);
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->version, 7U);
  EXPECT_EQ(reply->text.size(), 100000U);
  EXPECT_EQ(reply->list.size(), 1U);
  EXPECT_FALSE(AskPeer(address, {7, "nonce"}, "other", kTimeout));
  EXPECT_FALSE(AskPeer("nonsense", {7, "nonce"}, kSecret, kTimeout));
}

RC_GTEST_PROP(PeerFrameProperty, RandomFramesNeverThrow, ()) {
  const auto bytes =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  const std::string tagged = base::HmacSha256(kSecret, bytes) + bytes;
  RC_ASSERT(!DecodeRequest(bytes, kSecret));
  static_cast<void>(DecodeRequest(tagged, kSecret));
  static_cast<void>(DecodeReply(tagged, kSecret));
}

}  // namespace
}  // namespace cassiastile::member
