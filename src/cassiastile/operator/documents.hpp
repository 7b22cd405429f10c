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

// The fleet document as a server stores it. Version 0 and an empty text mean
// that there is no document yet.
struct ServedDocument {
  std::uint64_t version = 0;
  std::string text;
};

// Fetches the document in force, or `version` of it. Reports a failure and
// returns its exit code.
tl::expected<ServedDocument, ExitCode> FetchDocument(
    const Invocation& invocation,
    std::optional<std::uint64_t> version = std::nullopt);

// Reads a file on the operator's machine, or the standard input if `path` is
// "-". Fails if it can't be read.
base::Result<std::string> ReadInput(const Invocation& invocation,
                                    const std::string& path);

// An operator's new text for one section.
struct SectionEdit {
  config::SectionName section{};
  std::string text;
  std::string file;  // The name that findings about the text show.
};

// Validates the document with the section replaced. Findings inside the section
// have positions in the edit's own text.
base::Findings CheckEdit(const ServedDocument& document,
                         const SectionEdit& edit);

// Validates an edit against the document that it was read from, sends it if
// there are no findings, and reports the outcome. With --dry-run nothing is
// changed.
ExitCode SendEdit(const Invocation& invocation,
                  const ServedDocument& document,
                  const SectionEdit& edit);

// Sends a whole document to replace version `base_version` (0 if there is none)
// and reports the outcome. With --dry-run nothing is changed.
ExitCode SendDocument(const Invocation& invocation,
                      const std::string& text,
                      std::uint64_t base_version);

}  // namespace cassiastile::operators
