// Plays one case of the review against real cassia-host processes.
// usage: review-play NAME TROUBLE PROGRAM FOLDER RECORD
#include <csignal>
#include <cstdio>
#include <map>

#include "play.hpp"

int main(int argc, char** argv) {
  constexpr int kCouldNotRun = 2;
  constexpr int kArguments = 6;
  // Longer than any play; the processes are ended even if one hangs.
  constexpr std::chrono::seconds kLongest{115};
  const std::map<std::string,
                 std::function<review::awaitable<int>(review::World&)>>
      plays{{"timetable", review::PlayTimetable},
            {"advised-gang", review::PlayAdvisedGang},
            {"far-advice", review::PlayFarAdvice},
            {"release", review::PlayRelease},
            {"advice-burst", review::PlayAdviceBurst},
            {"late-start", review::PlayLateStart}};
  if (argc != kArguments || !plays.contains(argv[1])) {
    std::fprintf(stderr,
                 "usage: review-play NAME TROUBLE PROGRAM FOLDER RECORD\n");
    return kCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const review::PlayOptions options{argv[1], std::string(argv[2]) != "0",
                                    argv[3], argv[4]};
  const auto record = review::Record::Open(argv[5]);
  if (record == nullptr) {
    return kCouldNotRun;
  }
  int status = kCouldNotRun;
  asio::io_context context{1};
  review::World world(context, *record, options);
  asio::co_spawn(context, plays.at(options.name)(world),
                 [&](const std::exception_ptr& error, int result) {
                   status = error ? kCouldNotRun : result;
                   context.stop();
                 });
  context.run_for(kLongest);
  world.KillHosts();
  record->Line("exit status " + std::to_string(status));
  return status;
}
