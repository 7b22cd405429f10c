#include <algorithm>
#include <array>
#include <fstream>

#include <fmt/format.h>

#include "cassiastile/operator/log_explanation.hpp"
#include "command.hpp"
#include "report.hpp"
#include "table.hpp"

namespace cassiastile::operators {

namespace {

constexpr std::array<std::string_view, 4> kWaveActions = {"start", "pause",
                                                          "resume", "abort"};

ExitCode RunStatus(const Invocation& invocation) {
  return ShowOutcome(invocation, invocation.Api().Get("/v1/status"),
                     FormatJson);
}

std::string FormatReason(const nlohmann::json& reason) {
  const std::string section = TextOf(reason, "section");
  std::string text = fmt::format("  because of {}", TextOf(reason, "rule"));
  if (!section.empty()) {
    text += fmt::format(" (section {} of version {})", section,
                        NumberOf(reason, "version"));
  }
  return fmt::format("{}: {}\n", text, TextOf(reason, "observation"));
}

// Formats a recorded decision as plain text.
std::string FormatDecision(const nlohmann::json& body) {
  std::string text = fmt::format(
      "decision {}\n{} of {}{}{}\noutcome: {}\nat: {}\n", TextOf(body, "id"),
      TextOf(body, "kind"), TextOf(body, "subject"),
      TextOf(body, "team").empty() ? "" : " for team ", TextOf(body, "team"),
      TextOf(body, "outcome"), TextOf(body, "at"));
  if (body.is_object() && body.contains("reasons")) {
    for (const auto& reason : body["reasons"]) {
      text += FormatReason(reason);
    }
  }
  return Printable(text, true);
}

// Explains an id from hosts' log files, without a server.
ExitCode ExplainFromLogs(const Invocation& invocation) {
  LogLines lines;
  for (std::size_t i = 1; i < invocation.ArgumentCount(); ++i) {
    const std::string path = invocation.Argument(i);
    if (path == "-") {
      lines.Read(invocation.Streams().in, path);
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      return ReportInputError(invocation,
                              path + " can't be opened for reading");
    }
    lines.Read(file, path);
  }
  lines.Sort();
  const std::string id = invocation.Argument(0);
  const Explanation explanation = ExplainId(lines, id);
  if (explanation.lines.empty()) {
    return ReportInputError(
        invocation,
        fmt::format("{} is in none of {} lines of {} files ({} lines of other "
                    "origin were skipped)",
                    id, lines.LinesRead(), lines.Files().size(),
                    lines.LinesSkipped()));
  }
  if (invocation.WantsJson()) {
    PrintJson(invocation,
              {{"id", id},
               {"cause", base::FindName(kOutcomeCauseNames, explanation.cause)},
               {"reasons", explanation.reasons},
               {"lines", explanation.lines},
               {"lines_read", lines.LinesRead()},
               {"lines_skipped", lines.LinesSkipped()}});
  } else {
    invocation.Streams().out
        << Printable(FormatExplanation(explanation, id), true);
  }
  return ExitCode::kDone;
}

ExitCode RunExplain(const Invocation& invocation) {
  if (invocation.ArgumentCount() > 1) {
    return ExplainFromLogs(invocation);
  }
  const std::string path =
      "/v1/decisions/" + PercentEncode(invocation.Argument(0));
  return ShowOutcome(invocation, invocation.Api().Get(path), FormatDecision);
}

ExitCode RunWave(const Invocation& invocation) {
  const std::string path = "/v1/waves/" + PercentEncode(invocation.Argument(0));
  const std::string action = invocation.Argument(1);
  if (action == "status") {
    return ShowOutcome(invocation, invocation.Api().Get(path), FormatJson);
  }
  if (std::find(kWaveActions.begin(), kWaveActions.end(), action) ==
      kWaveActions.end()) {
    return ReportUsageError(invocation,
                            "use: wave NAME status|start|pause|resume|abort");
  }
  return ShowOutcome(
      invocation,
      invocation.Api().Post(path + "/" + action, nlohmann::json::object()),
      FormatJson);
}

ExitCode PostHostAction(const Invocation& invocation, std::string_view action) {
  const std::string path = fmt::format(
      "/v1/hosts/{}/{}", PercentEncode(invocation.Argument(0)), action);
  return ShowOutcome(invocation,
                     invocation.Api().Post(path, nlohmann::json::object()),
                     FormatJson);
}

ExitCode RunDrain(const Invocation& invocation) {
  return PostHostAction(invocation, "drain");
}

ExitCode RunReturn(const Invocation& invocation) {
  return PostHostAction(invocation, "return");
}

Command MakeCommand(std::string_view name,
                    std::string_view argument_syntax,
                    std::string_view summary,
                    std::string_view examples) {
  Command command;
  command.name = name;
  command.argument_syntax = argument_syntax;
  command.summary = summary;
  command.examples = examples;
  return command;
}

// Sets the number of arguments that the command takes and its handler.
Command WithRun(Command command,
                std::size_t argument_count,
                ExitCode (*run)(const Invocation&)) {
  command.min_arguments = argument_count;
  command.max_arguments = argument_count;
  command.run = run;
  return command;
}

Command ExplainCommand() {
  Command command = WithRun(
      MakeCommand("explain", "ID [LOG...]",
                  "say why a refusal, placement or change was made, from a "
                  "server or from hosts' logs",
                  "  cassiactl explain 5f0c62b1a90d4e77\n"
                  "  cassiactl explain 5c0e7a21d94b36f8 host-*.log\n"
                  "  zcat logs.gz | cassiactl explain 5c0e7a21d94b36f8 -\n"),
      1, RunExplain);
  command.max_arguments = SIZE_MAX;
  command.files_after = 1;
  return command;
}

}  // namespace

std::vector<Command> FleetCommands() {
  return {
      WithRun(MakeCommand("status", "",
                          "show members, versions, pools, waves and queues",
                          "  cassiactl status\n  cassiactl status --json\n"),
              0, RunStatus),
      ExplainCommand(),
      WithRun(MakeCommand("wave", "NAME status|start|pause|resume|abort",
                          "show or steer a maintenance wave",
                          "  cassiactl wave kernel-winter start\n"
                          "  cassiactl wave kernel-winter status --json\n"),
              2, RunWave),
      WithRun(MakeCommand("drain", "HOST",
                          "take a host out of service once its work has ended",
                          "  cassiactl drain entries-03\n"),
              1, RunDrain),
      WithRun(MakeCommand("return", "HOST", "put a drained host back to work",
                          "  cassiactl return entries-03\n"),
              1, RunReturn),
  };
}

}  // namespace cassiastile::operators
