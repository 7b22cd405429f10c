#include "cassiastile/base/random.hpp"
#include "cassiastile/daemon/run_daemon.hpp"
#include "cassiastile/entry/entry_host.hpp"
#include "cassiastile/member/member_settings.hpp"

namespace {

using namespace cassiastile;

constexpr std::uint16_t kDefaultPort = 7200;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxBodyBytes = 64 << 20;

void ReadLimits(config::Settings& settings, entry::RequestLimits& limits) {
  limits.max_body_bytes = static_cast<std::size_t>(settings.Number(
      "max_body_bytes", static_cast<std::int64_t>(limits.max_body_bytes), 1,
      kMaxBodyBytes));
  limits.longest_timeout =
      settings.Milliseconds("longest_timeout_ms", limits.longest_timeout);
}

entry::EntryHostOptions ReadOptions(config::Settings& settings) {
  entry::EntryHostOptions options;
  options.listen = settings.Address("listen", {"127.0.0.1", kDefaultPort});
  options.http_threads = static_cast<std::size_t>(
      settings.Number("http_threads", 4, 1, kMaxThreads));
  options.member = member::ReadMemberOptions(settings, base::SystemClock());
  options.member.role = member::MemberRole::kEntry;
  options.member.http_address = config::FormatAddress(options.listen);
  options.platform = daemon::ReadPlatformOptions(settings);
  options.platform.process =
      options.member.name + "-" + std::to_string(options.member.incarnation);
  options.entry.name = options.member.name;
  options.entry.zone = options.member.zone;
  options.entry.incarnation = options.member.incarnation;
  options.entry.seed = base::MakeRandom()();
  ReadLimits(settings, options.entry.limits);
  options.entry.watch.longest_request = options.entry.limits.longest_timeout;
  options.drain_notice =
      settings.Milliseconds("drain_notice_ms", options.drain_notice);
  options.drain_deadline =
      settings.Milliseconds("drain_deadline_ms", options.drain_deadline);
  return options;
}

}  // namespace

// cassia-entry: the request process of an entry host, which forwards callers'
// requests to backend servers.
int main(int argc, char** argv) {
  const daemon::Program program{
      "cassia-entry",
      "takes callers' requests and brings back the answers of the runners"};
  return daemon::RunDaemon(
      program, argc, argv, ReadOptions,
      daemon::DaemonAdapter<entry::EntryHost>::Start<entry::EntryHostOptions>);
}
