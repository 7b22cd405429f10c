#pragma once

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "api_client.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/base/findings.hpp"
#include "command.hpp"

namespace cassiastile::operators {

// Prints findings, as JSON if --json is set, and returns kRefused.
ExitCode ReportFindings(const Invocation& invocation,
                        const base::Findings& findings);

// Prints a message about invalid or unreadable input and returns kRefused.
ExitCode ReportInputError(const Invocation& invocation,
                          const std::string& message);

// Prints a message about the command line and returns kUsage.
ExitCode ReportUsageError(const Invocation& invocation,
                          const std::string& message);

// Prints why a call was refused or failed, and returns the exit code for it.
// Prints nothing if the call succeeded.
ExitCode ReportOutcome(const Invocation& invocation, const ApiOutcome& outcome);

// Reports the outcome as ReportOutcome() does. If the call succeeded, prints
// the body: as JSON if --json is set, otherwise as formatted by `format`.
ExitCode ShowOutcome(
    const Invocation& invocation,
    const ApiOutcome& outcome,
    const std::function<std::string(const nlohmann::json&)>& format);

// Prints indented JSON. Invalid UTF-8 is replaced.
void PrintJson(const Invocation& invocation, const nlohmann::json& body);

// Decodes the "findings" of a server's answer, which must have them. `file` is
// the file name that they get.
base::Findings ReadFindings(const nlohmann::json& body,
                            const std::string& file);

// Encodes findings for --json.
nlohmann::json FindingsToJson(const base::Findings& findings);

// Returns a member of a JSON object; "" or 0 if it is absent or of another
// type.
std::string TextOf(const nlohmann::json& body, const std::string& name);
std::uint64_t NumberOf(const nlohmann::json& body, const std::string& name);

}  // namespace cassiastile::operators
