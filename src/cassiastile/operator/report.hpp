#pragma once

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "api_client.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/base/findings.hpp"
#include "command.hpp"

namespace cassiastile::operators {

// Prints findings and returns kRefused.
ExitCode ReportFindings(const Invocation& invocation,
                        const base::Findings& findings);

// Prints a sentence about an input of the operator's and returns kRefused.
ExitCode ReportInputError(const Invocation& invocation,
                          const std::string& sentence);

// Prints a sentence about the command line and returns kUsage.
ExitCode ReportUsageError(const Invocation& invocation,
                          const std::string& sentence);

// Prints what a server refused or that it could not be reached, and returns the
// exit code for it. For kDone prints nothing.
ExitCode ReportOutcome(const Invocation& invocation, const ApiOutcome& outcome);

// Reports the outcome; when it is done, prints its body as JSON or as `format`
// gives it.
ExitCode ShowOutcome(
    const Invocation& invocation,
    const ApiOutcome& outcome,
    const std::function<std::string(const nlohmann::json&)>& format);

void PrintJson(const Invocation& invocation, const nlohmann::json& body);

// Findings as the server sends them, under the name of the document.
base::Findings ReadFindings(const nlohmann::json& body,
                            const std::string& file);

nlohmann::json FindingsToJson(const base::Findings& findings);

// A member of an object, or the default when it is absent or of another type.
std::string TextOf(const nlohmann::json& body, const std::string& name);
std::uint64_t NumberOf(const nlohmann::json& body, const std::string& name);

}  // namespace cassiastile::operators
