#include "cassiastile/work/task_poll.hpp"

#include <array>

#include <nlohmann/json.hpp>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::work {

namespace {

using Json = nlohmann::json;

constexpr std::array<base::EnumName<RunEnd>, 5> kEndNames{{
    {RunEnd::kSucceeded, "succeeded"},
    {RunEnd::kFailed, "failed"},
    {RunEnd::kCheckpointed, "checkpointed"},
    {RunEnd::kStopped, "stopped"},
    {RunEnd::kNotStarted, "not-started"},
}};

Json EncodeRef(const RunRef& run) {
  return {{"key", run.key}, {"epoch", run.epoch}};
}

RunRef DecodeRef(const Json& json) {
  return {json.at("key").get<std::string>(),
          json.at("epoch").get<std::uint64_t>()};
}

Json EncodeRefs(const std::vector<RunRef>& runs) {
  Json array = Json::array();
  for (const RunRef& run : runs) {
    array.push_back(EncodeRef(run));
  }
  return array;
}

std::vector<RunRef> DecodeRefs(const Json& array) {
  std::vector<RunRef> runs;
  for (const Json& json : array) {
    runs.push_back(DecodeRef(json));
  }
  return runs;
}

Json EncodeHeld(const HeldRun& held) {
  return {{"key", held.key},
          {"epoch", held.epoch},
          {"progress", held.progress},
          {"measured", held.measured},
          {"cores", held.usage.cores},
          {"memory_gb", held.usage.memory_gb},
          {"accelerators", held.usage.accelerators}};
}

HeldRun DecodeHeld(const Json& json) {
  HeldRun held;
  held.key = json.at("key").get<std::string>();
  held.epoch = json.at("epoch").get<std::uint64_t>();
  held.progress = json.value("progress", 0.0);
  held.measured = json.value("measured", false);
  held.usage = {json.value("cores", 0.0), json.value("memory_gb", 0.0),
                json.value("accelerators", 0.0)};
  return held;
}

Json EncodeEnded(const EndedRun& ended) {
  return {{"key", ended.key},
          {"epoch", ended.epoch},
          {"end", NameOf(ended.end)},
          {"seconds", ended.seconds},
          {"core_seconds", ended.used.cores},
          {"memory_gb_seconds", ended.used.memory_gb},
          {"accelerator_seconds", ended.used.accelerators},
          {"checkpoint", ended.checkpoint},
          {"message", ended.message}};
}

EndedRun DecodeEnded(const Json& json) {
  EndedRun ended;
  ended.key = json.at("key").get<std::string>();
  ended.epoch = json.at("epoch").get<std::uint64_t>();
  ended.end =
      base::FindValue(kEndNames, json.at("end").get_ref<const std::string&>())
          .value_or(RunEnd::kStopped);
  ended.seconds = json.value("seconds", 0.0);
  ended.used = {json.value("core_seconds", 0.0),
                json.value("memory_gb_seconds", 0.0),
                json.value("accelerator_seconds", 0.0)};
  ended.checkpoint = json.value("checkpoint", "");
  ended.message = json.value("message", "");
  return ended;
}

Json EncodeStart(const StartOrder& start) {
  const TaskSpec& spec = start.spec;
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
          {"payload", spec.payload},
          {"epoch", start.epoch},
          {"checkpoint", start.checkpoint}};
}

StartOrder DecodeStart(const Json& json) {
  StartOrder start;
  TaskSpec& spec = start.spec;
  spec.id = json.at("id").get<std::string>();
  spec.queue = json.at("queue").get<std::string>();
  spec.team = json.value("team", "");
  spec.urgent = json.value("urgent", false);
  spec.kind = json.value("kind", "");
  spec.declared = {json.value("cores", 1.0), json.value("memory_gb", 1.0),
                   json.value("accelerators", 0.0)};
  spec.seconds = json.value("seconds", 1.0);
  spec.idempotent = json.value("idempotent", false);
  spec.checkpointable = json.value("checkpointable", false);
  spec.payload = json.value("payload", "");
  start.epoch = json.at("epoch").get<std::uint64_t>();
  start.checkpoint = json.value("checkpoint", "");
  return start;
}

