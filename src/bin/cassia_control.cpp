#include "cassiastile/control/control_host.hpp"
#include "cassiastile/daemon/run_daemon.hpp"
#include "cassiastile/member/member_settings.hpp"

namespace {

using namespace cassiastile;

constexpr std::uint16_t kDefaultPort = 7100;
constexpr std::int64_t kMaxThreads = 64;

control::ControlHostOptions ReadOptions(config::Settings& settings) {
  control::ControlHostOptions options;
  options.listen = settings.Address("listen", {"127.0.0.1", kDefaultPort});
  options.http_threads = static_cast<std::size_t>(
      settings.Number("http_threads", 4, 1, kMaxThreads));
  options.member = member::ReadMemberOptions(settings, base::SystemClock());
  options.member.role = member::MemberRole::kControl;
  options.member.http_address = config::FormatAddress(options.listen);
  options.platform = daemon::ReadPlatformOptions(settings);
  options.platform.process =
      options.member.name + "-" + std::to_string(options.member.incarnation);
  options.pool_interval =
      settings.Milliseconds("pool_round_ms", options.pool_interval);
  options.probe_time = settings.Milliseconds("probe_ms", options.probe_time);
  options.drain_notice =
      settings.Milliseconds("drain_notice_ms", options.drain_notice);
  options.drain_deadline =
      settings.Milliseconds("drain_deadline_ms", options.drain_deadline);
  return options;
}

}  // namespace

// cassia-control: the control process of an entry host. It takes operators'
// edits and callers' tasks, owns pools and runs waves.
int main(int argc, char** argv) {
  const daemon::Program program{
      "cassia-control",
      "takes operators' edits and callers' tasks, owns pools and runs waves"};
  return daemon::RunDaemon(program, argc, argv, ReadOptions,
                           daemon::DaemonAdapter<control::ControlHost>::Start<
                               control::ControlHostOptions>);
}
