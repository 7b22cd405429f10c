#include "platform.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kPrecondition = 412;
constexpr int kWrongInstance = 421;
constexpr int kTooMany = 429;
// Calls for advice that wait at most.
constexpr std::size_t kMaxWaitingAdvice = 32;
// A healthy store answers within this time.
constexpr milliseconds kStoreDelay{4};
constexpr milliseconds kTransactionTime{5};
constexpr milliseconds kPoll{10};
constexpr std::size_t kPageRows = 500;
constexpr std::size_t kPageBytes = 1000000;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxListedEnds = 500;
constexpr std::size_t kHistory = 20000;

std::size_t DecodedBytes(const std::string& base64) {
  const auto padding = std::ranges::count(base64, '=');
  return base64.size() / 4 * 3 - static_cast<std::size_t>(padding);
}

std::string Parameter(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

std::uint64_t Number(const std::string& text, std::uint64_t missing) {
  return text.empty() ? missing : std::stoull(text);
}

struct TaskName {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
};

std::optional<TaskName> ParseTask(const std::string& text) {
  TaskName name;
  char job[17] = {};
  if (std::sscanf(text.c_str(), "%16[0-9a-f].%u.%u.%u", job, &name.occurrence,
                  &name.step, &name.index) != 4) {
    return std::nullopt;
  }
  name.job = job;
  return name;
}

}  // namespace

std::int64_t Now() {
  static const auto begin = SteadyClock::now();
  return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - begin)
      .count();
}

std::int64_t WallNow() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string EncodeBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const auto byte = i + j < bytes.size()
                            ? static_cast<unsigned char>(bytes[i + j])
                            : static_cast<unsigned char>(0);
      group = group << 8U | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
    }
  }
  return text;
}

std::unique_ptr<Record> Record::Open(const std::string& path) {
  std::FILE* file = std::fopen(path.c_str(), "w");
  return file == nullptr ? nullptr : std::unique_ptr<Record>(new Record(file));
}

void Record::Line(const std::string& text) {
  std::fprintf(m_file.get(), "%8.3f %s\n", static_cast<double>(Now()) / 1000.0,
               text.c_str());
  std::fflush(m_file.get());
}

std::string JobPlan::Body() const {
  Json body{{"spec", Spec()}, {"steps", Json::array()}};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const StepPlan& plan = steps[i];
    Json step{{"count", plan.count},
              {"cpu", plan.cpu},
              {"mem_mb", plan.memory_mb},
              {"estimate_ms", plan.work_ms}};
    if (i > 0) {
      step["after"] = {i - 1};
    }
    if (plan.checkpointing) {
      step["checkpointing"] = true;
    }
    if (plan.gang) {
      step["gang"] = true;
    }
    body["steps"].push_back(std::move(step));
  }
  if (repeats > 0) {
    body["repeat_count"] = repeats;
    body["start_at_ms"] = start_at_ms;
    body["interval_ms"] = interval_ms;
  }
  return body.dump();
}

Store::Store(asio::io_context& context, Record& record)
    : m_record(record), m_server(context, [this](HttpRequest request) {
        return Handle(std::move(request));
      }) {}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  ++m_version;
  m_rows[{table, "", key}] = {EncodeBase64(value), m_version};
  m_history.push_back({{table, "", key}, m_version, false});
}

void Store::Drop(const std::string& table, const std::string& key) {
  ++m_version;
  m_rows.erase({table, "", key});
  m_history.push_back({{table, "", key}, m_version, true});
}

Json Store::RowOf(const Key& key) const {
  const auto& [table, part, name] = key;
  Json row{{"table", table}, {"part", part}, {"key", name}};
  const auto found = m_rows.find(key);
  if (found != m_rows.end()) {
    row["value"] = found->second.bytes;
    row["schema_version"] = found->second.version;
  }
  return row;
}

std::string Store::Rows(Json rows, bool has_more) const {
  return Json{{"rows", std::move(rows)},
              {"has_more", has_more},
              {"schema_version", m_version},
              {"now_ms", Now()}}
      .dump();
}

