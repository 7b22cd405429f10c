#include "cassiastile/work/task.hpp"

#include <algorithm>
#include <array>
#include <cctype>

#include <nlohmann/json.hpp>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::work {

namespace {

using Json = nlohmann::json;

// Rounding errors of summed resources must not keep out a size that just fits.
constexpr double kRoundingSlack = 1e-9;
constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxPayloadBytes = 64U << 10U;

constexpr std::array<base::EnumName<TaskState>, 5> kStateNames{{
    {TaskState::kQueued, "queued"},
    {TaskState::kLeased, "leased"},
    {TaskState::kRunning, "running"},
    {TaskState::kInDoubt, "in-doubt"},
    {TaskState::kEnded, "ended"},
}};

constexpr std::array<base::EnumName<TaskOutcome>, 5> kOutcomeNames{{
    {TaskOutcome::kNone, "none"},
    {TaskOutcome::kSucceeded, "succeeded"},
    {TaskOutcome::kFailed, "failed"},
    {TaskOutcome::kCancelled, "cancelled"},
    {TaskOutcome::kRefused, "refused"},
}};

double FractionOf(double amount, double capacity) {
  return capacity > 0 ? amount / capacity : 0;
}

Json EncodeLease(const TaskLease& lease) {
  return {{"worker", lease.worker},
          {"incarnation", lease.incarnation},
          {"epoch", lease.epoch}};
}

TaskLease DecodeLease(const Json& json) {
  return {json.at("worker").get<std::string>(),
          json.at("incarnation").get<std::uint64_t>(),
          json.at("epoch").get<std::uint64_t>()};
}

Json EncodeSpec(const TaskSpec& spec) {
  return {{"id", spec.id},
          {"queue", spec.queue},
          {"team", spec.team},
          {"urgent", spec.urgent},
          {"kind", spec.kind},
          {"cores", spec.declared.cores},
          {"memory_gb", spec.declared.memory_gb},
          {"accelerators", spec.declared.accelerators},
          {"seconds", spec.seconds},
          {"idempotent", spec.idempotent},
          {"checkpointable", spec.checkpointable},
          {"payload", spec.payload}};
}

TaskSpec DecodeSpec(const Json& json) {
  TaskSpec spec;
  spec.id = json.at("id").get<std::string>();
  spec.queue = json.value("queue", "");
  spec.team = json.value("team", "");
  spec.urgent = json.value("urgent", false);
  spec.kind = json.value("kind", "");
  spec.declared.cores = json.value("cores", spec.declared.cores);
  spec.declared.memory_gb = json.value("memory_gb", spec.declared.memory_gb);
  spec.declared.accelerators = json.value("accelerators", 0.0);
  spec.seconds = json.value("seconds", spec.seconds);
  spec.idempotent = json.value("idempotent", false);
  spec.checkpointable = json.value("checkpointable", false);
  spec.payload = json.value("payload", "");
  return spec;
}

Task DecodeRecord(const Json& json) {
  Task task;
  task.spec = DecodeSpec(json.at("spec"));
  task.sequence = json.at("sequence").get<std::uint64_t>();
  const auto state = base::FindValue(
      kStateNames, json.at("state").get_ref<const std::string&>());
  const auto outcome = base::FindValue(
      kOutcomeNames, json.at("outcome").get_ref<const std::string&>());
  task.state = state.value_or(TaskState::kInDoubt);
  task.outcome = outcome.value_or(TaskOutcome::kNone);
  task.lease = DecodeLease(json.at("lease"));
  for (const Json& lease : json.at("unconfirmed")) {
    task.unconfirmed.push_back(DecodeLease(lease));
  }
  task.failed_on = json.at("failed_on").get<std::vector<std::string>>();
  task.cancel_requested = json.at("cancel_requested").get<bool>();
  task.checkpoint = json.at("checkpoint").get<std::string>();
  task.progress = json.at("progress").get<double>();
  task.reason = json.at("reason").get<std::string>();
  task.placement = json.value("placement", "");
  task.changed_ms = json.at("changed_ms").get<std::int64_t>();
  return task;
}

bool IsIdCharacter(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
         character == '.' || character == '_' || character == '-';
}

bool IsValidId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdLength &&
         std::all_of(id.begin(), id.end(), IsIdCharacter);
}

