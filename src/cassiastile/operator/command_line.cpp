#include "command_line.hpp"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/config/nearest_name.hpp"

namespace cassiastile::operators {

namespace {

namespace po = boost::program_options;

using base::ErrorCode;
using base::Fail;

constexpr std::string_view kArgumentsOption = "words";

po::options_description GeneralOptions() {
  po::options_description options("General options");
  options.add_options()("config", po::value<std::string>(),
                        "settings file: JSON with comments")(
      "server", po::value<std::vector<std::string>>(),
      "a control process, http://IP:PORT; may be given several times")(
      "key-file", po::value<std::string>(), "file with your key")(
      "timeout-ms", po::value<std::uint32_t>(),
      "how long to wait for an answer")("json", po::bool_switch(),
                                        "print JSON")("help", po::bool_switch(),
                                                      "print help");
  return options;
}

// Separate from the general options because `get` has its own --version, which
// takes a number.
void AddVersionSwitch(po::options_description& options) {
  options.add_options()("version", po::bool_switch(),
                        "print the program's version");
}

po::options_description CommandOptions(const Command& command) {
  po::options_description options("Options");
  if (command.add_options != nullptr) {
    command.add_options(options);
  }
  return options;
}

po::options_description AllOptions(const Command& command) {
  po::options_description options = CommandOptions(command);
  options.add(GeneralOptions());
  if (options.find_nothrow("version", false) == nullptr) {
    AddVersionSwitch(options);
  }
  options.add_options()(kArgumentsOption.data(),
                        po::value<std::vector<std::string>>());
  return options;
}

std::string UsageLine(const Command& command) {
  return fmt::format("usage: cassiactl {}{}{} [OPTIONS]\n", command.name,
                     command.argument_syntax.empty() ? "" : " ",
                     command.argument_syntax);
}

std::vector<Command> CollectCommands() {
  std::vector<Command> all;
  for (const auto& family :
       {CheckCommands(), EditCommands(), KeyCommands(), HistoryCommands(),
        FleetCommands(), TaskCommands()}) {
    all.insert(all.end(), family.begin(), family.end());
  }
  return all;
}

// The first positional argument, which is the command's name; empty if there is
// none.
std::string FirstArgument(const std::vector<std::string>& arguments) {
  po::positional_options_description positions;
  positions.add(kArgumentsOption.data(), -1);
  po::options_description options = GeneralOptions();
  AddVersionSwitch(options);
  options.add_options()(kArgumentsOption.data(),
                        po::value<std::vector<std::string>>());
  const auto parsed = po::command_line_parser(arguments)
                          .options(options)
                          .positional(positions)
                          .allow_unregistered()
                          .run();
  for (const auto& option : parsed.options) {
    if (option.string_key == kArgumentsOption) {
      return option.value.front();
    }
  }
  return "";
}

}  // namespace

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = CollectCommands();
  return commands;
}

base::Result<const Command*> FindCommand(
    const std::vector<std::string>& arguments) {
  std::string name;
  try {
    name = FirstArgument(arguments);
  } catch (const po::error& error) {
    return Fail(ErrorCode::kInvalid, error.what());
  }
  if (name.empty()) {
    return nullptr;
  }
  std::vector<std::string> names;
  for (const Command& command : AllCommands()) {
    if (command.name == name) {
      return &command;
    }
    names.emplace_back(command.name);
  }
  return Fail(ErrorCode::kInvalid,
              fmt::format("\"{}\" is not a command{}", name,
                          config::FormatSuggestion(name, names)));
}

base::Result<ParsedArguments> ParseArguments(
    const Command& command,
    const std::vector<std::string>& arguments) {
  ParsedArguments parsed;
  try {
    po::positional_options_description positions;
    positions.add(kArgumentsOption.data(), -1);
    po::store(po::command_line_parser(arguments)
                  .options(AllOptions(command))
                  .positional(positions)
                  .run(),
              parsed.options);
    po::notify(parsed.options);
  } catch (const po::error& error) {
    return Fail(ErrorCode::kInvalid, error.what());
  }
  const std::string key(kArgumentsOption);
  if (parsed.options.count(key) > 0) {
    parsed.positional_arguments =
        parsed.options[key].as<std::vector<std::string>>();
  }
  if (!parsed.positional_arguments.empty()) {
    parsed.positional_arguments.erase(parsed.positional_arguments.begin());
  }
  return parsed;
}

std::string FormatHelp() {
  std::string text =
      "Checks and edits a fleet document, shows the fleet's state and explains "
      "its decisions.\n\nusage: cassiactl COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command& command : AllCommands()) {
    text += fmt::format("  {:<10}{}\n", command.name, command.summary);
  }
  std::ostringstream options;
  po::options_description general = GeneralOptions();
  AddVersionSwitch(general);
  options << general;
  return text + "\n" + options.str() +
         "\nExit status: 0 done, 1 refused with findings, 2 wrong usage,\n"
         "3 could not reach, or the outcome is unknown.\n"
         "`cassiactl COMMAND --help` shows a command's options and examples.\n";
}

std::string FormatCommandHelp(const Command& command) {
  std::ostringstream options;
  if (command.add_options != nullptr) {
    options << CommandOptions(command) << '\n';
  }
  options << GeneralOptions();
  return fmt::format("{}\n{}{}.\n\n{}\nExamples:\n{}", UsageLine(command),
                     static_cast<char>(std::toupper(command.summary.front())),
                     command.summary.substr(1), options.str(),
                     command.examples);
}

}  // namespace cassiastile::operators
