#include "cassiastile/fleet/records.hpp"

#include <chrono>

#include <nlohmann/json.hpp>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::fleet {

namespace {

constexpr std::array<base::EnumName<HostState>, 5> kHostStateNames{{
    {HostState::kInService, "in-service"},
    {HostState::kDraining, "draining"},
    {HostState::kRebooting, "rebooting"},
    {HostState::kProbing, "probing"},
    {HostState::kFailed, "failed"},
}};

constexpr std::array<base::EnumName<OutReason>, 5> kOutReasonNames{{
    {OutReason::kWave, "wave"},
    {OutReason::kOperator, "operator"},
    {OutReason::kFailed, "failed"},
    {OutReason::kMoving, "moving"},
    {OutReason::kRemoving, "removing"},
}};

constexpr std::array<base::EnumName<WaveState>, 6> kWaveStateNames{{
    {WaveState::kPlanned, "planned"},
    {WaveState::kRunning, "running"},
    {WaveState::kPaused, "paused"},
    {WaveState::kHalted, "halted"},
    {WaveState::kFinished, "finished"},
    {WaveState::kAborted, "aborted"},
}};

// Reads an enumeration value by its name in a JSON member.
template <typename Value, typename Find>
Value ReadEnum(const nlohmann::json& json, const char* member, Find find) {
  const auto name = json.at(member).get<std::string>();
  const std::optional<Value> value = find(name);
  if (!value) {
    throw nlohmann::json::other_error::create(
        0, std::string(member) + " has the unknown value " + name, &json);
  }
  return *value;
}

template <typename Record, typename Read>
base::Result<Record> ParseRecord(std::string_view text, Read read) {
  try {
    return read(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(base::ErrorCode::kInvalid, error.what());
  }
}

HostRecord ReadHost(const nlohmann::json& json) {
  HostRecord record;
  record.host = json.at("host").get<std::string>();
  record.pool = json.at("pool").get<std::string>();
  record.state = ReadEnum<HostState>(json, "state", FindHostState);
  if (json.contains("reason")) {
    record.reason = ReadEnum<OutReason>(json, "reason", FindOutReason);
  }
  if (json.contains("boots")) {
    record.boots = json.at("boots").get<std::uint64_t>();
  }
  record.wave = json.value("wave", "");
  record.bound_for = json.value("bound_for", "");
  record.replaces = json.value("stands_in_for", "");
  record.epoch = json.at("epoch").get<std::uint64_t>();
  record.done_wave = json.value("done_wave", "");
  record.done_run = json.value("done_run", std::uint64_t{0});
  record.wave_run = json.value("wave_run", std::uint64_t{0});
  record.detail = json.value("detail", "");
  record.since_ms = json.value("since_ms", std::int64_t{0});
  return record;
}

PoolRecord ReadPool(const nlohmann::json& json) {
  PoolRecord record;
  record.pool = json.at("pool").get<std::string>();
  record.epoch = json.at("epoch").get<std::uint64_t>();
  record.document_version = json.at("document_version").get<std::uint64_t>();
  record.last_host = json.value("last_host", "");
  for (const auto& [host, entry] : json.at("out").items()) {
    OutEntry& out = record.out[host];
    out.reason = ReadEnum<OutReason>(entry, "reason", FindOutReason);
    out.replaced_by = entry.value("replaced_by", "");
  }
  return record;
}

WaveRecord ReadWave(const nlohmann::json& json) {
  WaveRecord record;
  record.wave = json.at("wave").get<std::string>();
  record.state = ReadEnum<WaveState>(json, "state", FindWaveState);
  record.run = json.at("run").get<std::uint64_t>();
  record.canary = json.value("canary", "");
  record.canaries_done = json.value("canaries_done", 0U);
  for (const auto& failure : json.at("failures")) {
    record.failures.push_back({failure.at("host").get<std::string>(),
                               failure.at("evidence").get<std::string>()});
  }
  record.accepted_failures = json.value("accepted_failures", 0U);
  record.changed_by = json.value("changed_by", "");
  record.detail = json.value("detail", "");
  record.since_ms = json.value("since_ms", std::int64_t{0});
  return record;
}

void SetIfNotEmpty(nlohmann::json& json,
                   const char* member,
                   const std::string& text) {
  if (!text.empty()) {
    json[member] = text;
  }
}

}  // namespace

std::string_view NameOf(HostState state) {
  return base::FindName(kHostStateNames, state);
}

std::optional<HostState> FindHostState(std::string_view name) {
  return base::FindValue(kHostStateNames, name);
}

std::string_view NameOf(OutReason reason) {
  return base::FindName(kOutReasonNames, reason);
}

std::optional<OutReason> FindOutReason(std::string_view name) {
  return base::FindValue(kOutReasonNames, name);
}

std::string_view NameOf(WaveState state) {
  return base::FindName(kWaveStateNames, state);
}

std::optional<WaveState> FindWaveState(std::string_view name) {
  return base::FindValue(kWaveStateNames, name);
}

std::string HostKey(std::string_view host) {
  return "host/" + std::string(host);
}

std::string PoolKey(std::string_view pool) {
  return "pool/" + std::string(pool);
}

std::string WaveKey(std::string_view wave) {
  return "wave/" + std::string(wave);
}

std::string ToJson(const HostRecord& record) {
  nlohmann::json json{{"host", record.host},
                      {"pool", record.pool},
                      {"state", NameOf(record.state)},
                      {"epoch", record.epoch},
                      {"since_ms", record.since_ms}};
  if (record.reason) {
    json["reason"] = NameOf(*record.reason);
  }
  if (record.boots) {
    json["boots"] = *record.boots;
  }
  if (record.wave_run != 0) {
    json["wave_run"] = record.wave_run;
  }
  if (record.done_run != 0) {
    json["done_run"] = record.done_run;
  }
  SetIfNotEmpty(json, "wave", record.wave);
  SetIfNotEmpty(json, "bound_for", record.bound_for);
  SetIfNotEmpty(json, "stands_in_for", record.replaces);
  SetIfNotEmpty(json, "done_wave", record.done_wave);
  SetIfNotEmpty(json, "detail", record.detail);
  return json.dump();
}

std::string ToJson(const PoolRecord& record) {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [host, entry] : record.out) {
    out[host]["reason"] = NameOf(entry.reason);
    SetIfNotEmpty(out[host], "replaced_by", entry.replaced_by);
  }
  return nlohmann::json{{"pool", record.pool},
                        {"epoch", record.epoch},
                        {"document_version", record.document_version},
                        {"last_host", record.last_host},
                        {"out", out}}
      .dump();
}

std::string ToJson(const WaveRecord& record) {
  nlohmann::json failures = nlohmann::json::array();
  for (const WaveFailure& failure : record.failures) {
    failures.push_back(
        {{"host", failure.host}, {"evidence", failure.evidence}});
  }
  nlohmann::json json{{"wave", record.wave},
                      {"state", NameOf(record.state)},
                      {"run", record.run},
                      {"canaries_done", record.canaries_done},
                      {"failures", failures},
                      {"accepted_failures", record.accepted_failures},
                      {"since_ms", record.since_ms}};
  SetIfNotEmpty(json, "canary", record.canary);
  SetIfNotEmpty(json, "changed_by", record.changed_by);
  SetIfNotEmpty(json, "detail", record.detail);
  return json.dump();
}

base::Result<HostRecord> ParseHostRecord(std::string_view json) {
  return ParseRecord<HostRecord>(json, ReadHost);
}

base::Result<PoolRecord> ParsePoolRecord(std::string_view json) {
  return ParseRecord<PoolRecord>(json, ReadPool);
}

base::Result<WaveRecord> ParseWaveRecord(std::string_view json) {
  return ParseRecord<WaveRecord>(json, ReadWave);
}

std::int64_t WallMilliseconds(base::WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace cassiastile::fleet
