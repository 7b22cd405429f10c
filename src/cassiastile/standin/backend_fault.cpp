#include "cassiastile/standin/backend_fault.hpp"

#include <array>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::standin {

namespace {

constexpr std::array<base::EnumName<BackendFault>, 12> kNames{{
    {BackendFault::kNone, "none"},
    {BackendFault::kRefuse, "refuse"},
    {BackendFault::kStall, "stall"},
    {BackendFault::kDie, "die"},
    {BackendFault::kLate, "late"},
    {BackendFault::kShort, "short"},
    {BackendFault::kOverLong, "over-long"},
    {BackendFault::kCrossed, "crossed"},
    {BackendFault::kChunkCut, "chunk-cut"},
    {BackendFault::kReset, "reset"},
    {BackendFault::kHeaderOnly, "header-only"},
    {BackendFault::kUnframed, "unframed"},
}};

}  // namespace

std::string_view NameOf(BackendFault fault) {
  return base::FindName(kNames, fault);
}

std::optional<BackendFault> FindBackendFault(std::string_view name) {
  return base::FindValue(kNames, name);
}

}  // namespace cassiastile::standin
