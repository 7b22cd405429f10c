#include "cassiastile/base/hash.hpp"

#include <array>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cassiastile::base {

namespace {

constexpr std::size_t kDigestBytes = 32;

using Digest = std::array<unsigned char, kDigestBytes>;

}  // namespace

std::string Sha256Hex(std::string_view data) {
  Digest digest{};
  EVP_Digest(data.data(), data.size(), digest.data(), nullptr, EVP_sha256(),
             nullptr);
  std::string text;
  text.reserve(2 * kDigestBytes);
  for (const unsigned char byte : digest) {
    text += fmt::format("{:02x}", byte);
  }
  return text;
}

std::string HmacSha256(std::string_view secret, std::string_view data) {
  Digest digest{};
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       digest.data(), nullptr);
  return {digest.begin(), digest.end()};
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace cassiastile::base
