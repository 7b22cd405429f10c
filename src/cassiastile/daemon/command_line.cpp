#include "cassiastile/daemon/command_line.hpp"

#include <iostream>

#include <boost/program_options.hpp>

#include "cassiastile/base/version.hpp"

namespace cassiastile::daemon {

namespace {

namespace options = boost::program_options;

// The description stores parsed values in `command_line`, which must outlive
// it.
options::options_description DescribeOptions(CommandLineOptions& command_line) {
  options::options_description description("Options");
  description.add_options()                                      //
      ("help,h", "print this help")                              //
      ("version", "print the version")                           //
      ("config,c", options::value(&command_line.settings_path),  //
       "file of settings, in JSON with comments")                //
      ("log-level", options::value(&command_line.log_level),     //
       "debug, info, warn or error")                             //
      ("check", options::bool_switch(&command_line.check_only),  //
       "report findings on the settings and end");
  return description;
}

void PrintHelp(const Program& program,
               const options::options_description& description) {
  std::cout << program.name << ": " << program.summary << "\n\n"
            << "usage: " << program.name << " --config FILE\n\n"
            << description << "\nExit status: 0 done, 1 refused with findings, "
            << "2 wrong usage, 3 could not start.\n\nExample:\n  "
            << program.name << " --config " << program.name
            << ".jsonc --log-level debug\n";
}

EarlyExit ReportWrongUsage(const Program& program, const std::string& reason) {
  std::cerr << program.name << ": " << reason << "; see --help\n";
  return {kExitUsage};
}

}  // namespace

std::variant<CommandLineOptions, EarlyExit>
ReadCommandLine(const Program& program, int argc, const char* const* argv) {
  CommandLineOptions command_line;
  const options::options_description description =
      DescribeOptions(command_line);
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    return ReportWrongUsage(program, error.what());
  }
  if (values.count("help") > 0) {
    PrintHelp(program, description);
    return EarlyExit{kExitSuccess};
  }
  if (values.count("version") > 0) {
    std::cout << program.name << ' ' << base::kVersion << '\n';
    return EarlyExit{kExitSuccess};
  }
  if (command_line.settings_path.empty()) {
    return ReportWrongUsage(program, "--config FILE is missing");
  }
  return command_line;
}

}  // namespace cassiastile::daemon
