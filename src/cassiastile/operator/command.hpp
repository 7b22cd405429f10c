#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "api_client.hpp"
#include "cassiastile/base/findings.hpp"
#include "cassiastile/operator/cassiactl.hpp"

namespace cassiastile::operators {

// One run of a command: its positional arguments, its options, the API client
// and the streams.
class Invocation {
 public:
  Invocation(const Console& console,
             boost::program_options::variables_map options,
             std::vector<std::string> arguments,
             std::unique_ptr<ApiClient> api)
      : m_console(console),
        m_options(std::move(options)),
        m_arguments(std::move(arguments)),
        m_api(std::move(api)) {}

  const Console& Streams() const { return m_console; }
  // Only for a run that calls a server; see Command.
  const ApiClient& Api() const { return *m_api; }
  bool WantsJson() const { return Flag("json"); }

  // The positional argument at `index` after the command's name; empty if there
  // is none.
  std::string Argument(std::size_t index) const {
    return index < m_arguments.size() ? m_arguments[index] : "";
  }
  std::size_t ArgumentCount() const { return m_arguments.size(); }

  // Whether a switch is set.
  bool Flag(const std::string& name) const {
    return m_options.count(name) > 0 && m_options[name].as<bool>();
  }
  // The value of a text option; empty if it is absent.
  std::string Text(const std::string& name) const {
    return Option<std::string>(name).value_or("");
  }
  // The value of an option, which must have been declared with this type.
  template <typename Value>
  std::optional<Value> Option(const std::string& name) const {
    if (m_options.count(name) == 0) {
      return std::nullopt;
    }
    return m_options[name].as<Value>();
  }

 private:
  const Console& m_console;
  boost::program_options::variables_map m_options;
  std::vector<std::string> m_arguments;
  std::unique_ptr<ApiClient> m_api;
};

// A command of cassiactl: how it is parsed, documented and run.
struct Command {
  std::string_view name;
  std::string_view argument_syntax;  // As shown in the usage line.
  std::string_view summary;
  std::string_view examples;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  bool calls_server = true;
  // With more arguments than this, the further ones are files that the command
  // reads instead of calling a server.
  std::size_t files_after = SIZE_MAX;
  void (*add_options)(boost::program_options::options_description&) = nullptr;
  ExitCode (*run)(const Invocation&) = nullptr;
};

// The commands of each source file, in the order of the help text.
std::vector<Command> CheckCommands();
std::vector<Command> EditCommands();
std::vector<Command> KeyCommands();
std::vector<Command> HistoryCommands();
std::vector<Command> FleetCommands();
std::vector<Command> TaskCommands();

}  // namespace cassiastile::operators
