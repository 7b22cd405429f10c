#include <ostream>

#include <fmt/format.h>

#include "cassiastile/config/fleet_reader.hpp"
#include "command.hpp"
#include "documents.hpp"
#include "report.hpp"

namespace cassiastile::operators {

namespace {

ExitCode RunCheck(const Invocation& invocation) {
  const std::string file = invocation.Argument(0);
  const auto text = ReadInput(invocation, file);
  if (!text) {
    return ReportFindings(invocation,
                          {{{file, 0, 0}, "", text.error().message}});
  }
  const auto fleet = config::ReadFleet(*text, file);
  if (!fleet) {
    return ReportFindings(invocation, fleet.error());
  }
  if (invocation.WantsJson()) {
    PrintJson(invocation, {{"findings", nlohmann::json::array()}});
  } else {
    invocation.Streams().out << fmt::format(
        "{}: fleet {} with {} pools, {} services, {} queues, {} teams and {} "
        "waves is sound\n",
        file, fleet->name, fleet->pools.size(), fleet->services.size(),
        fleet->queues.size(), fleet->teams.size(), fleet->waves.size());
  }
  return ExitCode::kDone;
}

}  // namespace

std::vector<Command> CheckCommands() {
  Command check;
  check.name = "check";
  check.argument_syntax = "FILE";
  check.summary = "check a document without a server and print all findings";
  check.examples =
      "  cassiactl check fleet.jsonc\n"
      "  cassiactl check --json - < fleet.jsonc\n";
  check.min_arguments = 1;
  check.max_arguments = 1;
  check.calls_server = false;
  check.run = RunCheck;
  return {check};
}

}  // namespace cassiastile::operators
