#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options.hpp>

#include "cassiastile/base/error.hpp"
#include "command.hpp"

namespace cassiastile::operators {

// Returns all commands in the order of the help text.
const std::vector<Command>& AllCommands();

// Finds the command that the arguments name; null if they name none. Fails if
// the name or a general option is invalid, with a message for the operator.
base::Result<const Command*> FindCommand(
    const std::vector<std::string>& arguments);

// The options of a command and the positional arguments after its name.
struct ParsedArguments {
  boost::program_options::variables_map options;
  std::vector<std::string> positional_arguments;
};

// Parses the arguments of `command`. Fails if an option is unknown or its value
// is invalid; doesn't check the number of arguments.
base::Result<ParsedArguments> ParseArguments(
    const Command& command,
    const std::vector<std::string>& arguments);

// The help texts of the program and of one command.
std::string FormatHelp();
std::string FormatCommandHelp(const Command& command);

}  // namespace cassiastile::operators