WorkerPoll PollFrom(const Json& json) {
  WorkerPoll poll;
  poll.worker = json.value("worker", "");
  poll.incarnation = json.at("incarnation").get<std::uint64_t>();
  poll.sequence = json.at("sequence").get<std::uint64_t>();
  poll.pool = json.value("pool", "");
  poll.leaving = json.value("leaving", false);
  for (const Json& held : json.value("held", Json::array())) {
    poll.held.push_back(DecodeHeld(held));
  }
  for (const Json& ended : json.value("ended", Json::array())) {
    poll.ended.push_back(DecodeEnded(ended));
  }
  return poll;
}

PollAnswer AnswerFrom(const Json& json) {
  PollAnswer answer;
  answer.pool = json.at("pool").get<std::string>();
  answer.home_pool = json.at("home_pool").get<std::string>();
  answer.shard_epoch = json.at("shard_epoch").get<std::uint64_t>();
  answer.lease =
      std::chrono::milliseconds(json.at("lease_ms").get<std::int64_t>());
  answer.poll_after =
      std::chrono::milliseconds(json.at("poll_after_ms").get<std::int64_t>());
  for (const Json& start : json.at("start")) {
    answer.start.push_back(DecodeStart(start));
  }
  answer.stop = DecodeRefs(json.at("stop"));
  answer.checkpoint = DecodeRefs(json.at("checkpoint"));
  for (const Json& order : json.at("throttle")) {
    answer.throttle.push_back(
        {DecodeRef(order), order.at("fraction").get<double>()});
  }
  answer.acknowledged = DecodeRefs(json.at("acknowledged"));
  return answer;
}

template <typename Value>
base::Result<Value> Decode(const std::string& text,
                           Value (*from)(const Json&)) {
  try {
    return from(Json::parse(text));
  } catch (const Json::exception& error) {
    return base::Fail(base::ErrorCode::kInvalid, error.what());
  }
}

}  // namespace

std::string_view NameOf(RunEnd end) {
  return base::FindName(kEndNames, end);
}

std::string EncodePoll(const WorkerPoll& poll) {
  Json held = Json::array();
  for (const HeldRun& run : poll.held) {
    held.push_back(EncodeHeld(run));
  }
  Json ended = Json::array();
  for (const EndedRun& run : poll.ended) {
    ended.push_back(EncodeEnded(run));
  }
  const Json json{{"worker", poll.worker},
                  {"incarnation", poll.incarnation},
                  {"sequence", poll.sequence},
                  {"pool", poll.pool},
                  {"leaving", poll.leaving},
                  {"held", held},
                  {"ended", ended}};
  return json.dump();
}

base::Result<WorkerPoll> DecodePoll(const std::string& text) {
  return Decode(text, PollFrom);
}

std::string EncodePollAnswer(const PollAnswer& answer) {
  Json start = Json::array();
  for (const StartOrder& order : answer.start) {
    start.push_back(EncodeStart(order));
  }
  Json throttle = Json::array();
  for (const ThrottleOrder& order : answer.throttle) {
    Json json = EncodeRef(order.run);
    json["fraction"] = order.fraction;
    throttle.push_back(std::move(json));
  }
  const Json json{{"pool", answer.pool},
                  {"home_pool", answer.home_pool},
                  {"shard_epoch", answer.shard_epoch},
                  {"lease_ms", base::Milliseconds(answer.lease)},
                  {"poll_after_ms", base::Milliseconds(answer.poll_after)},
                  {"start", start},
                  {"stop", EncodeRefs(answer.stop)},
                  {"checkpoint", EncodeRefs(answer.checkpoint)},
                  {"throttle", throttle},
                  {"acknowledged", EncodeRefs(answer.acknowledged)}};
  return json.dump();
}

base::Result<PollAnswer> DecodePollAnswer(const std::string& text) {
  return Decode(text, AnswerFrom);
}

}  // namespace cassiastile::work