HttpResponse Store::Refuse(const std::string& why) {
  ++m_too_large;
  m_record.Line("store refuses a transaction: " + why);
  return {.status = kBadRequest, .body = Json{{"error", why}}.dump()};
}

HttpResponse Store::Commit(const std::string& text) {
  if (text.size() > m_limits.call_bytes) {
    return Refuse(std::to_string(text.size()) + " bytes");
  }
  const Json body = Json::parse(text);
  const auto list = [&body](const char* name) {
    return body.value(name, Json::array());
  };
  const Json expect = list("expect");
  const Json puts = list("puts");
  const Json drop = list("drop");
  if (expect.size() + puts.size() + drop.size() > m_limits.entries) {
    return Refuse("too many entries");
  }
  const auto key_of = [](const Json& row) {
    return Key{row.value("table", ""), row.value("part", ""),
               row.value("key", "")};
  };
  for (const Json& row : puts) {
    const auto [table, part, key] = key_of(row);
    const std::size_t bytes = DecodedBytes(row.value("value", ""));
    m_largest_row = std::max(m_largest_row, bytes);
    if (bytes > m_limits.row_bytes ||
        std::max({table.size(), part.size(), key.size()}) > kMaxKeyBytes) {
      return Refuse("row " + table + "/" + key + " has " +
                    std::to_string(bytes) + " bytes");
    }
  }
  Json current = Json::array();
  bool holds = true;
  for (const Json& row : expect) {
    const auto found = m_rows.find(key_of(row));
    const std::uint64_t version =
        found == m_rows.end() ? 0 : found->second.version;
    holds = holds && version == row.value("schema_version", std::uint64_t{0});
    if (found != m_rows.end()) {
      current.push_back(RowOf(found->first));
    }
  }
  if (!holds) {
    return {.status = kPrecondition, .body = Rows(std::move(current), false)};
  }
  ++m_version;
  for (const Json& row : puts) {
    m_rows[key_of(row)] = {row.value("value", ""), m_version};
    m_history.push_back({key_of(row), m_version, false});
  }
  for (const Json& row : drop) {
    m_rows.erase(key_of(row));
    m_history.push_back({key_of(row), m_version, true});
  }
  while (m_history.size() > kHistory) {
    m_history.pop_front();
  }
  return {.status = kOk, .body = Rows(Json::array(), false)};
}

HttpResponse Store::Read(const HttpRequest& request) const {
  const std::string table = Parameter(request, "table");
  const std::string part = Parameter(request, "part");
  const std::string to = Parameter(request, "to");
  const std::size_t limit =
      std::min(kPageRows, Number(Parameter(request, "limit"), kPageRows));
  Json rows = Json::array();
  std::size_t bytes = 0;
  bool has_more = false;
  for (auto row = m_rows.lower_bound({table, part, Parameter(request, "from")});
       row != m_rows.end(); ++row) {
    const auto& [row_table, row_part, key] = row->first;
    if (row_table != table || row_part != part || (!to.empty() && key >= to)) {
      break;
    }
    bytes += row->second.bytes.size() + key.size();
    if (rows.size() == limit || (bytes > kPageBytes && !rows.empty())) {
      has_more = true;
      break;
    }
    rows.push_back(RowOf(row->first));
  }
  return {.status = kOk, .body = Rows(std::move(rows), has_more)};
}

awaitable<HttpResponse> Store::Feed(HttpRequest request) {
  const std::string table = Parameter(request, "table");
  const std::uint64_t after = Number(Parameter(request, "after"), 0);
  const std::int64_t until = Now() + static_cast<std::int64_t>(Number(
                                         Parameter(request, "wait_ms"), 0));
  constexpr int kGone = 410;
  if (!m_history.empty() && m_history.size() == kHistory &&
      after + 1 < m_history.front().version) {
    co_return HttpResponse{.status = kGone};
  }
  std::uint64_t seen = after;
  while (true) {
    Json rows = Json::array();
    for (auto change = std::ranges::lower_bound(m_history, seen + 1, {},
                                                &Change::version);
         change != m_history.end(); ++change) {
      if (std::get<0>(change->key) != table) {
        continue;
      }
      Json row = RowOf(change->key);
      const auto current = m_rows.find(change->key);
      if (change->is_dropped) {
        row["deleted"] = true;
        row["schema_version"] = change->version;
      } else if (current == m_rows.end() ||
                 current->second.version != change->version) {
        continue;  // A later change of the row follows.
      }
      rows.push_back(std::move(row));
    }
    seen = m_version;
    if (!rows.empty() || Now() >= until) {
      co_return HttpResponse{.status = kOk,
                             .body = Rows(std::move(rows), false)};
    }
    co_await Sleep(kPoll);
  }
}

