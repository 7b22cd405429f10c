#pragma once

#include <string>
#include <string_view>

namespace cassiastile::base {

// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Returns the HMAC-SHA-256 as 32 raw bytes.
std::string HmacSha256(std::string_view secret, std::string_view data);

// Compares two texts in a time that does not depend on where they first differ,
// so that a secret can't be guessed from timing. The lengths are not hidden.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

}  // namespace cassiastile::base
