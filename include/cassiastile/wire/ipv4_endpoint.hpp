#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassiastile::wire {

// An IPv4 address and a port.
struct Ipv4Endpoint {
  std::string address;
  std::uint16_t port = 0;

  // Whether a call can go there: neither 0.0.0.0/8 nor a multicast, reserved or
  // broadcast address.
  bool IsDestination() const;
  friend bool operator==(const Ipv4Endpoint&, const Ipv4Endpoint&) = default;
};

// Parses "ADDRESS:PORT" with a port from 1 to 65535. Returns nothing for any
// other text, such as a name, an IPv6 address, or numbers with leading zeros.
std::optional<Ipv4Endpoint> ParseIpv4Endpoint(std::string_view text);
// The same, but also nothing for what is no destination of a call.
std::optional<Ipv4Endpoint> ParseDestination(std::string_view text);

}  // namespace cassiastile::wire
