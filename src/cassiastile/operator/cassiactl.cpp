#include "cassiastile/operator/cassiactl.hpp"

#include <ostream>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/config/settings.hpp"
#include "cassiastile/config/text_file.hpp"
#include "command_line.hpp"

namespace cassiastile::operators {

namespace {

using base::ErrorCode;
using base::Fail;

constexpr std::string_view kVersionLine = "cassiactl 0.1.0\n";
constexpr std::uint32_t kDefaultTimeoutMs = 10000;
constexpr std::uint32_t kMaxTimeoutMs = 600000;

// The servers to call, the file of the key and the timeout. Options on the
// command line override the settings file.
struct Connection {
  std::vector<std::string> servers;
  std::string key_file;
  std::int64_t timeout_ms = kDefaultTimeoutMs;
};

base::Result<Connection> LoadConnection(const std::string& path) {
  auto settings = config::Settings::Load(path);
  if (!settings) {
    return Fail(ErrorCode::kInvalid, base::FormatFindings(settings.error()));
  }
  Connection connection;
  connection.servers = settings->TextList("servers");
  connection.key_file = settings->Text("key_file", "");
  connection.timeout_ms =
      settings->Number("timeout_ms", kDefaultTimeoutMs, 1, kMaxTimeoutMs);
  const base::Findings findings = settings->Finish();
  if (!findings.empty()) {
    return Fail(ErrorCode::kInvalid, base::FormatFindings(findings));
  }
  return connection;
}

template <typename Value>
void Override(const ParsedArguments& arguments,
              const std::string& name,
              Value& value) {
  if (arguments.options.count(name) > 0) {
    value = arguments.options[name].as<Value>();
  }
}

base::Result<Connection> FindConnection(const ParsedArguments& arguments) {
  std::string file;
  Override(arguments, "config", file);
  base::Result<Connection> connection =
      file.empty() ? Connection{} : LoadConnection(file);
  if (!connection) {
    return connection;
  }
  auto timeout = static_cast<std::uint32_t>(connection->timeout_ms);
  Override(arguments, "server", connection->servers);
  Override(arguments, "key-file", connection->key_file);
  Override(arguments, "timeout-ms", timeout);
  connection->timeout_ms = timeout;
  return connection;
}

base::Result<std::string> ReadKey(const std::string& path) {
  return config::ReadTextFile(path).map([](std::string key) {
    key.erase(key.find_last_not_of(" \r\n") + 1);
    return key;
  });
}

base::Result<std::unique_ptr<ApiClient>> Connect(
    const ParsedArguments& arguments) {
  auto connection = FindConnection(arguments);
  if (!connection) {
    return tl::make_unexpected(connection.error());
  }
  if (connection->servers.empty() || connection->key_file.empty()) {
    return Fail(ErrorCode::kInvalid,
                "give --server http://IP:PORT and --key-file FILE, or a "
                "settings file with \"servers\" and \"key_file\" by --config");
  }
  const auto key = ReadKey(connection->key_file);
  if (!key) {
    return tl::make_unexpected(key.error());
  }
  return std::make_unique<ApiClient>(
      ApiOptions{std::move(connection->servers), *key,
                 std::chrono::milliseconds(connection->timeout_ms)});
}

ExitCode RefuseUsage(const Console& console, const std::string& message) {
  console.err << message << (message.ends_with('\n') ? "" : "\n")
              << "see `cassiactl --help`\n";
  return ExitCode::kUsage;
}

// Whether a switch is set. Checks the type because the --version of `get` takes
// a number.
bool IsSet(const ParsedArguments& arguments, const std::string& name) {
  if (arguments.options.count(name) == 0) {
    return false;
  }
  const auto* value = boost::any_cast<bool>(&arguments.options[name].value());
  return value != nullptr && *value;
}

ExitCode RunCommand(const Command& command,
                    ParsedArguments arguments,
                    const Console& console) {
  const std::size_t count = arguments.positional_arguments.size();
  if (count < command.min_arguments || count > command.max_arguments) {
    return RefuseUsage(console,
                       fmt::format("usage: cassiactl {} {}", command.name,
                                   command.argument_syntax));
  }
  std::unique_ptr<ApiClient> api;
  const bool reads_files =
      arguments.positional_arguments.size() > command.files_after;
  if (command.calls_server && !reads_files) {
    auto connected = Connect(arguments);
    if (!connected) {
      return RefuseUsage(console, connected.error().message);
    }
    api = std::move(*connected);
  }
  const Invocation invocation(console, std::move(arguments.options),
                              std::move(arguments.positional_arguments),
                              std::move(api));
  return command.run(invocation);
}

// Handles --help and --version without a command.
ExitCode RunWithoutCommand(const std::vector<std::string>& arguments,
                           const Console& console) {
  for (const std::string& argument : arguments) {
    if (argument == "--help") {
      console.out << FormatHelp();
      return ExitCode::kDone;
    }
    if (argument == "--version") {
      console.out << kVersionLine;
      return ExitCode::kDone;
    }
  }
  console.err << FormatHelp();
  return ExitCode::kUsage;
}

}  // namespace

ExitCode RunCassiactl(const std::vector<std::string>& arguments,
                      const Console& console) {
  const auto command = FindCommand(arguments);
  if (!command) {
    return RefuseUsage(console, command.error().message);
  }
  if (*command == nullptr) {
    return RunWithoutCommand(arguments, console);
  }
  auto parsed = ParseArguments(**command, arguments);
  if (!parsed) {
    return RefuseUsage(console, parsed.error().message);
  }
  if (IsSet(*parsed, "help")) {
    console.out << FormatCommandHelp(**command);
    return ExitCode::kDone;
  }
  if (IsSet(*parsed, "version")) {
    console.out << kVersionLine;
    return ExitCode::kDone;
  }
  return RunCommand(**command, std::move(*parsed), console);
}

}  // namespace cassiastile::operators
