#include "cassiastile/config/fleet_reader.hpp"

#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/config/field_reader.hpp"
#include "cassiastile/config/fleet_check.hpp"
#include "cassiastile/config/nearest_name.hpp"

namespace cassiastile::config {

namespace {

constexpr NumberRange kCores{1, 1024};
constexpr NumberRange kMemoryGb{1, 65536};
constexpr NumberRange kAccelerators{0, 256};
constexpr NumberRange kHostCount{0, 100000};
constexpr NumberRange kAtLeastOneHost{1, 100000};
constexpr NumberRange kRunners{1, 100000};
constexpr NumberRange kSlots{1, 65536};
constexpr NumberRange kDeadlineMs{1, 3600000};
constexpr NumberRange kQueueLimit{0, 1000000};
constexpr NumberRange kWeight{1, 1000000};
constexpr NumberRange kRunningLimit{0, 10000000};
constexpr NumberRange kDrainDeadlineS{1, 604800};
constexpr std::uint32_t kMinutesPerHour = 60;
constexpr std::uint32_t kHoursPerDay = 24;
constexpr std::string_view kWindowForm = "HH:MM-HH:MM";

std::uint32_t Count(FieldReader& reader,
                    std::string_view name,
                    NumberRange range,
                    std::uint32_t default_value) {
  return static_cast<std::uint32_t>(reader.Number(name, range, default_value));
}

std::uint32_t RequiredCount(FieldReader& reader,
                            std::string_view name,
                            NumberRange range) {
  return static_cast<std::uint32_t>(reader.RequiredNumber(name, range));
}

// Parses a number below a bound.
std::optional<std::uint32_t> ReadTwoDigits(std::string_view text,
                                           std::uint32_t bound) {
  std::uint32_t number = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (read.ec != std::errc() || read.ptr != end || number >= bound) {
    return std::nullopt;
  }
  return number;
}

// Parses a time of day such as 22:00, always five characters, as minutes from
// midnight.
std::optional<std::uint32_t> ReadMinuteOfDay(std::string_view text) {
  const auto hour = ReadTwoDigits(text.substr(0, 2), kHoursPerDay);
  const auto minute = ReadTwoDigits(text.substr(3, 2), kMinutesPerHour);
  if (!hour || !minute || text[2] != ':') {
    return std::nullopt;
  }
  return *hour * kMinutesPerHour + *minute;
}

std::optional<Window> ParseWindow(std::string_view text) {
  constexpr std::size_t kDashIndex = 5;
  if (text.size() != kWindowForm.size() || text[kDashIndex] != '-') {
    return std::nullopt;
  }
  const auto start = ReadMinuteOfDay(text.substr(0, kDashIndex));
  const auto end = ReadMinuteOfDay(text.substr(kDashIndex + 1));
  if (!start || !end) {
    return std::nullopt;
  }
  return Window{*start, *end};
}

Window ReadWindow(FieldReader& reader) {
  const std::string text = reader.Text("window", "00:00-00:00");
  const auto window = ParseWindow(text);
  if (!window) {
    reader.Report("window",
                  fmt::format("must be two times of day in UTC as {}, such as "
                              "22:00-04:00",
                              kWindowForm));
  }
  return window.value_or(Window{});
}

WaveOrder ReadWaveOrder(FieldReader& reader) {
  const std::string text =
      reader.Text("order", NameOf(WaveOrder::kLongestFreeFirst));
  const auto order = FindWaveOrder(text);
  if (!order) {
    reader.Report("order", fmt::format("must be {} or {}",
                                       NameOf(WaveOrder::kLongestFreeFirst),
                                       NameOf(WaveOrder::kAsListed)));
  }
  return order.value_or(WaveOrder::kLongestFreeFirst);
}

std::vector<std::string> SectionNames() {
  std::vector<std::string> names;
  for (auto i = static_cast<int>(SectionName::kOperators);
       i <= static_cast<int>(SectionName::kWaves); ++i) {
    names.emplace_back(NameOf(static_cast<SectionName>(i)));
  }
  return names;
}

Ownership ReadOwnership(FieldReader& reader) {
  Ownership row;
  const std::string section = reader.Text("section");
  const auto known = FindSection(section);
  if (!known && !section.empty()) {
    reader.Report("section",
                  fmt::format("\"{}\" is not a section{}", section,
                              FormatSuggestion(section, SectionNames())));
  }
  row.section = known.value_or(SectionName::kOperators);
  row.owner = reader.Name("owner");
  return row;
}

Host ReadHost(FieldReader& reader) {
  Host host;
  host.name = reader.Name("name");
  host.zone = reader.Name("zone");
  host.rack = reader.Name("rack");
  host.cores = Count(reader, "cores", kCores, host.cores);
  host.memory_gb = Count(reader, "memory_gb", kMemoryGb, host.memory_gb);
  host.accelerators =
      Count(reader, "accelerators", kAccelerators, host.accelerators);
  return host;
}

Pool ReadPool(FieldReader& reader) {
  Pool pool;
  pool.name = reader.Name("name");
  pool.spare = reader.Flag("spare", pool.spare);
  pool.budget.max_out = RequiredCount(reader, "max_out", kHostCount);
  pool.survive_zone_loss =
      reader.Flag("survive_zone_loss", pool.survive_zone_loss);
  reader.ForEach("hosts", true, [&pool](FieldReader& host) {
    pool.hosts.push_back(ReadHost(host));
  });
  return pool;
}

Service ReadService(FieldReader& reader) {
  Service service;
  service.name = reader.Name("name");
  service.pool = reader.Name("pool");
  service.runners = Count(reader, "runners", kRunners, service.runners);
  service.slots_per_runner =
      Count(reader, "slots_per_runner", kSlots, service.slots_per_runner);
  service.connections_per_runner = Count(
      reader, "connections_per_runner", kSlots, service.connections_per_runner);
  service.deadline = std::chrono::milliseconds(
      reader.Number("deadline_ms", kDeadlineMs, service.deadline.count()));
  service.queue_limit =
      Count(reader, "queue_limit", kQueueLimit, service.queue_limit);
  service.open = reader.Flag("open", service.open);
  return service;
}

Queue ReadQueue(FieldReader& reader) {
  Queue queue;
  queue.name = reader.Name("name");
  queue.pool = reader.Name("pool");
  queue.team = reader.Text("team", "");
  queue.urgent = reader.Flag("urgent", queue.urgent);
  return queue;
}

Wave ReadWave(FieldReader& reader) {
  Wave wave;
  wave.name = reader.Name("name");
  wave.pools = reader.TextList("pools");
  wave.order = ReadWaveOrder(reader);
  wave.window = ReadWindow(reader);
  wave.parallel = Count(reader, "parallel", kAtLeastOneHost, wave.parallel);
  wave.per_rack = Count(reader, "per_rack", kAtLeastOneHost, wave.per_rack);
  wave.canaries = Count(reader, "canaries", kHostCount, wave.canaries);
  wave.halt_after =
      Count(reader, "halt_after", kAtLeastOneHost, wave.halt_after);
  wave.drain_deadline = std::chrono::seconds(reader.Number(
      "drain_deadline_s", kDrainDeadlineS, wave.drain_deadline.count()));
  wave.cut_at_deadline = reader.Flag("cut_at_deadline", wave.cut_at_deadline);
  return wave;
}

Operator ReadOperator(FieldReader& reader) {
  return {reader.Name("name"), reader.Text("key_sha256")};
}

Zone ReadZone(FieldReader& reader) {
  return {reader.Name("name"), reader.Name("region")};
}

Team ReadTeam(FieldReader& reader) {
  return {reader.Name("name"), reader.Name("customer")};
}

Key ReadKey(FieldReader& reader) {
  return {reader.Name("id"), reader.Name("team"), reader.Text("sha256")};
}

Share ReadShare(FieldReader& reader) {
  return {reader.Name("team"), RequiredCount(reader, "weight", kWeight)};
}

Limit ReadLimit(FieldReader& reader) {
  return {reader.Name("team"), RequiredCount(reader, "requests", kRunningLimit),
          RequiredCount(reader, "tasks", kRunningLimit)};
}

// Reads one section, which is a required list of rows.
template <typename Row>
void ReadSection(FieldReader& reader,
                 SectionName section,
                 std::vector<Row>& rows,
                 Row (*read)(FieldReader&)) {
  reader.ForEach(NameOf(section), true, [&rows, read](FieldReader& row) {
    rows.push_back(read(row));
  });
}

}  // namespace

Fleet ReadFields(const PositionedDocument& document, base::Findings& findings) {
  Fleet fleet;
  FieldReader reader(document, document.root, "", findings);
  fleet.name = reader.Name("fleet");
  ReadSection(reader, SectionName::kOperators, fleet.operators, ReadOperator);
  ReadSection(reader, SectionName::kOwnership, fleet.ownership, ReadOwnership);
  ReadSection(reader, SectionName::kZones, fleet.zones, ReadZone);
  ReadSection(reader, SectionName::kPools, fleet.pools, ReadPool);
  ReadSection(reader, SectionName::kServices, fleet.services, ReadService);
  ReadSection(reader, SectionName::kQueues, fleet.queues, ReadQueue);
  ReadSection(reader, SectionName::kTeams, fleet.teams, ReadTeam);
  ReadSection(reader, SectionName::kKeys, fleet.keys, ReadKey);
  ReadSection(reader, SectionName::kShares, fleet.shares, ReadShare);
  ReadSection(reader, SectionName::kLimits, fleet.limits, ReadLimit);
  ReadSection(reader, SectionName::kWaves, fleet.waves, ReadWave);
  reader.ReportUnknownFields();
  return fleet;
}

tl::expected<Fleet, base::Findings> ReadFleet(std::string_view text,
                                              const std::string& file) {
  const auto document = ParsePositionedJson(text, file);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  base::Findings findings = document->duplicates;
  Fleet fleet = ReadFields(*document, findings);
  for (base::Finding& finding : CheckFleet(fleet, *document, findings)) {
    AddFinding(findings, std::move(finding));
  }
  if (!findings.empty()) {
    return tl::make_unexpected(std::move(findings));
  }
  return fleet;
}

}  // namespace cassiastile::config
