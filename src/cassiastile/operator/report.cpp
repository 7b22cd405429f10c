#include "report.hpp"

#include <ostream>

#include <fmt/format.h>

#include "table.hpp"

namespace cassiastile::operators {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kJsonIndent = 2;

// Formats a refusal as one or more lines.
std::string FormatRefusal(const ApiAnswer& answer) {
  const nlohmann::json& body = answer.body;
  std::string text = fmt::format("refused with status {}:", answer.status);
  for (const char* member : {"title", "detail"}) {
    const std::string sentence = TextOf(body, member);
    text += sentence.empty() ? "" : " " + Printable(sentence);
  }
  text += '\n';
  if (!answer.retry_after.empty()) {
    text += fmt::format("try again in {} s\n", Printable(answer.retry_after));
  }
  const std::string decision = TextOf(body, "decision_id");
  if (!decision.empty()) {
    text += fmt::format("cassiactl explain {}\n", Printable(decision));
  }
  if (NumberOf(body, "version") != 0) {
    text +=
        fmt::format("the version in force is {}\n", NumberOf(body, "version"));
  }
  return text + Printable(TextOf(body, "diff"), true);
}

bool HasFindings(const nlohmann::json& body) {
  return body.is_object() && body.contains("findings") &&
         body["findings"].is_array();
}

ExitCode ReportRefusal(const Invocation& invocation, const ApiAnswer& answer) {
  if (invocation.WantsJson()) {
    PrintJson(invocation, answer.body);
  } else {
    if (HasFindings(answer.body)) {
      ReportFindings(invocation, ReadFindings(answer.body, "document"));
    }
    invocation.Streams().err << FormatRefusal(answer);
  }
  const bool unknown = TextOf(answer.body, "execution") == "unknown";
  if (unknown && !invocation.WantsJson()) {
    invocation.Streams().err
        << "the outcome is unknown: it may or may not have taken effect\n";
  }
  return unknown || answer.status >= kFirstServerError ? ExitCode::kUnreachable
                                                       : ExitCode::kRefused;
}

ExitCode ReportFailure(const Invocation& invocation,
                       const ApiFailure& failure) {
  if (invocation.WantsJson()) {
    PrintJson(invocation,
              {{"error", failure.message},
               {"execution", failure.may_have_run ? "unknown" : "not-run"}});
    return ExitCode::kUnreachable;
  }
  invocation.Streams().err << fmt::format(
      "no server answered: {}\n{}\n", Printable(failure.message),
      failure.may_have_run
          ? "the outcome is unknown: it may or may not have taken effect"
          : "nothing was changed");
  return ExitCode::kUnreachable;
}

}  // namespace

ExitCode ReportFindings(const Invocation& invocation,
                        const base::Findings& findings) {
  if (invocation.WantsJson()) {
    PrintJson(invocation, {{"findings", FindingsToJson(findings)}});
  } else {
    invocation.Streams().out << Printable(base::FormatFindings(findings), true);
  }
  return ExitCode::kRefused;
}

ExitCode ReportInputError(const Invocation& invocation,
                          const std::string& message) {
  if (invocation.WantsJson()) {
    PrintJson(invocation, {{"error", message}, {"execution", "not-run"}});
  } else {
    invocation.Streams().err << Printable(message) << '\n';
  }
  return ExitCode::kRefused;
}

ExitCode ReportUsageError(const Invocation& invocation,
                          const std::string& message) {
  invocation.Streams().err << message << '\n';
  return ExitCode::kUsage;
}

ExitCode ReportOutcome(const Invocation& invocation,
                       const ApiOutcome& outcome) {
  if (!outcome) {
    return ReportFailure(invocation, outcome.error());
  }
  return outcome->IsSuccess() ? ExitCode::kDone
                              : ReportRefusal(invocation, *outcome);
}

ExitCode ShowOutcome(
    const Invocation& invocation,
    const ApiOutcome& outcome,
    const std::function<std::string(const nlohmann::json&)>& format) {
  const ExitCode code = ReportOutcome(invocation, outcome);
  if (code != ExitCode::kDone) {
    return code;
  }
  if (invocation.WantsJson()) {
    PrintJson(invocation, outcome->body);
  } else {
    invocation.Streams().out << format(outcome->body);
  }
  return ExitCode::kDone;
}

void PrintJson(const Invocation& invocation, const nlohmann::json& body) {
  invocation.Streams().out << body.dump(
                                  kJsonIndent, ' ', false,
                                  nlohmann::json::error_handler_t::replace)
                           << '\n';
}

base::Findings ReadFindings(const nlohmann::json& body,
                            const std::string& file) {
  base::Findings findings;
  for (const auto& row : body.at("findings")) {
    findings.push_back({{file, NumberOf(row, "line"), NumberOf(row, "column")},
                        TextOf(row, "path"),
                        TextOf(row, "message")});
  }
  return findings;
}

nlohmann::json FindingsToJson(const base::Findings& findings) {
  nlohmann::json rows = nlohmann::json::array();
  for (const base::Finding& finding : findings) {
    rows.push_back({{"file", finding.position.file},
                    {"line", finding.position.line},
                    {"column", finding.position.column},
                    {"path", finding.path},
                    {"message", finding.message}});
  }
  return rows;
}

std::string TextOf(const nlohmann::json& body, const std::string& name) {
  const bool is_present = body.is_object() && body.contains(name);
  return is_present && body[name].is_string() ? body[name].get<std::string>()
                                              : "";
}

std::uint64_t NumberOf(const nlohmann::json& body, const std::string& name) {
  const bool is_present = body.is_object() && body.contains(name);
  return is_present && body[name].is_number_unsigned()
             ? body[name].get<std::uint64_t>()
             : 0;
}

}  // namespace cassiastile::operators
