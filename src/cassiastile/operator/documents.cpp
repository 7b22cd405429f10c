#include "documents.hpp"

#include <algorithm>
#include <istream>

#include <fmt/format.h>

#include "cassiastile/config/diff.hpp"
#include "cassiastile/config/fleet_reader.hpp"
#include "cassiastile/config/positioned_json.hpp"
#include "cassiastile/config/section_edit.hpp"
#include "cassiastile/config/text_file.hpp"
#include "report.hpp"
#include "table.hpp"

namespace cassiastile::operators {

namespace {

constexpr int kStatusNotFound = 404;

std::size_t CountLines(std::string_view text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

// Where a section's text stands in the document, and where the same text starts
// in the operator's file. Lines and columns count from 1.
struct SectionPosition {
  std::size_t line = 0;
  std::size_t column = 0;
  std::size_t last_line = 0;
  std::size_t line_in_file = 1;
  std::size_t column_in_file = 1;
};

SectionPosition LocateSection(const std::string& document,
                              const SectionEdit& edit) {
  SectionPosition position;
  const auto parsed = config::ParsePositionedJson(document, "document");
  if (!parsed) {
    return position;
  }
  const base::TextPosition start =
      config::FindTextPosition(*parsed, config::NameOf(edit.section));
  const std::size_t first =
      std::min(edit.text.find_first_not_of(" \t\r\n"), edit.text.size());
  const std::size_t last = edit.text.find_last_not_of(" \t\r\n");
  const std::string_view lead = std::string_view(edit.text).substr(0, first);
  position.line = start.line;
  position.column = start.column;
  position.last_line =
      start.line +
      CountLines(std::string_view(edit.text).substr(first, last + 1 - first));
  position.line_in_file = 1 + CountLines(lead);
  position.column_in_file = first - (lead.rfind('\n') + 1) + 1;
  return position;
}

// Maps the position of a finding inside the section from the document to the
// edit's file; findings elsewhere stay as they are.
void Relocate(base::Finding& finding,
              const SectionPosition& section,
              const SectionEdit& edit) {
  base::TextPosition& position = finding.position;
  const bool before =
      position.line < section.line ||
      (position.line == section.line && position.column < section.column);
  if (before || position.line > section.last_line) {
    return;
  }
  if (position.line == section.line) {
    position.column += section.column_in_file;
    position.column -= section.column;
  }
  position.line += section.line_in_file;
  position.line -= section.line;
  position.file = edit.file;
}

std::string FormatChange(const nlohmann::json& body) {
  std::string text = "nothing was changed; the fleet would do this:\n";
  if (body.contains("change")) {
    for (const auto& member : body["change"].items()) {
      const bool is_nonempty = !member.value().empty();
      text += is_nonempty ? FormatJson({{member.key(), member.value()}}) : "";
    }
  }
  return text + Printable(TextOf(body, "diff"), true);
}

std::string FormatEditResult(const nlohmann::json& body) {
  if (body.is_object() && body.contains("dry_run")) {
    return FormatChange(body);
  }
  const std::uint64_t version = NumberOf(body, "version");
  const bool some_missing =
      body.contains("missing") && !body["missing"].empty();
  const std::string missing =
      some_missing ? FormatCell(body["missing"]) : "nobody";
  if (TextOf(body, "state") != "pending") {
    return some_missing
               ? fmt::format(
                     "version {} is accepted; {} did not acknowledge "
                     "it in time and may act on no older one\n",
                     version, missing)
               : fmt::format("version {} is accepted and in force everywhere\n",
                             version);
  }
  return fmt::format(
      "version {} is committed and pending: not yet acknowledged by {}\n",
      version, missing);
}

nlohmann::json MakeBody(const Invocation& invocation,
                        const std::string& text,
                        std::uint64_t base_version) {
  return {{"text", text},
          {"base_version", base_version},
          {"dry_run", invocation.Flag("dry-run")}};
}

}  // namespace

tl::expected<ServedDocument, ExitCode> FetchDocument(
    const Invocation& invocation,
    std::optional<std::uint64_t> version) {
  const std::string path =
      version ? fmt::format("/v1/config?version={}", *version) : "/v1/config";
  const ApiOutcome outcome = invocation.Api().Get(path);
  if (!version && outcome && outcome->status == kStatusNotFound) {
    return ServedDocument{};
  }
  const ExitCode code = ReportOutcome(invocation, outcome);
  if (code != ExitCode::kDone) {
    return tl::make_unexpected(code);
  }
  return ServedDocument{NumberOf(outcome->body, "version"),
                        TextOf(outcome->body, "text")};
}

base::Result<std::string> ReadInput(const Invocation& invocation,
                                    const std::string& path) {
  return path == "-" ? config::ReadText(invocation.Streams().in)
                     : config::ReadTextFile(path);
}

base::Findings CheckEdit(const ServedDocument& document,
                         const SectionEdit& edit) {
  const auto text =
      config::ReplaceSection(document.text, edit.section, edit.text);
  if (!text) {
    const auto syntax = config::ParsePositionedJson(edit.text, edit.file);
    return syntax ? base::Findings{{{edit.file, 1, 1},
                                    std::string(config::NameOf(edit.section)),
                                    text.error().message}}
                  : syntax.error();
  }
  const auto fleet =
      config::ReadFleet(*text, fmt::format("document-{}", document.version));
  if (fleet) {
    return {};
  }
  base::Findings findings = fleet.error();
  const SectionPosition position = LocateSection(*text, edit);
  for (base::Finding& finding : findings) {
    Relocate(finding, position, edit);
  }
  return findings;
}

ExitCode SendEdit(const Invocation& invocation,
                  const ServedDocument& document,
                  const SectionEdit& edit) {
  const base::Findings findings = CheckEdit(document, edit);
  if (!findings.empty()) {
    return ReportFindings(invocation, findings);
  }
  const std::string path =
      fmt::format("/v1/config/sections/{}", config::NameOf(edit.section));
  const ApiOutcome outcome = invocation.Api().Post(
      path, MakeBody(invocation, edit.text, document.version));
  return ShowOutcome(invocation, outcome, FormatEditResult);
}

ExitCode SendDocument(const Invocation& invocation,
                      const std::string& text,
                      std::uint64_t base_version) {
  const ApiOutcome outcome = invocation.Api().Post(
      "/v1/config", MakeBody(invocation, text, base_version));
  return ShowOutcome(invocation, outcome, FormatEditResult);
}

}  // namespace cassiastile::operators
