#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/platform/host_list.hpp"
#include "cassiastile/platform/machines.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::platform {

// JSON encoding of the platform's calls, used by clients and stand-in servers.
// from_json throws nlohmann::json::exception for missing or mistyped members
// and for an unknown role; of a listed process only "name", "role" and "state"
// are required. An unknown state counts as live for a listed process and as
// down for a machine. Preconditions and writes are appended to a transaction's.
void to_json(nlohmann::json& json, const Row& row);
void from_json(const nlohmann::json& json, Row& row);
void to_json(nlohmann::json& json, const Transaction& transaction);
void from_json(const nlohmann::json& json, Transaction& transaction);
void to_json(nlohmann::json& json, const ListedHost& host);
void from_json(const nlohmann::json& json, ListedHost& host);
void to_json(nlohmann::json& json, const MachineStatus& status);
void from_json(const nlohmann::json& json, MachineStatus& status);

}  // namespace cassiastile::platform
