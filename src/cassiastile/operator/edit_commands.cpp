#include <ostream>

#include <fmt/format.h>

#include "cassiastile/config/diff.hpp"
#include "cassiastile/config/fleet_reader.hpp"
#include "cassiastile/config/section_edit.hpp"
#include "command.hpp"
#include "documents.hpp"
#include "report.hpp"

namespace cassiastile::operators {

namespace {

namespace po = boost::program_options;

constexpr int kStatusForbidden = 403;
constexpr int kStatusNotFound = 404;

void AddEditOptions(po::options_description& options) {
  options.add_options()("dry-run", po::bool_switch(),
                        "show what the fleet would do and change nothing")(
      "base", po::value<std::uint64_t>(),
      "the version that the text was read at");
}

void AddSectionOptions(po::options_description& options) {
  AddEditOptions(options);
  options.add_options()("file", po::value<std::string>()->default_value("-"),
                        "the section's new text; - reads standard input");
}

void AddGetOptions(po::options_description& options) {
  options.add_options()("version", po::value<std::uint64_t>(),
                        "an earlier version in place of the one in force");
}

// The version that `put` replaces.
struct PutBase {
  std::uint64_t version = 0;
  bool is_unchanged = false;  // The text in force equals the new text.
};

// Finds the version that a whole document replaces: --base, or 0 if there is no
// document yet. Until there is a document, there are no operators, so reading
// it is denied with 403; the server refuses version 0 if there is a document
// after all.
tl::expected<PutBase, ExitCode> FindBaseVersion(const Invocation& invocation,
                                                const std::string& text) {
  if (const auto base = invocation.Option<std::uint64_t>("base")) {
    return PutBase{*base, false};
  }
  const ApiOutcome outcome = invocation.Api().Get("/v1/config");
  if (outcome && (outcome->status == kStatusForbidden ||
                  outcome->status == kStatusNotFound)) {
    return PutBase{};
  }
  const ExitCode code = ReportOutcome(invocation, outcome);
  if (code != ExitCode::kDone) {
    return tl::make_unexpected(code);
  }
  const PutBase found{NumberOf(outcome->body, "version"),
                      TextOf(outcome->body, "text") == text};
  if (found.version != 0 && !found.is_unchanged) {
    return tl::make_unexpected(ReportUsageError(
        invocation,
        fmt::format("version {} is in force: give --base N, the version that "
                    "your file was read at, so that no other edit is undone",
                    found.version)));
  }
  return found;
}

ExitCode ReportUnchanged(const Invocation& invocation, std::uint64_t version) {
  if (invocation.WantsJson()) {
    PrintJson(invocation, {{"version", version}, {"state", "accepted"}});
  } else {
    invocation.Streams().out
        << fmt::format("version {} has this text already\n", version);
  }
  return ExitCode::kDone;
}

ExitCode RunPut(const Invocation& invocation) {
  const std::string file = invocation.Argument(0);
  const auto text = ReadInput(invocation, file);
  if (!text) {
    return ReportInputError(invocation, text.error().message);
  }
  const auto fleet = config::ReadFleet(*text, file);
  if (!fleet) {
    return ReportFindings(invocation, fleet.error());
  }
  const auto base = FindBaseVersion(invocation, *text);
  if (!base) {
    return base.error();
  }
  return base->is_unchanged ? ReportUnchanged(invocation, base->version)
                            : SendDocument(invocation, *text, base->version);
}

tl::expected<config::SectionName, ExitCode> ReadSectionName(
    const Invocation& invocation,
    const std::string& name) {
  const auto section = config::FindSection(name);
  if (!section) {
    return tl::make_unexpected(ReportUsageError(
        invocation, fmt::format("\"{}\" is not a section; sections are "
                                "operators, ownership, zones, pools, services, "
                                "queues, teams, keys, shares, limits, waves",
                                name)));
  }
  return *section;
}

ExitCode RunEdit(const Invocation& invocation) {
  const auto section = ReadSectionName(invocation, invocation.Argument(0));
  if (!section) {
    return section.error();
  }
  const std::string file = invocation.Text("file");
  const auto text = ReadInput(invocation, file);
  if (!text) {
    return ReportInputError(invocation, text.error().message);
  }
  const auto document =
      FetchDocument(invocation, invocation.Option<std::uint64_t>("base"));
  if (!document) {
    return document.error();
  }
  if (document->version == 0) {
    return ReportInputError(invocation,
                            "there is no document yet; put a whole one first");
  }
  return SendEdit(invocation, *document, {*section, *text, file});
}

ExitCode PrintText(const Invocation& invocation,
                   const ServedDocument& document,
                   const std::string& text) {
  if (invocation.WantsJson()) {
    PrintJson(invocation, {{"version", document.version}, {"text", text}});
    return ExitCode::kDone;
  }
  invocation.Streams().out << text << (text.ends_with('\n') ? "" : "\n");
  invocation.Streams().err << "version " << document.version << '\n';
  return ExitCode::kDone;
}

ExitCode RunGet(const Invocation& invocation) {
  const auto document =
      FetchDocument(invocation, invocation.Option<std::uint64_t>("version"));
  if (!document) {
    return document.error();
  }
  if (document->version == 0) {
    return ReportInputError(invocation, "there is no document yet");
  }
  if (invocation.ArgumentCount() == 0) {
    return PrintText(invocation, *document, document->text);
  }
  const auto section = ReadSectionName(invocation, invocation.Argument(0));
  if (!section) {
    return section.error();
  }
  const auto text = config::SectionText(document->text, *section);
  return text ? PrintText(invocation, *document, *text)
              : ReportInputError(invocation, text.error().message);
}

Command MakePut() {
  Command put;
  put.name = "put";
  put.argument_syntax = "FILE";
  put.summary = "check a whole document and take it into force";
  put.examples =
      "  cassiactl put fleet.jsonc\n"
      "  cassiactl put fleet.jsonc --base 7 --dry-run\n";
  put.min_arguments = 1;
  put.max_arguments = 1;
  put.add_options = AddEditOptions;
  put.run = RunPut;
  return put;
}

Command MakeEdit() {
  Command edit;
  edit.name = "edit";
  edit.argument_syntax = "SECTION";
  edit.summary = "replace one section and leave the rest as it is";
  edit.examples =
      "  cassiactl get shares > shares.jsonc\n"
      "  cassiactl edit shares --file shares.jsonc --base 7 --dry-run\n"
      "  cassiactl edit shares --base 7 < shares.jsonc\n"
      "Without --base the text replaces the section as it is in force now.\n";
  edit.min_arguments = 1;
  edit.max_arguments = 1;
  edit.add_options = AddSectionOptions;
  edit.run = RunEdit;
  return edit;
}

Command MakeGet() {
  Command get;
  get.name = "get";
  get.argument_syntax = "[SECTION]";
  get.summary = "print the document or one section of it";
  get.examples =
      "  cassiactl get > fleet.jsonc\n"
      "  cassiactl get waves --version 7\n"
      "The version goes to standard error.\n";
  get.max_arguments = 1;
  get.add_options = AddGetOptions;
  get.run = RunGet;
  return get;
}

}  // namespace

std::vector<Command> EditCommands() {
  return {MakePut(), MakeEdit(), MakeGet()};
}

}  // namespace cassiastile::operators
