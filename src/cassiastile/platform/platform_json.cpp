#include "cassiastile/platform/platform_json.hpp"

#include <nlohmann/json.hpp>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::platform {

namespace {

using nlohmann::json;

ListedRole ReadRole(const json& name) {
  for (const ListedRole role :
       {ListedRole::kRunner, ListedRole::kWorker, ListedRole::kEntry}) {
    if (NameOf(role) == name.get<std::string>()) {
      return role;
    }
  }
  throw json::other_error::create(501, "unknown role", &name);
}

ListedState ReadState(const json& name) {
  return name.get<std::string>() == NameOf(ListedState::kLeaving)
             ? ListedState::kLeaving
             : ListedState::kLive;
}

MachineState ReadMachineState(const json& name) {
  for (const MachineState state :
       {MachineState::kUp, MachineState::kRebooting}) {
    if (NameOf(state) == name.get<std::string>()) {
      return state;
    }
  }
  return MachineState::kDown;
}

json PreconditionsToJson(const std::vector<Precondition>& preconditions) {
  json list = json::array();
  for (const Precondition& precondition : preconditions) {
    list.push_back(
        {{"key", precondition.key}, {"version", precondition.version}});
  }
  return list;
}

json WritesToJson(const std::vector<platform::Write>& writes) {
  json list = json::array();
  for (const platform::Write& write : writes) {
    json item{{"key", write.key}, {"value", nullptr}};
    if (write.value) {
      item["value"] = *write.value;
    }
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace

void to_json(json& json, const Row& row) {
  json = {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

void from_json(const json& json, Row& row) {
  json.at("key").get_to(row.key);
  json.at("value").get_to(row.value);
  json.at("version").get_to(row.version);
}

void to_json(json& json, const Transaction& transaction) {
  json = {{"nonce", transaction.nonce},
          {"preconditions", PreconditionsToJson(transaction.preconditions)},
          {"writes", WritesToJson(transaction.writes)}};
}

void from_json(const json& json, Transaction& transaction) {
  json.at("nonce").get_to(transaction.nonce);
  for (const auto& item : json.at("preconditions")) {
    transaction.preconditions.push_back(
        {item.at("key").get<std::string>(),
         item.at("version").get<std::uint64_t>()});
  }
  for (const auto& item : json.at("writes")) {
    platform::Write write{item.at("key").get<std::string>(), std::nullopt};
    if (!item.at("value").is_null()) {
      write.value = item.at("value").get<std::string>();
    }
    transaction.writes.push_back(std::move(write));
  }
}

void to_json(json& json, const ListedHost& host) {
  json = {{"name", host.name},
          {"role", NameOf(host.role)},
          {"state", NameOf(host.state)},
          {"zone", host.zone},
          {"rack", host.rack},
          {"machine", host.machine},
          {"service", host.service},
          {"address", host.address},
          {"incarnation", host.incarnation}};
}

void from_json(const json& json, ListedHost& host) {
  json.at("name").get_to(host.name);
  host.role = ReadRole(json.at("role"));
  host.state = ReadState(json.at("state"));
  host.zone = json.value("zone", "");
  host.rack = json.value("rack", "");
  host.machine = json.value("machine", "");
  host.service = json.value("service", "");
  host.address = json.value("address", "");
  host.incarnation = json.value("incarnation", std::uint64_t{0});
}

void to_json(json& json, const MachineStatus& status) {
  json = {{"state", NameOf(status.state)},
          {"draining", status.draining},
          {"boots", status.boots},
          {"running_requests", status.running_requests}};
}

void from_json(const json& json, MachineStatus& status) {
  status.state = ReadMachineState(json.at("state"));
  json.at("draining").get_to(status.draining);
  json.at("boots").get_to(status.boots);
  json.at("running_requests").get_to(status.running_requests);
}

}  // namespace cassiastile::platform