awaitable<HttpResponse> Store::Handle(HttpRequest request) {
  co_await Sleep(kStoreDelay);
  if (request.path == "/api/rows-tx") {
    co_await Sleep(kTransactionTime);
    co_return Commit(request.body);
  }
  if (request.path == "/api/rows-get") {
    co_return Read(request);
  }
  if (request.path == "/api/rows-feed") {
    co_return co_await Feed(std::move(request));
  }
  co_return HttpResponse{.status = kNotFound};
}

Advisor::Advisor(asio::io_context& context, Record& record, Policy policy)
    : Advisor(context, record, std::move(policy), Times{}) {}

Advisor::Advisor(asio::io_context& context,
                 Record& record,
                 Policy policy,
                 Times times)
    : m_record(record),
      m_policy(std::move(policy)),
      m_times(times),
      m_server(context, [this](HttpRequest request) {
        return Handle(std::move(request));
      }) {}

awaitable<HttpResponse> Advisor::Handle(HttpRequest request) {
  const Json body = Json::parse(request.body);
  const std::string step = body.at("step");
  const auto workers = body.at("workers").get<std::vector<std::string>>();
  if (m_waiting >= kMaxWaitingAdvice) {
    m_record.Line("advice for step " + step + ": 429");
    co_return HttpResponse{.status = kTooMany};
  }
  ++m_waiting;
  const std::uint64_t turn = m_next_turn++;
  while (turn != m_turn) {
    co_await Sleep(milliseconds(2));
  }
  --m_waiting;
  co_await Sleep(milliseconds(m_times.decision_ms +
                              m_times.period_ms *
                                  static_cast<std::int64_t>(workers.size())));
  Json allowed = Json::array();
  std::string names;
  for (const std::string& worker : workers) {
    if (!m_policy(worker)) {
      continue;
    }
    const std::string ticket = "ticket-" + std::to_string(++m_last_ticket);
    m_tickets[ticket] = {step, worker, Now() + m_times.validity_ms};
    allowed.push_back({worker, ticket});
    names += " " + worker;
  }
  m_record.Line("advice for step " + step + ": " +
                std::to_string(workers.size()) +
                " runners named, allowed:" + (names.empty() ? " none" : names));
  ++m_turn;
  co_return HttpResponse{.status = kOk,
                         .body = Json{{"allowed", std::move(allowed)},
                                      {"validity_ms", m_times.validity_ms}}
                                     .dump()};
}

bool Advisor::IsValid(const std::string& ticket,
                      const std::string& step,
                      const std::string& runner) const {
  const auto found = m_tickets.find(ticket);
  return found != m_tickets.end() && found->second.step == step &&
         found->second.runner == runner && Now() <= found->second.until_ms;
}

Runner::Runner(asio::io_context& context,
               Runners& fleet,
               RunnerSettings settings)
    : m_fleet(fleet),
      m_settings(std::move(settings)),
      m_born_at(Now()),
      m_born_wall(WallNow()),
      m_server(context, [this](HttpRequest request) {
        return Handle(std::move(request));
      }) {}

