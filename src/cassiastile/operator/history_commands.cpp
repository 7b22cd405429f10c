#include <charconv>
#include <ostream>

#include <fmt/format.h>

#include "cassiastile/config/diff.hpp"
#include "cassiastile/config/fleet_reader.hpp"
#include "command.hpp"
#include "documents.hpp"
#include "report.hpp"
#include "table.hpp"

namespace cassiastile::operators {

namespace {

namespace po = boost::program_options;

constexpr std::size_t kDigestDigits = 64;
constexpr std::size_t kDigestDigitsInTables = 12;

std::optional<std::uint64_t> ReadVersion(const std::string& text) {
  std::uint64_t version = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, version);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  return whole && version > 0 ? std::optional(version) : std::nullopt;
}

// Shortens a digest for tables; other text stays as it is.
std::string ShortenDigest(const std::string& text) {
  const bool is_digest =
      text.size() == kDigestDigits &&
      text.find_first_not_of("0123456789abcdef") == std::string::npos;
  return is_digest ? text.substr(0, kDigestDigitsInTables) : text;
}

// A document and its label in a diff.
struct LabelledDocument {
  std::string label;
  std::string text;
};

ExitCode ShowDiff(const Invocation& invocation,
                  const LabelledDocument& before,
                  const LabelledDocument& after) {
  const std::string diff =
      config::UnifiedDiff(before.text, after.text, before.label, after.label);
  const auto old_fleet = config::ReadFleet(before.text, before.label);
  const auto new_fleet = config::ReadFleet(after.text, after.label);
  const config::FleetChange change =
      old_fleet && new_fleet ? config::CompareFleets(*old_fleet, *new_fleet)
                             : config::FleetChange{};
  if (invocation.WantsJson()) {
    PrintJson(invocation, {{"diff", diff}, {"change", config::ToJson(change)}});
    return ExitCode::kDone;
  }
  invocation.Streams().out << Printable(diff, true);
  if (!new_fleet) {
    return ReportFindings(invocation, new_fleet.error());
  }
  if (old_fleet) {
    invocation.Streams().out << Printable(config::DescribeChange(change), true);
  }
  return ExitCode::kDone;
}

ExitCode DiffVersions(const Invocation& invocation) {
  const auto from = ReadVersion(invocation.Argument(0));
  const auto to = ReadVersion(invocation.Argument(1));
  if (!from || !to) {
    return ReportUsageError(invocation, "versions are whole numbers from 1");
  }
  const auto before = FetchDocument(invocation, *from);
  if (!before) {
    return before.error();
  }
  const auto after = FetchDocument(invocation, *to);
  if (!after) {
    return after.error();
  }
  return ShowDiff(invocation, {fmt::format("version {}", *from), before->text},
                  {fmt::format("version {}", *to), after->text});
}

ExitCode DiffFile(const Invocation& invocation) {
  const std::string file = invocation.Argument(0);
  const auto text = ReadInput(invocation, file);
  if (!text) {
    return ReportInputError(invocation, text.error().message);
  }
  const auto document = FetchDocument(invocation);
  if (!document) {
    return document.error();
  }
  return ShowDiff(
      invocation,
      {fmt::format("version {}", document->version), document->text},
      {file, *text});
}

ExitCode RunDiff(const Invocation& invocation) {
  return invocation.ArgumentCount() == 2 ? DiffVersions(invocation)
                                         : DiffFile(invocation);
}

std::string FormatHistory(const nlohmann::json& body) {
  Table table({"version", "by", "at", "sections", "digest"});
  if (body.is_object() && body.contains("versions")) {
    for (const auto& row : body["versions"]) {
      table.Add({std::to_string(NumberOf(row, "version")), TextOf(row, "by"),
                 TextOf(row, "at"),
                 row.contains("sections") ? FormatCell(row["sections"]) : "-",
                 TextOf(row, "digest").substr(0, kDigestDigitsInTables)});
    }
  }
  return table.Format();
}

ExitCode RunHistory(const Invocation& invocation) {
  return ShowOutcome(invocation, invocation.Api().Get("/v1/config/history"),
                     FormatHistory);
}

void AddAuditOptions(po::options_description& options) {
  options.add_options()("since", po::value<std::string>(),
                        "only changes from this time on, in UTC, such as "
                        "2026-12-03T21:00")("section", po::value<std::string>(),
                                            "only changes of this section");
}

std::string AuditPath(const Invocation& invocation) {
  std::string path = "/v1/audit";
  char separator = '?';
  for (const char* name : {"since", "section"}) {
    const std::string value = invocation.Text(name);
    if (!value.empty()) {
      path += fmt::format("{}{}={}", separator, name, PercentEncode(value));
      separator = '&';
    }
  }
  return path;
}

std::string FormatAudit(const nlohmann::json& body) {
  Table table({"sequence", "at", "who", "what", "version", "sections", "detail",
               "hash"});
  if (body.is_object() && body.contains("rows")) {
    for (const auto& row : body["rows"]) {
      table.Add({std::to_string(NumberOf(row, "sequence")), TextOf(row, "at"),
                 TextOf(row, "who"), TextOf(row, "what"),
                 std::to_string(NumberOf(row, "version")),
                 row.contains("sections") ? FormatCell(row["sections"]) : "-",
                 ShortenDigest(TextOf(row, "detail")),
                 ShortenDigest(TextOf(row, "hash"))});
    }
  }
  return table.Format() +
         fmt::format("chain: {}\n", Printable(TextOf(body, "chain")));
}

// Returns kRefused if the hash chain is broken, which means that the
// recorded history of changes was edited.
ExitCode RunAudit(const Invocation& invocation) {
  const ApiOutcome outcome = invocation.Api().Get(AuditPath(invocation));
  const ExitCode code = ShowOutcome(invocation, outcome, FormatAudit);
  if (code == ExitCode::kDone && TextOf(outcome->body, "chain") != "ok") {
    return ExitCode::kRefused;
  }
  return code;
}

Command MakeDiff() {
  Command diff;
  diff.name = "diff";
  diff.argument_syntax = "FILE | N M";
  diff.summary = "show what differs from the version in force, or between two";
  diff.examples =
      "  cassiactl diff fleet.jsonc\n"
      "  cassiactl diff 7 9\n";
  diff.min_arguments = 1;
  diff.max_arguments = 2;
  diff.run = RunDiff;
  return diff;
}

Command MakeAudit() {
  Command audit;
  audit.name = "audit";
  audit.summary = "print the chain of changes and whether it is unbroken";
  audit.examples =
      "  cassiactl audit --since 2026-12-03T21:00 --section keys\n"
      "  cassiactl audit --json\n"
      "Ends with 1 when the chain is broken.\n";
  audit.add_options = AddAuditOptions;
  audit.run = RunAudit;
  return audit;
}

Command MakeHistory() {
  Command history;
  history.name = "history";
  history.summary = "list the accepted versions";
  history.examples = "  cassiactl history\n";
  history.run = RunHistory;
  return history;
}

}  // namespace

std::vector<Command> HistoryCommands() {
  return {MakeDiff(), MakeHistory(), MakeAudit()};
}

}  // namespace cassiastile::operators
