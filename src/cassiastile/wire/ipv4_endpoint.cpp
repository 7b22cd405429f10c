#include "cassiastile/wire/ipv4_endpoint.hpp"

#include <charconv>

#include <asio/ip/address_v4.hpp>

namespace cassiastile::wire {

namespace {

constexpr unsigned kFirstMulticastByte = 224;

std::optional<asio::ip::address_v4> ParseAddress(std::string_view text) {
  asio::error_code error;
  const auto address = asio::ip::make_address_v4(std::string(text), error);
  // The parser stops at a zero byte, so the text is compared as well.
  if (error || address.to_string() != text) {
    return std::nullopt;
  }
  return address;
}

}  // namespace

bool Ipv4Endpoint::IsDestination() const {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return false;
  }
  const unsigned first = parsed->to_bytes()[0];
  return first > 0 && first < kFirstMulticastByte;
}

std::optional<Ipv4Endpoint> ParseIpv4Endpoint(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Ipv4Endpoint endpoint;
  endpoint.address = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), end, endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != end || endpoint.port == 0 ||
      port.starts_with('0') || !ParseAddress(endpoint.address)) {
    return std::nullopt;
  }
  return endpoint;
}

std::optional<Ipv4Endpoint> ParseDestination(std::string_view text) {
  auto endpoint = ParseIpv4Endpoint(text);
  if (endpoint && !endpoint->IsDestination()) {
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace cassiastile::wire
