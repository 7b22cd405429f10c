#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "cassiastile/base/error.hpp"
#include "cassiastile/base/findings.hpp"
#include "cassiastile/config/fleet.hpp"
#include "command.hpp"

namespace cassiastile::operators {

// A document as a server holds it; version zero with no text when there is
// none yet.
struct ServedDocument {
  std::uint64_t version = 0;
  std::string text;
};

// Reads the document in force or an earlier version. Reports a failure and
// returns its exit code.
tl::expected<ServedDocument, ExitCode> FetchDocument(
    const Invocation& invocation,
    std::optional<std::uint64_t> version = std::nullopt);

// Reads a file of the operator's, or the standard input for "-".
base::Result<std::string> ReadInput(const Invocation& invocation,
                                    const std::string& path);

// A change to one section that an operator wants.
struct SectionEdit {
  config::SectionName section{};
  std::string text;
  std::string file;  // The name shown in findings about the text.
};

// What is wrong with the document once the section is replaced. Findings within
// the section have places in the edit's own text.
base::Findings CheckEdit(const ServedDocument& document,
                         const SectionEdit& edit);

// Checks an edit against the document it was read from, sends it and reports
// the outcome. With --dry-run nothing is changed.
ExitCode SendEdit(const Invocation& invocation,
                  const ServedDocument& document,
                  const SectionEdit& edit);

// Sends a whole document and reports the outcome.
ExitCode SendDocument(const Invocation& invocation,
                      const std::string& text,
                      std::uint64_t base_version);

}  // namespace cassiastile::operators
