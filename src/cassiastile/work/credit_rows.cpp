#include "cassiastile/work/credit_rows.hpp"

#include <nlohmann/json.hpp>

namespace cassiastile::work {

void to_json(nlohmann::json& json, const Holding& holding) {
  json = {{"granted", holding.granted}, {"wanted", holding.wanted}};
}

void from_json(const nlohmann::json& json, Holding& holding) {
  json.at("granted").get_to(holding.granted);
  json.at("wanted").get_to(holding.wanted);
}

void to_json(nlohmann::json& json, const Ledger& ledger) {
  json = {{"capacity", ledger.capacity}, {"holdings", ledger.holdings}};
}

void from_json(const nlohmann::json& json, Ledger& ledger) {
  json.at("capacity").get_to(ledger.capacity);
  json.at("holdings").get_to(ledger.holdings);
}

std::string FormatLedgerRow(const LedgerRow& row) {
  return nlohmann::json(row).dump();
}

base::Result<LedgerRow> ParseLedgerRow(const std::string& text) {
  try {
    return nlohmann::json::parse(text).get<LedgerRow>();
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        std::string("The row does not contain valid ledgers: ") + error.what());
  }
}

std::string SlotsLedgerKey(const std::string& service) {
  return "ledger/slots/" + service;
}

std::string RequestsLedgerKey() {
  return "ledger/requests";
}

std::string TasksLedgerKey() {
  return "ledger/tasks";
}

}  // namespace cassiastile::work
