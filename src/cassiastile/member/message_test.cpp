#include "cassiastile/member/message.hpp"

#include <cstdlib>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cassiastile/base/hash.hpp"

namespace cassiastile::member {
namespace {

constexpr std::string_view kSecret = "fleet secret";
constexpr std::size_t kTagBytes = 16;
// RapidCheck reads its seed from this environment variable.
[[maybe_unused]] const int kSeedSet = setenv("RC_PARAMS", "seed=42", 1);

Message MakeSample() {
  Message message;
  message.kind = MessageKind::kAck;
  message.sender = "h01-0";
  message.incarnation = 3;
  message.sequence = 9;
  message.head = {4, base::Sha256Hex("text")};
  message.agrees = true;
  message.list_hash = 5;
  message.statements = {{1, 2, true}, {3, kAgeUnknown, false}};
  message.records = {
      {"h01-0", 3, MemberRole::kControl, "z1", "10.0.0.1:1", "10.0.0.1:2", 7}};
  return message;
}

// Appends the authentication tag as the encoder does.
std::string AppendTag(const std::string& data) {
  return data + base::HmacSha256(kSecret, data).substr(0, kTagBytes);
}

TEST(MessageTest, RoundTrip) {
  const Message sample = MakeSample();
  const auto decoded = DecodeMessage(EncodeMessage(sample, kSecret), kSecret);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->sender, sample.sender);
  EXPECT_EQ(decoded->head, sample.head);
  EXPECT_TRUE(decoded->agrees);
  EXPECT_EQ(decoded->statements.size(), 2U);
  EXPECT_TRUE(decoded->statements[0].has_head_in_force);
  EXPECT_EQ(decoded->statements[0].agreed_age, 2U);
  EXPECT_FALSE(decoded->statements[1].has_head_in_force);
  EXPECT_EQ(decoded->statements[1].heard_age, 3U);
  EXPECT_EQ(decoded->statements[1].agreed_age, kAgeUnknown);
  EXPECT_EQ(decoded->records, sample.records);
}

TEST(MessageTest, FieldsOfANewerReleaseAreIgnored) {
  std::string data = EncodeMessage(MakeSample(), kSecret);
  data.resize(data.size() - kTagBytes);
  data[2] = 2;  // The writer's format.
  const auto decoded = DecodeMessage(AppendTag(data + "more fields"), kSecret);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->sender, "h01-0");
}

TEST(MessageTest, FormatThatNeedsANewerReaderIsUnsupported) {
  std::string data = EncodeMessage(MakeSample(), kSecret);
  data.resize(data.size() - kTagBytes);
  data[3] = 2;  // The oldest format whose readers can decode it.
  const auto decoded = DecodeMessage(AppendTag(data), kSecret);
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error(), PacketFault::kUnsupported);
}

TEST(MessageTest, MessageWithAnotherSecretIsForged) {
  const auto decoded = DecodeMessage(EncodeMessage(MakeSample(), "x"), kSecret);
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error(), PacketFault::kForged);
}

TEST(MessageTest, OversizedIsDropped) {
  const auto decoded =
      DecodeMessage(std::string(kMaxDatagramBytes + 1, 'x'), kSecret);
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error(), PacketFault::kOversized);
}

TEST(MessageTest, RecordsThatDoNotFitAreLeftOut) {
  Message message = MakeSample();
  message.statements.resize(200);
  message.records.resize(50, message.records[0]);
  const std::string datagram = EncodeMessage(message, kSecret);
  EXPECT_LE(datagram.size(), kMaxDatagramBytes);
  EXPECT_TRUE(DecodeMessage(datagram, kSecret));
}

RC_GTEST_PROP(MessageProperty, RandomBytesAreNeverAMessage, ()) {
  const auto bytes =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  RC_ASSERT(!DecodeMessage(bytes, kSecret));
}

RC_GTEST_PROP(MessageProperty, AuthenticatedRandomBytesNeverThrow, ()) {
  const auto bytes =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  static_cast<void>(
      DecodeMessage(AppendTag(std::string("CM\x01\x01") + bytes), kSecret));
}

RC_GTEST_PROP(MessageProperty, TruncatedOrBitFlippedIsDropped, ()) {
  std::string datagram = EncodeMessage(MakeSample(), kSecret);
  const auto at = *rc::gen::inRange<std::size_t>(0, datagram.size());
  const auto bit = *rc::gen::inRange(0, 8);
  RC_ASSERT(!DecodeMessage(std::string_view(datagram).substr(0, at), kSecret));
  datagram[at] = static_cast<char>(datagram[at] ^ (1 << bit));
  RC_ASSERT(!DecodeMessage(datagram, kSecret));
}

}  // namespace
}  // namespace cassiastile::member
