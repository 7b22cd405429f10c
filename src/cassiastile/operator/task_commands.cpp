#include <ostream>

#include <fmt/format.h>

#include "cassiastile/base/random.hpp"
#include "command.hpp"
#include "documents.hpp"
#include "report.hpp"
#include "table.hpp"

namespace cassiastile::operators {

namespace {

namespace po = boost::program_options;

void AddSubmitOptions(po::options_description& options) {
  options.add_options()("id", po::value<std::string>(),
                        "the task's id; a queue takes an id once")(
      "kind", po::value<std::string>()->default_value("task"),
      "what sort of work it is; run times are learnt by kind")(
      "cores", po::value<std::uint32_t>()->default_value(1), "cores needed")(
      "memory-gb", po::value<std::uint32_t>()->default_value(1),
      "memory needed in GB")("accelerators",
                             po::value<std::uint32_t>()->default_value(0),
                             "accelerators needed")(
      "seconds", po::value<std::uint32_t>()->default_value(60),
      "how long it is thought to run")(
      "idempotent", po::bool_switch(),
      "it may run again when a worker is lost")(
      "payload", po::value<std::string>()->default_value(""),
      "what the worker is given")("payload-file", po::value<std::string>(),
                                  "the same from a file; - reads standard "
                                  "input");
}

std::string QueueTasksPath(const Invocation& invocation) {
  return fmt::format("/v1/queues/{}/tasks",
                     PercentEncode(invocation.Argument(0)));
}

std::string TaskPath(const Invocation& invocation) {
  return fmt::format("{}/{}", QueueTasksPath(invocation),
                     PercentEncode(invocation.Argument(1)));
}

base::Result<std::string> ReadPayload(const Invocation& invocation) {
  const std::string file = invocation.Text("payload-file");
  if (file.empty()) {
    return invocation.Text("payload");
  }
  return ReadInput(invocation, file);
}

std::string MakeTaskId() {
  base::Random random = base::MakeRandom();
  return base::MakeId(random);
}

nlohmann::json MakeTaskJson(const Invocation& invocation,
                            const std::string& id,
                            const std::string& payload) {
  const auto number = [&invocation](const char* name) {
    return invocation.Option<std::uint32_t>(name).value_or(0);
  };
  return {{"id", id},
          {"kind", invocation.Text("kind")},
          {"cores", number("cores")},
          {"memory_gb", number("memory-gb")},
          {"accelerators", number("accelerators")},
          {"seconds", number("seconds")},
          {"idempotent", invocation.Flag("idempotent")},
          {"payload", payload}};
}

ExitCode RunSubmit(const Invocation& invocation) {
  const auto payload = ReadPayload(invocation);
  if (!payload) {
    return ReportInputError(invocation, payload.error().message);
  }
  const std::string given = invocation.Text("id");
  const std::string id = given.empty() ? MakeTaskId() : given;
  const ApiOutcome outcome = invocation.Api().Post(
      QueueTasksPath(invocation), MakeTaskJson(invocation, id, *payload));
  const ExitCode code = ShowOutcome(invocation, outcome, FormatJson);
  if (code == ExitCode::kUnreachable) {
    invocation.Streams().err << fmt::format(
        "submit it again with --id {}: a queue takes an id once\n", id);
  }
  return code;
}

ExitCode RunShowTask(const Invocation& invocation) {
  return ShowOutcome(invocation, invocation.Api().Get(TaskPath(invocation)),
                     FormatJson);
}

ExitCode RunCancel(const Invocation& invocation) {
  return ShowOutcome(invocation, invocation.Api().Delete(TaskPath(invocation)),
                     FormatJson);
}

Command MakeSubmit() {
  Command submit;
  submit.name = "submit";
  submit.argument_syntax = "QUEUE";
  submit.summary = "hand a task to a queue (with a team's key)";
  submit.examples =
      "  cassiactl submit brno-late-entries --id entry-417 --kind register "
      "\\\n"
      "      --seconds 30 --payload '{\"band\": 417}'\n";
  submit.min_arguments = 1;
  submit.max_arguments = 1;
  submit.add_options = AddSubmitOptions;
  submit.run = RunSubmit;
  return submit;
}

Command MakeTaskCommand(std::string_view name,
                        std::string_view summary,
                        std::string_view examples,
                        ExitCode (*run)(const Invocation&)) {
  Command command;
  command.name = name;
  command.argument_syntax = "QUEUE ID";
  command.summary = summary;
  command.examples = examples;
  command.min_arguments = 2;
  command.max_arguments = 2;
  command.run = run;
  return command;
}

}  // namespace

std::vector<Command> TaskCommands() {
  return {MakeSubmit(),
          MakeTaskCommand("task", "show a task",
                          "  cassiactl task brno-late-entries entry-417\n",
                          RunShowTask),
          MakeTaskCommand("cancel", "cancel a task that has not ended",
                          "  cassiactl cancel brno-late-entries entry-417\n",
                          RunCancel)};
}

}  // namespace cassiastile::operators
