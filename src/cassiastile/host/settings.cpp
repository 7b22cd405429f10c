#include "cassiastile/host/settings.hpp"

#include <cmath>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/wire/ipv4_endpoint.hpp"

namespace cassiastile::host {

namespace {

using Json = nlohmann::json;

// Reads members of a JSON object and collects all errors.
class Reader {
 public:
  explicit Reader(const Json& json) : m_json(json) {}

  void Text(const char* name, std::string& value) {
    const Json* member = Find(name);
    if (member == nullptr) {
      return;
    }
    if (member->is_string()) {
      value = member->get<std::string>();
    } else {
      AddError(name, "must be a string");
    }
  }

  void Port(const char* name, std::uint16_t& value) {
    constexpr std::int64_t kMaxPort = 65535;
    const Json* member = Find(name);
    if (member == nullptr) {
      return;
    }
    if (member->is_number_integer() && member->get<std::int64_t>() > 0 &&
        member->get<std::int64_t>() <= kMaxPort) {
      value = member->get<std::uint16_t>();
    } else {
      AddError(name, "must be a port number from 1 to 65535");
    }
  }

  void Address(const char* name, Endpoint& value) {
    std::string text;
    Text(name, text);
    if (text.empty()) {
      return;
    }
    const auto endpoint = ParseEndpoint(text);
    if (endpoint) {
      value = *endpoint;
    } else {
      AddError(name, endpoint.error().message);
    }
  }

  // Reads a duration; `unit_ms` is the member's unit in milliseconds.
  void Time(const char* name,
            std::int64_t unit_ms,
            std::chrono::milliseconds& value) {
    double number = 0;
    if (Number(name, number)) {
      value = std::chrono::milliseconds(
          std::llround(number * static_cast<double>(unit_ms)));
    }
  }

  // Reads milliseconds that may be missing.
  void OptionalTime(const char* name,
                    std::chrono::milliseconds least,
                    std::chrono::milliseconds& value) {
    const auto found = m_json.find(name);
    if (found == m_json.end()) {
      return;
    }
    if (found->is_number() &&
        found->get<double>() > static_cast<double>(least.count())) {
      value = std::chrono::milliseconds(std::llround(found->get<double>()));
    } else {
      AddError(name, fmt::format("must be a number above {}", least.count()));
    }
  }

  bool Number(const char* name, double& value) {
    const Json* member = Find(name);
    if (member == nullptr) {
      return false;
    }
    if (!member->is_number() || member->get<double>() < 0) {
      AddError(name, "must be a non-negative number");
      return false;
    }
    value = member->get<double>();
    return true;
  }

  // Reads a whole number that may be missing.
  void OptionalCount(const char* name, std::size_t least, std::size_t& value) {
    const auto found = m_json.find(name);
    if (found == m_json.end()) {
      return;
    }
    if (found->is_number_unsigned() && found->get<std::size_t>() >= least) {
      value = found->get<std::size_t>();
    } else {
      AddError(name, fmt::format("must be a whole number, {} or more", least));
    }
  }

  // Reads true or false that may be missing.
  void OptionalFlag(const char* name, bool& value) {
    const auto found = m_json.find(name);
    if (found == m_json.end()) {
      return;
    }
    if (found->is_boolean()) {
      value = found->get<bool>();
    } else {
      AddError(name, "must be true or false");
    }
  }

  const std::string& Errors() const { return m_errors; }

 private:
  const Json* Find(const char* name) {
    const auto found = m_json.find(name);
    if (found == m_json.end()) {
      AddError(name, "is missing");
      return nullptr;
    }
    return &*found;
  }

  void AddError(const char* name, std::string_view error) {
    if (!m_errors.empty()) {
      m_errors += "; ";
    }
    m_errors += fmt::format("{} {}", name, error);
  }

  const Json& m_json;
  std::string m_errors;
};

constexpr std::int64_t kMillisecond = 1;
constexpr std::int64_t kSecond = 1000;
// A start may take this long from the leader to a worker.
constexpr std::chrono::milliseconds kMinEvacuationTime{1000};
// Of a machine whose parts for the ports are of any use.
constexpr std::size_t kMinMemoryMb = 32;
constexpr std::size_t kMinDescriptors = 250;

}  // namespace

base::Result<Endpoint> ParseEndpoint(std::string_view text) {
  if (auto endpoint = wire::ParseIpv4Endpoint(text)) {
    return Endpoint{std::move(endpoint->address), endpoint->port};
  }
  return base::Fail(base::ErrorCode::kInvalid,
                    fmt::format("'{}' is not ADDRESS:PORT", text));
}

base::Result<Endpoint> ParseDestination(std::string_view text) {
  auto endpoint = ParseEndpoint(text);
  if (endpoint && !wire::ParseDestination(text)) {
    return base::Fail(base::ErrorCode::kInvalid,
                      fmt::format("no call can go to '{}'", text));
  }
  return endpoint;
}

base::Result<HostSettings> ParseHostSettings(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false, true);
  if (!json.is_object()) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "the settings are not a JSON object");
  }
  HostSettings settings;
  Reader reader(json);
  reader.Text("host", settings.host);
  reader.Text("availability_zone", settings.availability_zone);
  reader.Text("address", settings.address);
  reader.Port("peer_port", settings.peer_port);
  reader.Port("metrics_port", settings.metrics_port);
  reader.Address("client_endpoint", settings.client_endpoint);
  reader.Address("ready_endpoint", settings.ready_endpoint);
  reader.Address("table_endpoint", settings.table_endpoint);
  reader.Address("machines_endpoint", settings.machines_endpoint);
  reader.Text("advice_endpoint", settings.advice_endpoint);
  reader.Time("max_worker_lease_ms", kMillisecond, settings.max_worker_lease);
  reader.Time("drain_ms", kMillisecond, settings.drain_time);
  reader.OptionalTime("evacuate_ms", kMinEvacuationTime,
                      settings.evacuation_time);
  reader.Time("stop_grace_s", kSecond, settings.stop_grace);
  reader.Time("finished_state_s", kSecond, settings.keep_finished);
  reader.Time("machine_order_lease_ms", kMillisecond,
              settings.machine_order_lease);
  reader.Number("processor_share", settings.processor_share);
  reader.OptionalCount("memory_mb", kMinMemoryMb, settings.machine.memory_mb);
  reader.OptionalCount("max_descriptors", kMinDescriptors,
                       settings.machine.descriptors);
  reader.OptionalCount("min_relayed_workers", 0, settings.min_relayed_workers);
  reader.OptionalCount("max_reserved_starts", 0, settings.max_reserved_starts);
  reader.OptionalFlag("share_by_weight", settings.share_by_weight);
  reader.OptionalFlag("avoid_slow_workers", settings.avoid_slow_workers);
  if (!reader.Errors().empty()) {
    return base::Fail(base::ErrorCode::kInvalid, reader.Errors());
  }
  return settings;
}

}  // namespace cassiastile::host
