#include "cassiastile/config/diff.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace cassiastile::config {

namespace {

constexpr std::size_t kContextLines = 3;
// The comparison costs the square of the number of inserted and removed lines.
// With more of them than this, the differing middle is shown as replaced as a
// whole.
constexpr std::size_t kMaxEdits = 1000;

using Lines = std::vector<std::string_view>;

// One line of the comparison: ' ' is in both texts, '-' only in the old one,
// '+' only in the new one.
struct Step {
  char mark = ' ';
  std::size_t before = 0;  // Lines before this one in each text.
  std::size_t after = 0;
  std::string_view text;
};

// Splits a text into lines that keep their line feeds, so that a missing final
// line feed counts as a difference.
Lines SplitLines(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const std::size_t feed = text.find('\n');
    const std::size_t length =
        feed == std::string_view::npos ? text.size() : feed + 1;
    lines.push_back(text.substr(0, length));
    text.remove_prefix(length);
  }
  return lines;
}

// Finds a shortest edit script with Myers' greedy algorithm.
class Comparison {
 public:
  Comparison(const Lines& before, const Lines& after)
      : m_before(before), m_after(after) {}

  std::vector<Step> Run() {
    SkipCommonEnds();
    std::vector<Step> steps;
    for (std::size_t i = 0; i < m_first; ++i) {
      steps.push_back({' ', i, i, m_before[i]});
    }
    std::vector<Step> middle = CompareMiddle();
    steps.insert(steps.end(), middle.begin(), middle.end());
    for (std::size_t i = m_before_end; i < m_before.size(); ++i) {
      steps.push_back({' ', i, m_after_end + (i - m_before_end), m_before[i]});
    }
    return steps;
  }

 private:
  using Trace = std::vector<std::vector<std::ptrdiff_t>>;

  void SkipCommonEnds() {
    const std::size_t shorter = std::min(m_before.size(), m_after.size());
    while (m_first < shorter && m_before[m_first] == m_after[m_first]) {
      ++m_first;
    }
    m_before_end = m_before.size();
    m_after_end = m_after.size();
    while (m_before_end > m_first && m_after_end > m_first &&
           m_before[m_before_end - 1] == m_after[m_after_end - 1]) {
      --m_before_end;
      --m_after_end;
    }
  }

  std::vector<Step> CompareMiddle() const {
    Trace trace;
    if (!FindPath(trace)) {
      return ReplaceMiddle();
    }
    return Backtrack(trace);
  }

  std::vector<Step> ReplaceMiddle() const {
    std::vector<Step> steps;
    for (std::size_t i = m_first; i < m_before_end; ++i) {
      steps.push_back({'-', i, m_first, m_before[i]});
    }
    for (std::size_t i = m_first; i < m_after_end; ++i) {
      steps.push_back({'+', m_before_end, i, m_after[i]});
    }
    return steps;
  }

  std::ptrdiff_t BeforeCount() const {
    return static_cast<std::ptrdiff_t>(m_before_end - m_first);
  }
  std::ptrdiff_t AfterCount() const {
    return static_cast<std::ptrdiff_t>(m_after_end - m_first);
  }

  // Whether diagonal k is reached by an insertion as the last of d edits.
  // `reach` holds diagonal 0 at index d + 1.
  static bool IsInsertion(const std::vector<std::ptrdiff_t>& reach,
                          std::ptrdiff_t d,
                          std::ptrdiff_t k) {
    const std::ptrdiff_t diagonal_zero = d + 1;
    return k == -d || (k != d && reach[diagonal_zero + k - 1] <
                                     reach[diagonal_zero + k + 1]);
  }

  // Records the furthest line reached on each diagonal for each number of
  // edits. Returns false when more than kMaxEdits are needed.
  bool FindPath(Trace& trace) const {
    std::vector<std::ptrdiff_t> reach{0, 0, 0};
    for (std::ptrdiff_t d = 0; d <= static_cast<std::ptrdiff_t>(kMaxEdits);
         ++d) {
      trace.push_back(reach);
      std::vector<std::ptrdiff_t> next(2 * d + 5, 0);
      for (std::ptrdiff_t k = -d; k <= d; k += 2) {
        const std::ptrdiff_t x = Furthest(reach, d, k);
        next[d + 2 + k] = x;
        if (x >= BeforeCount() && x - k >= AfterCount()) {
          return true;
        }
      }
      reach = std::move(next);
    }
    return false;
  }

