#include "cassiastile/wire/http_types.hpp"

#include <algorithm>
#include <cctype>

#include <fmt/format.h>

namespace cassiastile::wire {

namespace {

bool EqualWithoutCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::optional<int> HexDigit(char digit) {
  constexpr int kTen = 10;
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + kTen;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + kTen;
  }
  return std::nullopt;
}

bool IsUnreserved(unsigned char character) {
  return std::isalnum(character) != 0 || character == '-' || character == '.' ||
         character == '_' || character == '~';
}

// In a query string a plus sign encodes a space.
std::string DecodeQueryValue(std::string_view text) {
  std::string spaced(text);
  std::replace(spaced.begin(), spaced.end(), '+', ' ');
  return DecodePercent(spaced);
}

}  // namespace

std::optional<std::string> FindBearerToken(const HttpRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto value = FindHeader(request.headers, "Authorization");
  if (!value || !value->starts_with(kScheme)) {
    return std::nullopt;
  }
  return value->substr(kScheme.size());
}

std::string EncodePercent(std::string_view text) {
  std::string encoded;
  for (const unsigned char character : text) {
    if (IsUnreserved(character)) {
      encoded += static_cast<char>(character);
    } else {
      encoded += fmt::format("%{:02X}", character);
    }
  }
  return encoded;
}

std::string DecodePercent(std::string_view text) {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const auto high = HexDigit(text[i + 1]);
      const auto low = HexDigit(text[i + 2]);
      if (high && low) {
        decoded += static_cast<char>(*high * kHexBase + *low);
        i += 2;
        continue;
      }
    }
    decoded += text[i];
  }
  return decoded;
}

std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (EqualWithoutCase(field, name)) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<std::string> FindQueryParameter(const HttpRequest& request,
                                              std::string_view name) {
  std::string_view rest = request.query;
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : DecodeQueryValue(pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? std::string_view()
                                         : rest.substr(end + 1);
  }
  return std::nullopt;
}

}  // namespace cassiastile::wire
