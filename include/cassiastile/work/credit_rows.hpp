#pragma once

#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/error.hpp"
#include "cassiastile/work/credit_ledger.hpp"

namespace cassiastile::work {

// What a row of the table under "ledger/" holds: a ledger for each resource,
// by the name of a runner or a team.
using LedgerRow = std::map<std::string, Ledger>;

void to_json(nlohmann::json& json, const Holding& holding);
void from_json(const nlohmann::json& json, Holding& holding);
void to_json(nlohmann::json& json, const Ledger& ledger);
void from_json(const nlohmann::json& json, Ledger& ledger);

// The row's value as text.
std::string FormatLedgerRow(const LedgerRow& row);

// Reads a row's value; kInvalid when it does not hold ledgers.
base::Result<LedgerRow> ParseLedgerRow(const std::string& text);

// The key of the row for the slots of a service's runners.
std::string SlotsLedgerKey(const std::string& service);

// The key of the row for the teams' limits on requests.
std::string RequestsLedgerKey();

// The key of the row for the teams' limits on tasks.
std::string TasksLedgerKey();

}  // namespace cassiastile::work
