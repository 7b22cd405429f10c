#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/base/hash.hpp"
#include "cassiastile/config/fleet_reader.hpp"
#include "cassiastile/config/list_edit.hpp"
#include "cassiastile/config/section_edit.hpp"
#include "command.hpp"
#include "documents.hpp"
#include "report.hpp"

namespace cassiastile::operators {

namespace {

namespace po = boost::program_options;

using base::ErrorCode;
using base::Fail;

constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kMaxSecretLength = 1024;

void AddKeyOptions(po::options_description& options) {
  options.add_options()("dry-run", po::bool_switch(),
                        "show what the fleet would do and change nothing")(
      "secret-file", po::value<std::string>()->default_value("-"),
      "where `add` reads the key; - reads standard input");
}

// Reads a key from --secret-file, without the line feed at its end.
base::Result<std::string> ReadSecret(const Invocation& invocation) {
  auto secret = ReadInput(invocation, invocation.Text("secret-file"));
  if (!secret) {
    return secret;
  }
  secret->erase(secret->find_last_not_of("\r\n") + 1);
  const bool is_printable = std::all_of(
      secret->begin(), secret->end(),
      [](char character) { return character > ' ' && character < '\x7F'; });
  if (!is_printable || secret->size() < kMinSecretLength ||
      secret->size() > kMaxSecretLength) {
    return Fail(ErrorCode::kInvalid,
                fmt::format("a key has {} to {} ASCII characters without "
                            "blanks, on one line",
                            kMinSecretLength, kMaxSecretLength));
  }
  return secret;
}

base::Result<std::string> AddKey(const Invocation& invocation,
                                 const std::string& keys) {
  auto secret = ReadSecret(invocation);
  if (!secret) {
    return secret;
  }
  const nlohmann::json team = invocation.Argument(1);
  const nlohmann::json id = invocation.Argument(2);
  return config::AppendItem(
      keys, fmt::format("{{ \"id\": {}, \"team\": {},\n      \"sha256\": "
                        "\"{}\" }}",
                        id.dump(), team.dump(), base::Sha256Hex(*secret)));
}

base::Result<std::string> WithdrawKey(const Invocation& invocation,
                                      const config::Fleet& fleet,
                                      const std::string& keys) {
  const std::string id = invocation.Argument(1);
  const auto found =
      std::find_if(fleet.keys.begin(), fleet.keys.end(),
                   [&id](const config::Key& key) { return key.id == id; });
  if (found == fleet.keys.end()) {
    return Fail(ErrorCode::kNotFound,
                fmt::format("no key has the id \"{}\"", id));
  }
  return config::RemoveItem(
      keys, static_cast<std::size_t>(found - fleet.keys.begin()));
}

// Returns the text of the keys section after `key add` or `key withdraw`.
base::Result<std::string> ChangeKeys(const Invocation& invocation,
                                     const ServedDocument& document) {
  auto keys = config::SectionText(document.text, config::SectionName::kKeys);
  if (!keys) {
    return keys;
  }
  const auto fleet = config::ReadFleet(document.text, "document");
  if (!fleet) {
    return Fail(ErrorCode::kInvalid, "the document in force can't be read");
  }
  return invocation.Argument(0) == "add"
             ? AddKey(invocation, *keys)
             : WithdrawKey(invocation, *fleet, *keys);
}

ExitCode RunKey(const Invocation& invocation) {
  const std::string action = invocation.Argument(0);
  const bool is_valid =
      (action == "add" && invocation.ArgumentCount() == 3) ||
      (action == "withdraw" && invocation.ArgumentCount() == 2);
  if (!is_valid) {
    return ReportUsageError(invocation,
                            "use: key add TEAM ID, or key withdraw ID");
  }
  const auto document = FetchDocument(invocation);
  if (!document) {
    return document.error();
  }
  if (document->version == 0) {
    return ReportInputError(invocation, "there is no document yet");
  }
  const auto keys = ChangeKeys(invocation, *document);
  if (!keys) {
    return ReportInputError(invocation, keys.error().message);
  }
  return SendEdit(invocation, *document,
                  {config::SectionName::kKeys, *keys, "keys"});
}

}  // namespace

std::vector<Command> KeyCommands() {
  Command key;
  key.name = "key";
  key.argument_syntax = "add TEAM ID | withdraw ID";
  key.summary = "give a team a key or withdraw one";
  key.examples =
      "  cassiactl key add brno-region brno-region-key-2 < new-key.txt\n"
      "  cassiactl key withdraw brno-region-key-1 --dry-run\n"
      "Only the digest of a key is sent and kept.\n";
  key.min_arguments = 2;
  key.max_arguments = 3;
  key.add_options = AddKeyOptions;
  key.run = RunKey;
  return {key};
}

}  // namespace cassiastile::operators