base::Result<TaskSpec> CheckSpec(TaskSpec spec) {
  using base::ErrorCode;
  if (!IsValidId(spec.id)) {
    return base::Fail(ErrorCode::kInvalid,
                      "id must be 1 to 64 letters, digits, dots, underscores "
                      "or dashes");
  }
  const Resources& declared = spec.declared;
  if (declared.cores <= 0 || declared.memory_gb < 0 ||
      declared.accelerators < 0 || spec.seconds <= 0) {
    return base::Fail(ErrorCode::kInvalid,
                      "cores and seconds must be greater than zero, memory_gb "
                      "and accelerators must not be negative");
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return base::Fail(ErrorCode::kInvalid, "payload is larger than 64 KiB");
  }
  return spec;
}

}  // namespace

Resources operator+(const Resources& left, const Resources& right) {
  return {left.cores + right.cores, left.memory_gb + right.memory_gb,
          left.accelerators + right.accelerators};
}

Resources operator-(const Resources& left, const Resources& right) {
  return left + right * -1;
}

Resources operator*(const Resources& amount, double factor) {
  return {amount.cores * factor, amount.memory_gb * factor,
          amount.accelerators * factor};
}

bool Fits(const Resources& amount, const Resources& free) {
  return amount.cores <= free.cores + kRoundingSlack &&
         amount.memory_gb <= free.memory_gb + kRoundingSlack &&
         amount.accelerators <= free.accelerators + kRoundingSlack;
}

double DominantShare(const Resources& amount, const Resources& capacity) {
  return std::max({FractionOf(amount.cores, capacity.cores),
                   FractionOf(amount.memory_gb, capacity.memory_gb),
                   FractionOf(amount.accelerators, capacity.accelerators)});
}

std::string_view NameOf(TaskState state) {
  return base::FindName(kStateNames, state);
}

std::string_view NameOf(TaskOutcome outcome) {
  return base::FindName(kOutcomeNames, outcome);
}

std::string KeyOf(const TaskSpec& spec) {
  return spec.queue + "/" + spec.id;
}

std::string TaskRowKey(const std::string& pool, const std::string& task_key) {
  return "task/" + pool + "/" + task_key;
}

std::string EncodeTask(const Task& task) {
  Json unconfirmed = Json::array();
  for (const TaskLease& lease : task.unconfirmed) {
    unconfirmed.push_back(EncodeLease(lease));
  }
  const Json json{{"spec", EncodeSpec(task.spec)},
                  {"sequence", task.sequence},
                  {"state", NameOf(task.state)},
                  {"outcome", NameOf(task.outcome)},
                  {"lease", EncodeLease(task.lease)},
                  {"unconfirmed", unconfirmed},
                  {"failed_on", task.failed_on},
                  {"cancel_requested", task.cancel_requested},
                  {"checkpoint", task.checkpoint},
                  {"progress", task.progress},
                  {"reason", task.reason},
                  {"placement", task.placement},
                  {"changed_ms", task.changed_ms}};
  return json.dump();
}

base::Result<Task> DecodeTask(const std::string& text) {
  try {
    return DecodeRecord(Json::parse(text));
  } catch (const Json::exception& error) {
    return base::Fail(base::ErrorCode::kInvalid, error.what());
  }
}

base::Result<TaskSpec> ParseTaskSpec(const std::string& body) {
  try {
    TaskSpec spec = DecodeSpec(Json::parse(body));
    spec.queue.clear();
    spec.team.clear();
    spec.urgent = false;
    return CheckSpec(std::move(spec));
  } catch (const Json::exception& error) {
    return base::Fail(base::ErrorCode::kInvalid, error.what());
  }
}

}  // namespace cassiastile::work
