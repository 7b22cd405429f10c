#include "cassiastile/member/virtual_fleet.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "cassiastile/base/hash.hpp"

namespace cassiastile::member {

namespace {

constexpr std::uint32_t kPort = 7400;

std::string AddressOf(std::uint32_t host, std::uint32_t process) {
  return fmt::format("10.0.{}.{}:{}", host / 250, host % 250 + 1,
                     kPort + process);
}

MembershipOptions MakeOptions(const VirtualFleetShape& shape,
                              std::uint32_t host,
                              std::uint32_t process) {
  MembershipOptions options;
  options.self.name = VirtualName(host, process);
  options.self.incarnation = 1;
  options.self.role = process == 0 ? MemberRole::kEntry : MemberRole::kControl;
  options.self.zone = fmt::format("zone-{:02}", host % shape.zones);
  options.self.address = AddressOf(host, process);
  options.self.http_address = AddressOf(host, process + 10);
  options.secret = "virtual fleet";
  options.seeds = {AddressOf(0, 0), AddressOf(1, 0)};
  return options;
}

}  // namespace

std::string VirtualName(std::uint32_t host, std::uint32_t process) {
  return fmt::format("h{:02}-{}", host, process);
}

void AddFleet(VirtualNetwork& network, VirtualFleetShape shape) {
  for (std::uint32_t host = 0; host < shape.hosts; ++host) {
    for (std::uint32_t i = 0; i < shape.processes_per_host; ++i) {
      network.Add(MakeOptions(shape, host, i));
    }
  }
}

void CommitVersion(VirtualNetwork& network, std::uint64_t version) {
  network.Store().head = {version, base::Sha256Hex(fmt::format("{}", version))};
}

bool IsInForceEverywhere(VirtualNetwork& network, std::uint64_t version) {
  const std::vector<std::string> names = network.Names();
  return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
    return network.At(name).InForce() >= version;
  });
}

}  // namespace cassiastile::member