void Runner::Beat() {
  if (!m_is_up) {
    return;
  }
  Json entry{{"service", m_settings.service},
             {"endpoint", "127.0.0.1:" + std::to_string(m_server.Port())},
             {"zone", m_settings.zone},
             {"version", "v1"},
             {"slots", 8},
             {"state", m_leaves_at == 0 ? "ready" : "draining"},
             {"cold_remaining_ms", 0},
             {"capacity",
              {{"cpu", m_settings.cpu},
               {"mem_mb", m_settings.memory_mb},
               {"gpus", 0}}},
             {"labels", {"a", m_settings.rack}},
             {"machine", m_settings.machine},
             {"born", m_born_wall},
             {"clock_ms", Clock()},
             {"seq", ++m_beats}};
  if (m_leaves_at != 0) {
    entry["remaining_ms"] = std::max<std::int64_t>(0, m_leaves_at - Now());
  }
  m_fleet.m_store.Put("servers", m_settings.id, entry.dump());
}

void Runner::Leave(const std::string& how) {
  m_is_up = false;
  m_server.SetListening(false);
  while (!m_live.empty()) {
    const std::string task = m_live.begin()->first;
    End(task, how);
  }
}

void Runner::Crash() {
  m_fleet.m_ledger.record->Line(m_settings.id +
                                " crashes and is lost for good");
  Leave("crashed");
}

awaitable<void> Runner::Restart(milliseconds down) {
  Record& record = *m_fleet.m_ledger.record;
  record.Line(m_settings.id + " crashes");
  Leave("crashed");
  co_await Sleep(down);
  m_is_up = true;
  m_born_at = Now();
  m_born_wall = WallNow();
  m_lease_until = 0;
  m_fence = 0;
  m_beats = 0;
  m_last_end = 0;
  m_highest_ended.clear();
  m_ends.clear();
  m_server.SetListening(true);
  record.Line(m_settings.id + " is back under its id");
  Beat();
}

void Runner::Drain() {
  // It serves for drain_ms after the store has the report, and a little longer.
  constexpr std::int64_t kLittle = 300;
  m_leaves_at = Now() + m_fleet.m_bounds.drain_ms + kLittle;
  m_fleet.m_ledger.record->Line(m_settings.id + " reports that it drains");
  Beat();
}

std::int64_t Runner::UsedCpu() const {
  std::int64_t used = 0;
  for (const auto& [task, live] : m_live) {
    used += live.plan->cpu;
  }
  return used;
}

HttpResponse Runner::Answer(int status, const std::string& reason) const {
  Json body{{"clock_ms", Clock()}, {"born", m_born_wall}};
  if (!reason.empty()) {
    body["reason"] = reason;
  }
  return {.status = status, .body = body.dump()};
}

void Runner::Extend(const Json& body) {
  const auto deadline = body.find("deadline_ms");
  if (deadline != body.end()) {
    m_lease_until = std::max(m_lease_until,
                             std::min(deadline->get<std::int64_t>(),
                                      Clock() + m_fleet.m_bounds.max_hold_ms));
  }
}

milliseconds Runner::LatenessOf(const Json& body) const {
  const auto name = ParseTask(body.value("task_id", ""));
  const auto job = name ? m_fleet.m_ledger.jobs.find(name->job)
                        : m_fleet.m_ledger.jobs.end();
  const bool is_first = body.value("run_id", 0) == 1;
  return milliseconds(is_first && job != m_fleet.m_ledger.jobs.end()
                          ? job->second.first_start_late_ms
                          : 0);
}

awaitable<HttpResponse> Runner::Handle(HttpRequest request) {
  const auto target = request.headers.find("x-target-instance");
  if (target != request.headers.end() && target->second != m_settings.id) {
    co_return Answer(kWrongInstance);
  }
  const Json body = Json::parse(request.body);
  if (request.path == "/api/run-start") {
    const auto late = LatenessOf(body);
    if (late.count() > 0) {
      m_fleet.m_ledger.record->Line(m_settings.id + " leaves the start of " +
                                    body.value("task_id", "") + " unanswered");
      co_await Sleep(late);
      // What is carried out late may reach the next life of the runner.
      if (m_is_up && body.value("fencing_token", std::uint64_t{0}) >= m_fence) {
        Start(body);
      }
      co_return HttpResponse{.is_dropped = true};
    }
  }
  const std::uint64_t fence = body.value("fencing_token", std::uint64_t{0});
  if (fence < m_fence) {
    co_return Answer(kConflict, "fence");
  }
  m_fence = fence;
  if (request.path == "/api/run-start") {
    co_return Start(body);
  }
  if (request.path == "/api/run-stop") {
    co_return Stop(body);
  }
  if (request.path == "/api/hold") {
    co_return co_await Hold(body);
  }
  co_return Answer(kNotFound);
}

