#include "cassiastile/platform/host_list.hpp"

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/platform/machines.hpp"

namespace cassiastile::platform {

namespace {

constexpr std::array<base::EnumName<ListedRole>, 3> kRoleNames{{
    {ListedRole::kRunner, "runner"},
    {ListedRole::kWorker, "worker"},
    {ListedRole::kEntry, "entry"},
}};

constexpr std::array<base::EnumName<ListedState>, 2> kStateNames{{
    {ListedState::kLive, "live"},
    {ListedState::kLeaving, "leaving"},
}};

constexpr std::array<base::EnumName<MachineState>, 3> kMachineNames{{
    {MachineState::kUp, "up"},
    {MachineState::kRebooting, "rebooting"},
    {MachineState::kDown, "down"},
}};

}  // namespace

std::string_view NameOf(MachineState state) {
  return base::FindName(kMachineNames, state);
}

std::string_view NameOf(ListedRole role) {
  return base::FindName(kRoleNames, role);
}

std::string_view NameOf(ListedState state) {
  return base::FindName(kStateNames, state);
}

}  // namespace cassiastile::platform
