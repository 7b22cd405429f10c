#pragma once

#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "cassiastile/base/error.hpp"
#include "cassiastile/work/credit_ledger.hpp"

namespace cassiastile::work {

// The content of a table row under "ledger/": one ledger per resource, keyed by
// the name of a runner or a team.
using LedgerRow = std::map<std::string, Ledger>;

void to_json(nlohmann::json& json, const Holding& holding);
void from_json(const nlohmann::json& json, Holding& holding);
void to_json(nlohmann::json& json, const Ledger& ledger);
void from_json(const nlohmann::json& json, Ledger& ledger);

// Serializes a row's value.
std::string FormatLedgerRow(const LedgerRow& row);

// Parses a row's value. kInvalid when the text is not a map of ledgers.
base::Result<LedgerRow> ParseLedgerRow(const std::string& text);

// The row key of the ledgers for the slots of a service's runners.
std::string SlotsLedgerKey(const std::string& service);

// The row key of the ledgers for the teams' limits on running requests.
std::string RequestsLedgerKey();

// The row key of the ledgers for the teams' limits on running tasks.
std::string TasksLedgerKey();

}  // namespace cassiastile::work