HttpResponse Runner::Start(const Json& body) {
  const std::string task = body.at("task_id");
  const auto run = body.at("run_id").get<std::uint32_t>();
  const auto name = ParseTask(task);
  const auto job = name ? m_fleet.m_ledger.jobs.find(name->job)
                        : m_fleet.m_ledger.jobs.end();
  Record& record = *m_fleet.m_ledger.record;
  const std::string what = m_settings.id + " is told to start " + task +
                           " run " + std::to_string(run);
  if (job == m_fleet.m_ledger.jobs.end() ||
      name->step >= job->second.steps.size() ||
      name->index >= job->second.steps[name->step].count ||
      body.value("spec", "") != job->second.Spec()) {
    record.Line(what + ", which no client sent");
    return Answer(kBadRequest);
  }
  const StepPlan& plan = job->second.steps[name->step];
  const auto live = m_live.find(task);
  if (live != m_live.end() && live->second.record->run == run) {
    Extend(body);
    return Answer(kOk);
  }
  const auto ended = m_highest_ended.find(task);
  if (live != m_live.end() ||
      (ended != m_highest_ended.end() && run <= ended->second)) {
    Extend(body);
    record.Line(what + ": 409 old");
    return Answer(kConflict, "old");
  }
  if (body.at("deadline_ms").get<std::int64_t>() <= Clock()) {
    record.Line(what + ": 409 late");
    return Answer(kConflict, "late");
  }
  const std::string step = name->job + "." + std::to_string(name->occurrence) +
                           "." + std::to_string(name->step);
  if (m_fleet.m_advisor != nullptr &&
      m_fleet.m_advised_prefixes.contains(job->second.prefix) &&
      !m_fleet.m_advisor->IsValid(body.value("ticket", ""), step,
                                  m_settings.id)) {
    record.Line(what + ": 409 ticket");
    return Answer(kConflict, "ticket");
  }
  std::int64_t memory = plan.memory_mb;
  for (const auto& [other, each] : m_live) {
    memory += each.plan->memory_mb;
  }
  if (UsedCpu() + plan.cpu > m_settings.cpu || memory > m_settings.memory_mb) {
    Extend(body);
    record.Line(what + ": 409 room");
    return Answer(kConflict, "room");
  }
  Extend(body);
  auto& runs = m_fleet.m_ledger.runs;
  runs.push_back(std::make_unique<RunRecord>(
      RunRecord{task, name->job, name->occurrence, name->step, run,
                m_settings.id, Now(), 0, "", false}));
  m_fleet.m_ledger.live.push_back(runs.back().get());
  Live& begun = m_live[task];
  begun.record = runs.back().get();
  begun.plan = &plan;
  begun.checkpoint = body.value("checkpoint", "");
  if (!begun.checkpoint.empty()) {
    begun.saved_ms = std::stoll(begun.checkpoint.substr(0, 8));
  }
  record.Line(what + ": 200");
  if (plan.gang) {
    begun.gang = step + "/" + std::to_string(run);
    m_fleet.JoinGang(begun.gang, plan.count, task, *this);
  } else {
    begun.works_since = Now();
  }
  return Answer(kOk);
}

HttpResponse Runner::Stop(const Json& body) {
  const std::string task = body.at("task_id");
  const auto run = body.at("run_id").get<std::uint32_t>();
  const auto live = m_live.find(task);
  if (live != m_live.end() && live->second.record->run <= run) {
    if (live->second.stops_at == 0) {
      live->second.stops_at = Now() + m_fleet.m_bounds.stop_ms;
    }
  } else {
    m_highest_ended[task] = std::max(m_highest_ended[task], run);
  }
  m_fleet.m_ledger.record->Line(m_settings.id + " is told to stop " + task +
                                " run " + std::to_string(run));
  return Answer(kOk);
}

