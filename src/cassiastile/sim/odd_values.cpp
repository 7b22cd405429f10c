#include "cassiastile/sim/odd_values.hpp"

#include <array>
#include <string_view>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/wire/ipv4_endpoint.hpp"

namespace cassiastile::sim {

namespace {

template <std::size_t Size>
std::string Pick(const std::array<std::string_view, Size>& choices,
                 base::Random& random) {
  return std::string(choices[random() % Size]);
}

std::string DrawAddress(base::Random& random) {
  constexpr std::array<std::string_view, 22> kAddresses{
      "",           "localhost",      "worker-7.example", "::1",
      "[::1]",      "fe80::1%lo",     "2001:db8::7",      "::ffff:127.0.0.1",
      "127.0.0.1",  "127.1",          "0.0.0.0",          "255.255.255.255",
      "224.0.0.1",  "256.1.1.1",      "127.0.0.01",       "0x7f.0.0.1",
      "2130706433", "user@127.0.0.1", "127.0.0.1/a",      "127.0.0.1:1",
      " 127.0.0.1", "127.0.0.1#"};
  constexpr std::uint64_t kDrawnOneIn = 4;
  constexpr std::uint64_t kBeyondByte = 300;
  constexpr std::uint64_t kFirstMulticast = 224;
  if (random() % kDrawnOneIn == 0) {
    // Of those that a call can go to, only addresses of this machine.
    const std::uint64_t first = random() % kBeyondByte;
    return fmt::format("{}.{}.{}.{}", first < kFirstMulticast ? 127 : first,
                       random() % kBeyondByte, random() % kBeyondByte,
                       random() % kBeyondByte);
  }
  return Pick(kAddresses, random);
}

std::string DrawPort(base::Random& random) {
  constexpr std::array<std::string_view, 14> kPorts{
      "",    "0",   "-1",   "65536", "99999999999999999999",
      "80 ", "080", "http", "0x50",  "8e1",
      "1/x", "1?q", "1",    "+1"};
  constexpr std::uint64_t kDrawnOneIn = 3;
  constexpr std::uint64_t kBeyondPort = 70000;
  return random() % kDrawnOneIn == 0 ? std::to_string(random() % kBeyondPort)
                                     : Pick(kPorts, random);
}

}  // namespace

std::string DrawText(base::Random& random) {
  constexpr std::array<std::string_view, 14> kPieces{"\r\n",
                                                     "\n",
                                                     std::string_view("\0", 1),
                                                     "\t",
                                                     "\"",
                                                     "\\",
                                                     "\x7f",
                                                     "\x01",
                                                     "\xc3\xa9",
                                                     "\xf0\x9f\x98\x80",
                                                     "a",
                                                     "7",
                                                     " ",
                                                     "X-Odd: 1"};
  constexpr std::uint64_t kMaxPieces = 6;
  std::string text;
  for (std::uint64_t i = random() % kMaxPieces; i > 0; --i) {
    text += Pick(kPieces, random);
  }
  return text;
}

std::string DrawEndpoint(base::Random& random) {
  constexpr std::uint64_t kGarbledOneIn = 4;
  std::string text = DrawAddress(random);
  if (random() % kGarbledOneIn != 0) {
    text += ":" + DrawPort(random);
  }
  if (random() % kGarbledOneIn == 0) {
    text.insert(random() % (text.size() + 1), DrawText(random));
  }
  return text;
}

std::string DrawNoDestination(base::Random& random) {
  while (true) {
    std::string text = DrawEndpoint(random);
    if (!wire::ParseDestination(text.substr(0, text.find('/')))) {
      return text;
    }
  }
}

std::string DrawJsonNumber(base::Random& random) {
  constexpr std::array<std::string_view, 20> kNumbers{"0",
                                                      "1",
                                                      "-1",
                                                      "0.5",
                                                      "-0.5",
                                                      "1e30",
                                                      "-1e30",
                                                      "1e308",
                                                      "1.7e-308",
                                                      "4294967295",
                                                      "4294967296",
                                                      "9007199254740993",
                                                      "2147483648",
                                                      "9223372036854775807",
                                                      "9223372036854775808",
                                                      "18446744073709551615",
                                                      "18446744073709551616",
                                                      "-9223372036854775808",
                                                      "172800000",
                                                      "31622400001"};
  constexpr std::uint64_t kDrawnOneIn = 4;
  return random() % kDrawnOneIn == 0 ? std::to_string(random())
                                     : Pick(kNumbers, random);
}

std::string DrawJson(base::Random& random) {
  constexpr std::array<std::string_view, 8> kOthers{
      "null", "true", "false", "[]", "{}", "[1]", R"({"a":[]})", R"(["a",7])"};
  constexpr std::uint64_t kKinds = 4;
  constexpr int kDeep = 40;
  constexpr std::uint64_t kDeepOneIn = 8;
  switch (random() % kKinds) {
    case 0:
      return DrawJsonNumber(random);
    case 1:
      return nlohmann::json(DrawText(random)).dump();
    case 2:
      return nlohmann::json(DrawEndpoint(random)).dump();
    default:
      return random() % kDeepOneIn == 0
                 ? std::string(kDeep, '[') + std::string(kDeep, ']')
                 : Pick(kOthers, random);
  }
}

}  // namespace cassiastile::sim
