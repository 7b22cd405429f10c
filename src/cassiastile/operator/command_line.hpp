#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options.hpp>

#include "cassiastile/base/error.hpp"
#include "command.hpp"

namespace cassiastile::operators {

// All commands in the order of the help text.
const std::vector<Command>& AllCommands();

// The command that the arguments name, null when they name none. The message of
// an error says what is wrong with them.
base::Result<const Command*> FindCommand(
    const std::vector<std::string>& arguments);

// The options and words after the command's name.
struct ParsedArguments {
  boost::program_options::variables_map options;
  std::vector<std::string> words;
};

base::Result<ParsedArguments> ParseArguments(
    const Command& command,
    const std::vector<std::string>& arguments);

// The help of the program and of one command.
std::string FormatHelp();
std::string FormatCommandHelp(const Command& command);

}  // namespace cassiastile::operators
