#include "cassiastile/member/member_settings.hpp"

#include <fstream>
#include <iterator>

namespace cassiastile::member {

namespace {

constexpr std::uint16_t kDefaultPort = 7200;
constexpr std::size_t kMinSecretBytes = 16;

std::string ReadSecret(config::Settings& settings) {
  const std::string path = settings.Text("fleet_secret_file");
  if (path.empty()) {
    return {};
  }
  std::ifstream file(path, std::ios::binary);
  std::string secret{std::istreambuf_iterator<char>(file), {}};
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
    secret.pop_back();
  }
  if (secret.size() < kMinSecretBytes) {
    settings.Report("fleet_secret_file", "must name a file that holds " +
                                             std::to_string(kMinSecretBytes) +
                                             " bytes or more; it holds " +
                                             std::to_string(secret.size()));
  }
  return secret;
}

}  // namespace

MemberOptions ReadMemberOptions(config::Settings& settings,
                                const base::Clock& clock) {
  MemberOptions options;
  options.name = settings.Text("name");
  options.zone = settings.Text("zone");
  const config::SocketAddress listen =
      settings.Address("member_listen", {"127.0.0.1", kDefaultPort});
  options.listen_address = listen.ip;
  options.port = listen.port;
  for (const config::SocketAddress& peer : settings.AddressList("peers")) {
    options.peers.push_back(config::FormatAddress(peer));
  }
  options.fleet_secret = ReadSecret(settings);
  options.incarnation = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          clock.WallNow().time_since_epoch())
          .count());
  return options;
}

}  // namespace cassiastile::member
