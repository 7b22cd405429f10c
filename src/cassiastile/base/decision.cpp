#include "cassiastile/base/decision.hpp"

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::base {

namespace {

constexpr std::array<EnumName<DecisionKind>, 3> kDecisionNames{{
    {DecisionKind::kRefusal, "refusal"},
    {DecisionKind::kPlacement, "placement"},
    {DecisionKind::kChange, "change"},
}};

}  // namespace

std::string_view NameOf(DecisionKind kind) {
  return FindName(kDecisionNames, kind);
}

}  // namespace cassiastile::base
