#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::base {

// The kinds of decision that are recorded.
enum class DecisionKind : std::uint8_t {
  kRefusal,
  kPlacement,
  kChange,
};

// The kind's name in JSON and in the stored decisions.
std::string_view NameOf(DecisionKind kind);

// One step of the reasoning behind a decision.
struct Reason {
  std::string rule;         // The rule applied, such as "team limit".
  std::string section;      // The document section that sets the rule.
  std::uint64_t version{};  // The document version used.
  std::string observation;  // The input, such as "running 40 of 40".
};

// A refusal, placement or change, with the reasons to show in an audit.
struct Decision {
  std::string id;
  DecisionKind kind = DecisionKind::kRefusal;
  std::string subject;  // The request, task, host or section it is about.
  std::string team;     // Empty if it concerns no team.
  std::string outcome;  // Such as "not run", "placed on w-03", "drained".
  std::vector<Reason> reasons;
  WallTime at{};
};

// Records decisions. Implementations must be thread-safe and must not block.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  virtual void Record(Decision decision) = 0;
};

}  // namespace cassiastile::base