std::int64_t Runner::WorkDone(const Live& live, std::int64_t now) const {
  if (live.works_since == 0) {
    return live.saved_ms;
  }
  const std::int64_t restore =
      live.saved_ms > 0 ? m_fleet.m_bounds.restore_ms : 0;
  return live.saved_ms +
         std::max<std::int64_t>(0, now - live.works_since - restore);
}

awaitable<HttpResponse> Runner::Hold(Json body) {
  Extend(body);
  const auto acknowledged = body.value("ack_seq", std::uint64_t{0});
  while (!m_ends.empty() && m_ends.front().first <= acknowledged) {
    m_ends.front().second->is_noted = true;
    m_ends.pop_front();
  }
  constexpr std::int64_t kMaxWait = 2000;
  const std::int64_t until =
      Now() + std::min(body.value("wait_ms", std::int64_t{0}), kMaxWait);
  while (m_is_up && m_ends.empty() && Now() < until) {
    co_await Sleep(kPoll);
  }
  if (!m_is_up) {
    co_return HttpResponse{.is_dropped = true};
  }
  constexpr std::int64_t kPercent = 100;
  Json answer{{"clock_ms", Clock()},
              {"born", m_born_wall},
              {"running", Json::array()},
              {"finished", Json::array()}};
  for (const auto& [task, live] : m_live) {
    answer["running"].push_back(
        {task, live.record->run, live.checkpoint,
         std::min(kPercent - 1,
                  WorkDone(live, Now()) * kPercent / live.plan->work_ms),
         live.plan->cpu});
  }
  for (const auto& [number, run] : m_ends) {
    if (answer["finished"].size() < kMaxListedEnds) {
      answer["finished"].push_back({number, run->task, run->run, run->how, ""});
    }
  }
  co_return HttpResponse{.status = kOk, .body = answer.dump()};
}

void Runner::End(const std::string& task, const std::string& how) {
  const auto found = m_live.find(task);
  if (found == m_live.end()) {
    return;
  }
  const Live live = found->second;
  m_live.erase(found);
  live.record->ended_ms = Now();
  live.record->how = how;
  std::erase(m_fleet.m_ledger.live, live.record);
  m_highest_ended[task] = std::max(m_highest_ended[task], live.record->run);
  m_fleet.m_ledger.record->Line(m_settings.id + ": " + task + " run " +
                                std::to_string(live.record->run) + " ends " +
                                how);
  if (m_is_up) {
    m_ends.emplace_back(++m_last_end, live.record);
  }
  if (!live.gang.empty()) {
    m_fleet.LeaveGang(live.gang, task, how);
  }
}

