#include "cassiastile/platform/decision_json.hpp"

#include <nlohmann/json.hpp>

namespace cassiastile::base {

namespace {

using nlohmann::json;

json ReasonToJson(const Reason& reason) {
  return {{"rule", reason.rule},
          {"section", reason.section},
          {"version", reason.version},
          {"observation", reason.observation}};
}

Reason ReasonFromJson(const json& item) {
  Reason reason;
  item.at("rule").get_to(reason.rule);
  item.at("section").get_to(reason.section);
  item.at("version").get_to(reason.version);
  item.at("observation").get_to(reason.observation);
  return reason;
}

DecisionKind KindFromJson(const json& name) {
  for (const DecisionKind kind :
       {DecisionKind::kRefusal, DecisionKind::kPlacement}) {
    if (NameOf(kind) == name.get<std::string>()) {
      return kind;
    }
  }
  return DecisionKind::kChange;
}

}  // namespace

void to_json(json& json, const Decision& decision) {
  auto reasons = json::array();
  for (const Reason& reason : decision.reasons) {
    reasons.push_back(ReasonToJson(reason));
  }
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          decision.at.time_since_epoch());
  json = {{"id", decision.id},
          {"kind", NameOf(decision.kind)},
          {"subject", decision.subject},
          {"team", decision.team},
          {"outcome", decision.outcome},
          {"at", FormatWallTime(decision.at)},
          {"at_ms", since_epoch.count()},
          {"reasons", std::move(reasons)}};
}

void from_json(const json& json, Decision& decision) {
  json.at("id").get_to(decision.id);
  decision.kind = KindFromJson(json.at("kind"));
  json.at("subject").get_to(decision.subject);
  json.at("team").get_to(decision.team);
  json.at("outcome").get_to(decision.outcome);
  decision.at =
      WallTime(std::chrono::milliseconds(json.at("at_ms").get<std::int64_t>()));
  for (const auto& item : json.at("reasons")) {
    decision.reasons.push_back(ReasonFromJson(item));
  }
}

}  // namespace cassiastile::base