  std::ptrdiff_t Furthest(const std::vector<std::ptrdiff_t>& reach,
                          std::ptrdiff_t d,
                          std::ptrdiff_t k) const {
    const std::ptrdiff_t diagonal_zero = d + 1;
    std::ptrdiff_t x = IsInsertion(reach, d, k)
                           ? reach[diagonal_zero + k + 1]
                           : reach[diagonal_zero + k - 1] + 1;
    while (x < BeforeCount() && x - k < AfterCount() &&
           m_before[m_first + x] == m_after[m_first + x - k]) {
      ++x;
    }
    return x;
  }

  // Reads the edit script from the trace, from its end to its start.
  std::vector<Step> Backtrack(const Trace& trace) const {
    std::vector<Step> steps;
    std::ptrdiff_t x = BeforeCount();
    std::ptrdiff_t y = AfterCount();
    for (auto d = static_cast<std::ptrdiff_t>(trace.size()) - 1; d >= 0; --d) {
      const auto& reach = trace[d];
      const std::ptrdiff_t k = x - y;
      const bool insertion = IsInsertion(reach, d, k);
      const std::ptrdiff_t from_k = insertion ? k + 1 : k - 1;
      const std::ptrdiff_t from_x = d == 0 ? 0 : reach[d + 1 + from_k];
      const std::ptrdiff_t from_y = d == 0 ? 0 : from_x - from_k;
      while (x > from_x && y > from_y) {
        --x;
        --y;
        steps.push_back(StepAt(' ', x, y));
      }
      if (d > 0) {
        x = from_x;
        y = from_y;
        steps.push_back(StepAt(insertion ? '+' : '-', x, y));
      }
    }
    std::reverse(steps.begin(), steps.end());
    return steps;
  }

  Step StepAt(char mark, std::ptrdiff_t x, std::ptrdiff_t y) const {
    const std::size_t before = m_first + x;
    const std::size_t after = m_first + y;
    return {mark, before, after,
            mark == '+' ? m_after[after] : m_before[before]};
  }

  const Lines& m_before;
  const Lines& m_after;
  // The lines from m_first up to m_before_end and m_after_end are compared; the
  // lines before and after them are the same in both texts.
  std::size_t m_first = 0;
  std::size_t m_before_end = 0;
  std::size_t m_after_end = 0;
};

// Formats the range of a hunk: its first line, counted from one unless the
// range is empty, and its number of lines.
std::string FormatRange(std::size_t start, std::size_t count) {
  return fmt::format("{},{}", count == 0 ? start : start + 1, count);
}

std::string FormatHunk(const std::vector<Step>& steps,
                       std::size_t first,
                       std::size_t last) {
  std::size_t before = 0;
  std::size_t after = 0;
  std::string body;
  for (std::size_t i = first; i < last; ++i) {
    before += steps[i].mark != '+' ? 1 : 0;
    after += steps[i].mark != '-' ? 1 : 0;
    body += steps[i].mark;
    body += steps[i].text;
    if (!steps[i].text.ends_with('\n')) {
      body += "\n\\ No newline at end of file\n";
    }
  }
  return fmt::format("@@ -{} +{} @@\n{}",
                     FormatRange(steps[first].before, before),
                     FormatRange(steps[first].after, after), body);
}

// Returns the index after the last step of the hunk that starts with the given
// change. Changes at most 2 * kContextLines apart share a hunk.
std::size_t EndOfHunk(const std::vector<Step>& steps, std::size_t change) {
  std::size_t end = change;
  std::size_t same = 0;
  for (std::size_t i = change; i < steps.size(); ++i) {
    same = steps[i].mark == ' ' ? same + 1 : 0;
    if (same > 2 * kContextLines) {
      break;
    }
    end = same == 0 ? i + 1 : end;
  }
  return std::min(steps.size(), end + kContextLines);
}

}  // namespace

std::string UnifiedDiff(std::string_view before,
                        std::string_view after,
                        std::string_view before_label,
                        std::string_view after_label) {
  const Lines before_lines = SplitLines(before);
  const Lines after_lines = SplitLines(after);
  const std::vector<Step> steps = Comparison(before_lines, after_lines).Run();
  std::string text;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (steps[i].mark == ' ') {
      continue;
    }
    const std::size_t first = i > kContextLines ? i - kContextLines : 0;
    const std::size_t end = EndOfHunk(steps, i);
    text += FormatHunk(steps, first, end);
    i = end - 1;
  }
  return text.empty() ? text
                      : fmt::format("--- {}\n+++ {}\n{}", before_label,
                                    after_label, text);
}

}  // namespace cassiastile::config
