#include "cassiastile/config/section_edit.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/config/positioned_json.hpp"

namespace cassiastile::config {

namespace {

using base::ErrorCode;
using base::Fail;

constexpr std::string_view kWhitespace = " \t\r\n";
constexpr char kSectionMark = '\0';

// The byte range of one section's value.
struct Span {
  SectionName section{};
  std::size_t begin = 0;
  std::size_t end = 0;
};

base::Result<PositionedDocument> Parse(std::string_view text) {
  auto document = ParsePositionedJson(text, "document");
  if (!document) {
    return Fail(ErrorCode::kInvalid,
                base::FormatFinding(document.error().front()));
  }
  if (!document->duplicates.empty()) {
    return Fail(ErrorCode::kInvalid,
                base::FormatFinding(document->duplicates.front()));
  }
  return std::move(*document);
}

// Returns the byte ranges of a document's sections, in the order of the text.
base::Result<std::vector<Span>> FindSpans(std::string_view text) {
  const auto document = Parse(text);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  std::vector<Span> spans;
  const auto* root = std::get_if<PositionedObject>(&document->root.content);
  if (root == nullptr) {
    return Fail(ErrorCode::kInvalid, "the document is not an object");
  }
  for (const PositionedMember& member : *root) {
    if (const auto section = FindSection(member.name)) {
      spans.push_back({*section, member.value.begin, member.value.end});
    }
  }
  return spans;
}

base::Result<Span> FindSpan(std::string_view text, SectionName section) {
  const auto spans = FindSpans(text);
  if (!spans) {
    return tl::make_unexpected(spans.error());
  }
  const auto found = std::find_if(
      spans->begin(), spans->end(),
      [section](const Span& span) { return span.section == section; });
  if (found == spans->end()) {
    return Fail(
        ErrorCode::kNotFound,
        fmt::format("the document has no section \"{}\"", NameOf(section)));
  }
  return *found;
}

std::string_view Slice(std::string_view text, const Span& span) {
  return text.substr(span.begin, span.end - span.begin);
}

// Returns the document's text with the value of each section replaced by a NUL,
// which no valid document contains.
std::string TextOutside(std::string_view text, const std::vector<Span>& spans) {
  std::string outside;
  std::size_t from = 0;
  for (const Span& span : spans) {
    outside += text.substr(from, span.begin - from);
    outside += kSectionMark;
    from = span.end;
  }
  outside += text.substr(from);
  return outside;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

// Whether the section has the same text in both documents. An absent section
// counts as empty text.
bool IsSectionUnchanged(std::string_view before,
                        const std::vector<Span>& before_spans,
                        std::string_view after,
                        const std::vector<Span>& after_spans,
                        SectionName section) {
  const auto find = [section](std::string_view text,
                              const std::vector<Span>& spans) {
    for (const Span& span : spans) {
      if (span.section == section) {
        return Slice(text, span);
      }
    }
    return std::string_view();
  };
  return find(before, before_spans) == find(after, after_spans);
}

base::Finding MakeSectionFinding(std::string_view after,
                                 const std::string& file,
                                 SectionName section,
                                 std::string message) {
  base::Finding finding{
      {file, 1, 1}, std::string(NameOf(section)), std::move(message)};
  if (const auto document = ParsePositionedJson(after, file)) {
    finding.position = FindTextPosition(*document, finding.path);
  }
  return finding;
}

}  // namespace

base::Result<std::string> SectionText(std::string_view document,
                                      SectionName section) {
  return FindSpan(document, section).map([document](const Span& span) {
    return std::string(Slice(document, span));
  });
}

base::Result<std::string> ReplaceSection(std::string_view document,
                                         SectionName section,
                                         std::string_view text) {
  const std::string_view trimmed = Trim(text);
  const auto list = Parse(trimmed);
  if (!list) {
    return tl::make_unexpected(list.error());
  }
  const bool is_list =
      std::holds_alternative<PositionedList>(list->root.content);
  if (!is_list || list->root.begin != 0 || list->root.end != trimmed.size()) {
    return Fail(ErrorCode::kInvalid,
                fmt::format("the text of section \"{}\" must be one list that "
                            "starts with [ and ends with ], with its comments "
                            "inside",
                            NameOf(section)));
  }
  return FindSpan(document, section).map([&](const Span& span) {
    std::string edited(document.substr(0, span.begin));
    edited += trimmed;
    edited += document.substr(span.end);
    return edited;
  });
}

base::Result<DocumentDifference> CompareDocuments(std::string_view before,
                                                  std::string_view after) {
  const auto before_spans = FindSpans(before);
  if (!before_spans) {
    return tl::make_unexpected(before_spans.error());
  }
  const auto after_spans = FindSpans(after);
  if (!after_spans) {
    return tl::make_unexpected(after_spans.error());
  }
  DocumentDifference difference;
  difference.outside_sections =
      TextOutside(before, *before_spans) != TextOutside(after, *after_spans);
  for (auto i = static_cast<int>(SectionName::kOperators);
       i <= static_cast<int>(SectionName::kWaves); ++i) {
    const auto section = static_cast<SectionName>(i);
    if (!IsSectionUnchanged(before, *before_spans, after, *after_spans,
                            section)) {
      difference.sections.push_back(section);
    }
  }
  return difference;
}

std::string FindSectionOwner(const Fleet& fleet, SectionName section) {
  for (const Ownership& row : fleet.ownership) {
    if (row.section == section) {
      return row.owner;
    }
  }
  return "";
}

base::Findings CheckEditPermission(std::string_view before,
                                   std::string_view after,
                                   const Fleet& fleet_before,
                                   std::string_view editor,
                                   const std::string& file) {
  const auto difference = CompareDocuments(before, after);
  if (!difference) {
    return {{{file, 1, 1}, "", difference.error().message}};
  }
  base::Findings findings;
  for (const SectionName section : difference->sections) {
    const std::string owner = FindSectionOwner(fleet_before, section);
    if (owner != editor) {
      findings.push_back(MakeSectionFinding(
          after, file, section,
          fmt::format("the section differs, but is owned by \"{}\" and not by "
                      "\"{}\"",
                      owner, editor)));
    }
  }
  const std::string owner =
      FindSectionOwner(fleet_before, SectionName::kOwnership);
  if (difference->outside_sections && owner != editor) {
    findings.push_back(
        {{file, 1, 1},
         "",
         fmt::format("the text outside the sections differs, but is owned by "
                     "\"{}\" and not by \"{}\"",
                     owner, editor)});
  }
  return findings;
}

}  // namespace cassiastile::config