void Runner::Advance(std::int64_t now) {
  if (!m_is_up) {
    return;
  }
  std::vector<std::pair<std::string, std::string>> ended;
  for (auto& [task, live] : m_live) {
    const std::int64_t done = WorkDone(live, now);
    if (live.plan->checkpointing && live.works_since != 0) {
      const std::int64_t step = m_fleet.m_bounds.checkpoint_ms;
      const std::int64_t saved = done / step * step;
      if (saved > live.saved_ms) {
        constexpr std::size_t kDigits = 8;
        const std::string amount = std::to_string(saved);
        const std::string owner = std::to_string(
            std::hash<std::string>{}(task) % 100'000'000 + 100'000'000);
        live.checkpoint =
            std::string(kDigits - std::min(kDigits, amount.size()), '0') +
            amount + owner.substr(1);
      }
    }
    if (Clock() > m_lease_until) {
      ended.emplace_back(task, "lapsed");
    } else if (live.stops_at != 0 && now >= live.stops_at) {
      ended.emplace_back(task, "stopped");
    } else if (live.works_since != 0 && done >= live.plan->work_ms) {
      ended.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ended) {
    End(task, how);
  }
  if (m_leaves_at != 0 && now >= m_leaves_at) {
    m_fleet.m_ledger.record->Line(m_settings.id + " leaves");
    Leave("left");
    m_fleet.Delist(m_settings.id);
  }
}

Runners::Runners(asio::io_context& context, Store& store, Ledger& ledger)
    : m_context(context),
      m_store(store),
      m_ledger(ledger),
      m_server(context, [this](HttpRequest request) {
        return Handle(std::move(request));
      }) {
  asio::co_spawn(context, Run(), asio::detached);
}

void Runners::SetAdvisor(const Advisor* advisor,
                         std::set<std::string> prefixes) {
  m_advisor = advisor;
  m_advised_prefixes = std::move(prefixes);
}

Runner& Runners::Add(RunnerSettings settings) {
  m_runners.push_back(
      std::make_unique<Runner>(m_context, *this, std::move(settings)));
  m_runners.back()->Beat();
  return *m_runners.back();
}

Runner* Runners::Find(const std::string& id) {
  for (const auto& runner : m_runners) {
    if (runner->Settings().id == id) {
      return runner.get();
    }
  }
  return nullptr;
}

void Runners::Delist(const std::string& id) {
  m_store.Drop("servers", id);
}

awaitable<HttpResponse> Runners::Handle(HttpRequest request) {
  co_await Sleep(kStoreDelay);
  if (request.path != "/api/machines") {
    // No machine may be moved or maintained in these plays.
    co_return HttpResponse{.status = kConflict,
                           .body = Json{{"reason", "busy"}}.dump()};
  }
  Json machines = Json::array();
  for (const auto& runner : m_runners) {
    const RunnerSettings& settings = runner->Settings();
    if (!runner->IsUp()) {
      continue;  // Lost for good.
    }
    machines.push_back(
        {{"machine", settings.machine},
         {"pool", settings.service},
         {"state", "up"},
         {"zone", settings.zone},
         {"labels", {"a", settings.rack}},
         {"capacity",
          {{"cpu", settings.cpu}, {"mem_mb", settings.memory_mb}, {"gpus", 0}}},
         {"id", settings.id}});
  }
  co_return HttpResponse{
      .status = kOk,
      .body = Json{{"machines", std::move(machines)}, {"next_token", nullptr}}
                  .dump()};
}

awaitable<void> Runners::Run() {
  std::int64_t beat_at = 0;
  while (true) {
    const std::int64_t now = Now();
    for (const auto& runner : m_runners) {
      runner->Advance(now);
    }
    AdvanceGangs(now);
    if (now >= beat_at) {
      beat_at = now + m_bounds.heartbeat_ms;
      for (const auto& runner : m_runners) {
        runner->Beat();
      }
    }
    co_await Sleep(kPoll);
  }
}

void Runners::JoinGang(const std::string& name,
                       std::uint32_t count,
                       const std::string& task,
                       Runner& runner) {
  Gang& gang = m_gangs[name];
  if (gang.members.empty()) {
    gang.first_ms = Now();
  }
  gang.count = count;
  gang.members[task] = &runner;
  if (gang.members.size() < count) {
    return;
  }
  gang.works = true;
  for (const auto& [member, where] : gang.members) {
    where->m_live.at(member).works_since = Now();
  }
}

void Runners::LeaveGang(const std::string& name,
                        const std::string& task,
                        const std::string& how) {
  const auto found = m_gangs.find(name);
  if (found == m_gangs.end()) {
    return;
  }
  found->second.members.erase(task);
  const bool is_broken = found->second.works && how != "done";
  const auto others = found->second.members;
  if (!is_broken && how != "done") {
    if (found->second.members.empty()) {
      m_gangs.erase(found);
    }
    return;
  }
  m_gangs.erase(found);
  for (const auto& [member, where] : others) {
    where->m_live.at(member).gang.clear();
    where->End(member, how == "done" ? "done" : "broken");
  }
}

void Runners::AdvanceGangs(std::int64_t now) {
  std::vector<std::pair<std::string, Runner*>> alone;
  for (const auto& [name, gang] : m_gangs) {
    for (const auto& [task, where] : gang.members) {
      const auto& live = where->m_live.at(task);
      if (!gang.works && now - live.record->began_ms > m_bounds.gang_wait_ms) {
        alone.emplace_back(task, where);
      }
    }
  }
  for (const auto& [task, where] : alone) {
    where->End(task, "alone");
  }
}

}  // namespace review
