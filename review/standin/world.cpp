#include "world.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <random>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Bounds of the settings in the pages.
constexpr std::int64_t kMaxHold = 10000;
constexpr std::int64_t kHeartbeat = 1500;
constexpr std::int64_t kTick = 10;
// "The runner is back after some seconds."
constexpr std::int64_t kBackAfter = 3000;
constexpr std::size_t kListedEnds = 500;
constexpr std::int64_t kTicketValidity = 3000;
constexpr int kClientTimeout = 3000;

const steady_clock::time_point& Beginning() {
  static const steady_clock::time_point beginning = steady_clock::now();
  return beginning;
}

std::string EncodeBase64(const std::string& bytes) {
  static const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t size = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U |
              (k < size ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += k <= size ? digits[group >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

std::size_t DecodedSize(const std::string& base64) {
  const auto padding = std::ranges::count(base64, '=');
  return base64.size() / 4 * 3 - static_cast<std::size_t>(padding);
}

Response Answer(int status, const Json& body = Json::object()) {
  Response response;
  response.status = status;
  response.body = body.dump();
  return response;
}

Response NoAnswer() {
  Response response;
  response.breaks_off = true;
  return response;
}

}  // namespace

std::int64_t Now() {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  Beginning())
      .count();
}

std::int64_t WallNow() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Sleep(std::int64_t duration) {
  std::this_thread::sleep_for(
      milliseconds(std::max<std::int64_t>(0, duration)));
}

Record::Record(const std::string& path) : m_file(path) {}

void Record::Write(const std::string& line) {
  const std::scoped_lock lock(m_mutex);
  m_file << Now() << " " << line << "\n";
  m_file.flush();
}

Store::Store(Record& record)
    : m_record(record),
      m_server(std::make_unique<Server>(0, [this](const Request& request) {
        return Handle(request);
      })) {}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::scoped_lock lock(m_mutex);
  ++m_version;
  Change({table, "", key}, {EncodeBase64(value), m_version, false});
}

void Store::Drop(const std::string& table, const std::string& key) {
  const std::scoped_lock lock(m_mutex);
  ++m_version;
  Change({table, "", key}, {"", m_version, true});
}

void Store::Close() {
  m_closing = true;
  m_server->Close();
}

void Store::Change(const Key& key, Row row) {
  m_rows[key] = std::move(row);
  m_history[m_version].push_back(key);
  m_changed.notify_all();
}

Response Store::Handle(const Request& request) {
  if (request.path == "/api/rows-tx") {
    return Commit(request);
  }
  if (request.path == "/api/rows-get") {
    return Read(request);
  }
  if (request.path == "/api/rows-feed") {
    return Feed(request);
  }
  return review::Answer(404);
}

Json Store::Describe(const Key& key, const Row& row) const {
  const auto& [table, part, name] = key;
  Json json{{"table", table},
            {"part", part},
            {"key", name},
            {"value", row.value},
            {"schema_version", row.version}};
  if (row.deleted) {
    json["deleted"] = true;
  }
  return json;
}

Json Store::Answer(Json rows) const {
  return {{"rows", std::move(rows)},
          {"has_more", false},
          {"schema_version", m_version},
          {"now_ms", Now()}};
}

// What is wrong with a call; empty if nothing is.
std::string Store::CheckCall(const Json& call, std::size_t size) const {
  if (size > kCallBytes) {
    return "a call of " + std::to_string(size) + " bytes";
  }
  std::size_t entries = 0;
  for (const char* list : {"expect", "puts", "drop"}) {
    entries += call.contains(list) ? call[list].size() : 0;
  }
  if (entries > kCallEntries) {
    return "a call of " + std::to_string(entries) + " entries";
  }
  for (const Json& put : call.value("puts", Json::array())) {
    const std::size_t bytes = DecodedSize(put.at("value"));
    if (bytes > kRowBytes) {
      return "row " + put.at("key").get<std::string>() + " of " +
             std::to_string(bytes) + " bytes";
    }
  }
  return "";
}

Response Store::Commit(const Request& request) {
  const Json call = Json::parse(request.body, nullptr, false);
  if (!call.is_object()) {
    return review::Answer(400);
  }
  if (const std::string fault = CheckCall(call, request.body.size());
      !fault.empty()) {
    ++m_refused;
    m_record.Write("store refuses (400) " + fault);
    return review::Answer(400);
  }
  const auto key_of = [](const Json& row) {
    return Key{row.at("table"), row.value("part", std::string()),
               row.at("key")};
  };
  const std::scoped_lock lock(m_mutex);
  for (const char* list : {"puts", "drop"}) {
    for (const Json& row : call.value(list, Json::array())) {
      const std::string table = row.at("table");
      if (table == "op" || table == "servers") {
        return review::Answer(403);
      }
    }
  }
  bool holds = true;
  Json current = Json::array();
  for (const Json& row : call.value("expect", Json::array())) {
    const Key key = key_of(row);
    const auto found = m_rows.find(key);
    const bool exists = found != m_rows.end() && !found->second.deleted;
    const std::uint64_t version = exists ? found->second.version : 0;
    holds = holds && version == row.at("schema_version");
    if (exists) {
      current.push_back(Describe(key, found->second));
    }
  }
  if (!holds) {
    return review::Answer(412, Answer(std::move(current)));
  }
  ++m_version;
  for (const Json& row : call.value("puts", Json::array())) {
    Change(key_of(row), {row.at("value"), m_version, false});
  }
  for (const Json& row : call.value("drop", Json::array())) {
    Change(key_of(row), {"", m_version, true});
  }
  return review::Answer(200, Answer(Json::array()));
}

Response Store::Read(const Request& request) {
  const std::string table = request.Query("table");
  const std::string part = request.Query("part");
  const std::scoped_lock lock(m_mutex);
  Json rows = Json::array();
  bool has_more = false;
  for (auto row = m_rows.lower_bound({table, part, request.Query("from")});
       row != m_rows.end() && std::get<0>(row->first) == table &&
       std::get<1>(row->first) == part;
       ++row) {
    if (row->second.deleted) {
      continue;
    }
    if (rows.size() >= kPageRows) {
      has_more = true;
      break;
    }
    rows.push_back(Describe(row->first, row->second));
  }
  Json answer = Answer(std::move(rows));
  answer["has_more"] = has_more;
  return review::Answer(200, answer);
}

Response Store::Feed(const Request& request) {
  const std::string table = request.Query("table");
  const std::uint64_t after = std::stoull(request.Query("after"));
  const std::int64_t until = Now() + std::stoll(request.Query("wait_ms"));
  std::unique_lock lock(m_mutex);
  while (true) {
    Json rows = Json::array();
    for (auto change = m_history.upper_bound(after); change != m_history.end();
         ++change) {
      for (const Key& key : change->second) {
        const Row& row = m_rows.at(key);
        if (std::get<0>(key) == table && row.version == change->first) {
          rows.push_back(Describe(key, row));
        }
      }
    }
    if (!rows.empty() || Now() >= until || m_closing) {
      return review::Answer(200, Answer(std::move(rows)));
    }
    m_changed.wait_for(lock,
                       milliseconds(std::min<std::int64_t>(
                           20, std::max<std::int64_t>(1, until - Now()))));
  }
}

std::optional<TaskName> ParseTask(const std::string& text) {
  TaskName name;
  std::array<std::uint32_t*, 3> numbers{&name.index, &name.step,
                                        &name.occurrence};
  std::string rest = text;
  for (std::uint32_t* number : numbers) {
    const std::size_t dot = rest.rfind('.');
    if (dot == std::string::npos) {
      return std::nullopt;
    }
    *number = static_cast<std::uint32_t>(std::stoul(rest.substr(dot + 1)));
    rest = rest.substr(0, dot);
  }
  name.job = rest;
  return name;
}

Runner::Runner(World& world,
               std::string id,
               std::string machine,
               std::string rack)
    : m_world(world),
      m_prefix(std::move(id)),
      m_machine(std::move(machine)),
      m_rack(std::move(rack)),
      m_port(FreePort()) {
  Begin();
}

void Runner::Begin() {
  m_up = true;
  // Each life is another runner of the machine, with an id of its own or not.
  ++m_life;
  m_id = m_world.Options().keeps_ids ? m_prefix
                                     : m_prefix + "-" + std::to_string(m_life);
  m_began = Now();
  m_born = WallNow();
  m_beats = 0;
  m_fence = 0;
  m_lease = 0;
  m_last_end = 0;
  m_last_beat = -1000000;
  m_runs.clear();
  m_highest.clear();
  m_ends.clear();
  m_server = std::make_unique<Server>(
      m_port, [this](const Request& request) { return Handle(request); });
  m_world.Log().Write("runner " + m_id + " begins, born " +
                      std::to_string(m_born));
}

void Runner::Close() {
  std::unique_ptr<Server> server;
  {
    const std::scoped_lock lock(m_mutex);
    m_up = false;
    ++m_life;
    m_back_at = INT64_MAX;
    server = std::move(m_server);
    m_changed.notify_all();
  }
  server.reset();
}

void Runner::Crash(std::int64_t down_ms) {
  m_up = false;
  ++m_life;
  m_back_at = Now() + down_ms;
  m_runs.clear();
  if (!m_world.Options().keeps_ids) {
    m_gone.emplace_back(m_id, m_last_beat + 3 * kHeartbeat);
  }
  m_world.Log().Write("runner " + m_id + " crashes");
  m_changed.notify_all();
  // The thread of a call can't end the server that it belongs to.
  std::thread([server = std::shared_ptr<Server>(std::move(m_server))] {
    server->Close();
  }).detach();
}

void Runner::Restart() {
  const std::scoped_lock lock(m_mutex);
  if (m_up) {
    Crash(kBackAfter);
  }
}

void Runner::StartLate(const Json& body, std::int64_t late_ms) {
  std::thread([this, body, late_ms] {
    Sleep(late_ms);
    const std::scoped_lock lock(m_mutex);
    if (m_up) {
      m_world.Log().Write("runner " + m_id + " carries out a late start");
      Start(body, true);
    }
  }).detach();
}

void Runner::Advance() {
  const std::scoped_lock lock(m_mutex);
  const std::int64_t now = Now();
  std::erase_if(m_gone, [&](const auto& gone) {
    const bool lapsed = now > gone.second;
    if (lapsed) {
      m_world.GetStore().Drop("servers", gone.first);
    }
    return lapsed;
  });
  if (!m_up) {
    if (m_back_at <= now) {
      Begin();
    }
    return;
  }
  if (now - m_last_beat >= kHeartbeat) {
    m_last_beat = now;
    m_world.GetStore().Put(
        "servers", m_id,
        Json{{"service", World::kService},
             {"endpoint", "127.0.0.1:" + std::to_string(m_port)},
             {"zone", "praha"},
             {"version", "v1"},
             {"slots", 8},
             {"state", "ready"},
             {"cold_remaining_ms", 0},
             {"capacity",
              {{"cpu", World::kRunnerCpu},
               {"mem_mb", World::kRunnerMemory},
               {"gpus", 0}}},
             {"labels", {"a", m_rack}},
             {"machine", m_machine},
             {"born", m_born},
             {"clock_ms", Clock()},
             {"seq", ++m_beats}}
            .dump());
  }
  if (m_lease > 0 && Clock() > m_lease && !m_runs.empty()) {
    while (!m_runs.empty()) {
      EndRun(m_runs.begin()->first, "lapsed");
    }
  }
  std::vector<std::string> due;
  for (const auto& [task, run] : m_runs) {
    if (run.ends_at <= now) {
      due.push_back(task);
    }
  }
  for (const std::string& task : due) {
    EndRun(task, m_runs.at(task).how);
  }
}

void Runner::EndRun(std::string task, std::string how) {
  const std::int64_t run = m_runs.at(task).number;
  m_runs.erase(task);
  m_highest[task] = std::max(m_highest[task], run);
  m_world.Ended(task, run, how);
  m_world.Log().Write("runner " + m_id + " ended " + task + " run " +
                      std::to_string(run) + " " + how);
  m_ends.push_back({++m_last_end, std::move(task), run, std::move(how)});
  m_changed.notify_all();
}

bool Runner::HasRoom(const Resources& need) const {
  Resources used = need;
  for (const auto& [task, run] : m_runs) {
    used.cpu += run.need.cpu;
    used.mem_mb += run.need.mem_mb;
  }
  return used.cpu <= World::kRunnerCpu && used.mem_mb <= World::kRunnerMemory;
}

Response Runner::Refuse(const std::string& reason) {
  return Answer(409, {{"clock_ms", Clock()}, {"reason", reason}});
}

Response Runner::Confirm() {
  return Answer(200, {{"clock_ms", Clock()}});
}

bool Runner::Fenced(const Json& body) {
  const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
  if (token < m_fence) {
    return true;
  }
  m_fence = token;
  return false;
}

void Runner::TakeLease(const Json& body) {
  if (body.contains("deadline_ms")) {
    const std::int64_t until = body.at("deadline_ms");
    m_lease = std::max(m_lease, std::min(until, Clock() + kMaxHold));
  }
}

Response Runner::Handle(const Request& request) {
  if (request.path == "/health") {
    return Answer(200);
  }
  const std::string target = request.Header("X-Target-Instance");
  if (!target.empty() && target != m_id) {
    return Answer(421);
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return Answer(400);
  }
  std::unique_lock lock(m_mutex);
  if (!m_up) {
    return NoAnswer();
  }
  if (request.path == "/api/hold") {
    return Hold(body, lock);
  }
  if (request.path == "/api/run-start") {
    Response response = Start(body, false);
    // An order that is left unanswered keeps its connection open.
    const std::int64_t life = m_life;
    const std::int64_t until = Now() + kMaxHold;
    while (response.breaks_off && m_up && life == m_life && Now() < until) {
      m_changed.wait_for(lock, milliseconds(kTick));
    }
    return response;
  }
  if (request.path == "/api/run-stop") {
    return Stop(body);
  }
  if (request.path == "/api/pace") {
    return Fenced(body) ? Refuse("fence") : Confirm();
  }
  return Answer(404);
}

Response Runner::Start(const Json& body, bool is_late) {
  const std::string task = body.at("task_id");
  const std::int64_t number = body.at("run_id");
  const std::string line = "runner " + m_id + " start " + task + " run " +
                           std::to_string(number) + ": ";
  const auto refuse = [&](const std::string& reason) {
    m_world.Log().Write(line + "409 " + reason);
    return Refuse(reason);
  };
  const auto name = ParseTask(task);
  if (!is_late && name && m_world.behave(*name, number).late_ms > 0) {
    m_world.Log().Write(line + "no answer");
    StartLate(body, m_world.behave(*name, number).late_ms);
    return NoAnswer();
  }
  if (Fenced(body)) {
    return refuse("fence");
  }
  const auto known = m_runs.find(task);
  if (known != m_runs.end() && known->second.number == number) {
    TakeLease(body);
    return Confirm();
  }
  const auto highest = m_highest.find(task);
  if (known != m_runs.end() ||
      (highest != m_highest.end() && number <= highest->second)) {
    TakeLease(body);
    return refuse("old");
  }
  if (body.at("deadline_ms").get<std::int64_t>() <= Clock()) {
    return refuse("late");
  }
  const auto step = name ? m_world.StepOf(*name) : std::nullopt;
  if (!step) {
    m_world.Log().Write(line + "400, no client sent it");
    return Answer(400);
  }
  const Resources need{step->value("cpu", 0), step->value("mem_mb", 0)};
  if (!HasRoom(need)) {
    TakeLease(body);
    return refuse("room");
  }
  if (m_world.Options().gives_advice &&
      !m_world.TakesTicket(task, m_id, body.value("ticket", ""))) {
    return refuse("ticket");
  }
  TakeLease(body);
  m_world.Started(task, number, m_id);
  const Behaviour behaviour = m_world.behave(*name, number);
  if (behaviour.crashes_runner) {
    m_world.Log().Write(line + "it begins, and crashes the runner");
    Crash(kBackAfter);
    return NoAnswer();
  }
  m_world.Log().Write(line + "200");
  const std::int64_t now = Now();
  m_runs[task] = {number,
                  behaviour.work_ms < 0 ? INT64_MAX : now + behaviour.work_ms,
                  now, behaviour.how, need};
  return Confirm();
}

Response Runner::Stop(const Json& body) {
  const std::string task = body.at("task_id");
  const std::int64_t number = body.at("run_id");
  if (Fenced(body)) {
    return Refuse("fence");
  }
  m_world.Log().Write("runner " + m_id + " stop " + task + " run " +
                      std::to_string(number));
  m_highest[task] = std::max(m_highest[task], number);
  const auto known = m_runs.find(task);
  if (known != m_runs.end() && known->second.number <= number) {
    EndRun(task, "stopped");
  }
  return Confirm();
}

Response Runner::Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
  if (Fenced(body)) {
    return Refuse("fence");
  }
  TakeLease(body);
  const std::uint64_t noted = body.value("ack_seq", std::uint64_t{0});
  for (const End& end : m_ends) {
    if (end.sequence <= noted) {
      m_world.Noted(end.task, end.run);
    }
  }
  std::erase_if(m_ends,
                [noted](const End& end) { return end.sequence <= noted; });
  const std::int64_t until =
      Now() + std::min<std::int64_t>(2000, body.value("wait_ms", 0));
  const std::int64_t life = m_life;
  while (m_ends.empty() && Now() < until && life == m_life) {
    m_changed.wait_for(lock, milliseconds(20));
  }
  if (life != m_life) {
    return NoAnswer();
  }
  Json running = Json::array();
  for (const auto& [task, run] : m_runs) {
    const std::int64_t percent =
        run.ends_at == INT64_MAX
            ? 100
            : 100 * (Now() - run.began) /
                  std::max<std::int64_t>(1, run.ends_at - run.began);
    running.push_back(
        {task, run.number, "", std::clamp<std::int64_t>(percent, 0, 99), 0});
  }
  Json finished = Json::array();
  for (const End& end : m_ends) {
    if (finished.size() < kListedEnds) {
      finished.push_back({end.sequence, end.task, end.run, end.how, ""});
    }
  }
  return Answer(200, {{"clock_ms", Clock()},
                      {"born", m_born},
                      {"running", std::move(running)},
                      {"finished", std::move(finished)}});
}

Json Runner::DescribeMachine() {
  const std::scoped_lock lock(m_mutex);
  Json machine{{"machine", m_machine},
               {"pool", World::kService},
               {"state", m_up ? "up" : "down"},
               {"zone", "praha"},
               {"labels", {"a", m_rack}},
               {"capacity",
                {{"cpu", World::kRunnerCpu},
                 {"mem_mb", World::kRunnerMemory},
                 {"gpus", 0}}}};
  if (m_up) {
    machine["id"] = m_id;
  }
  return machine;
}

std::size_t Runner::Running() {
  const std::scoped_lock lock(m_mutex);
  return m_runs.size();
}

World::World(WorldOptions options, const std::string& record_path)
    : m_options(options), m_record(record_path), m_store(m_record) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  m_folder = folder;
  m_machines = std::make_unique<Server>(0, [this](const Request& request) {
    if (request.path == "/api/machines") {
      return ListMachines();
    }
    // There is one pool and no wave, so that no order is due.
    m_record.Write("machines: " + request.path + " " + request.body);
    return Answer(400);
  });
  m_advice = std::make_unique<Server>(
      0, [this](const Request& request) { return Advise(request); });
  for (std::size_t i = 0; i < m_options.runners; ++i) {
    const std::string number = std::to_string(100 + i);
    m_runners.push_back(
        std::make_unique<Runner>(*this, "i-7f3a9" + number, "m-0a" + number,
                                 "r1-" + std::to_string(1 + i / 4)));
  }
  m_ticker = std::thread([this] {
    while (!m_ending) {
      for (const auto& runner : m_runners) {
        runner->Advance();
      }
      Sleep(kTick);
    }
  });
}

World::~World() {
  for (const HostProcess& host : m_hosts) {
    if (host.pid > 0) {
      kill(host.pid, SIGKILL);
      waitpid(host.pid, nullptr, 0);
    }
  }
  m_ending = true;
  m_ticker.join();
  for (const auto& runner : m_runners) {
    runner->Close();
  }
  m_machines->Close();
  m_advice->Close();
  m_store.Close();
  // Threads of connections that are closed still end.
  Sleep(300);
  std::filesystem::remove_all(m_folder);
}

void World::PrepareHost(std::size_t index) {
  HostProcess& host = m_hosts.at(index);
  host.name = "frontend-praha-" + std::to_string(index + 1);
  host.settings = m_folder + "/" + host.name + ".json";
  host.log = m_folder + "/" + host.name + ".log";
  host.front = FreePort();
  host.ready = FreePort();
  const auto endpoint = [](std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  std::ofstream(host.settings) << Json{
      {"host", host.name},
      {"availability_zone", "praha"},
      {"address", "127.0.0.1"},
      {"peer_port", FreePort()},
      {"metrics_port", FreePort()},
      {"client_endpoint", endpoint(host.front)},
      {"ready_endpoint", endpoint(host.ready)},
      {"table_endpoint", endpoint(m_store.Port())},
      {"machines_endpoint", endpoint(m_machines->Port())},
      {"advice_endpoint",
       m_options.gives_advice ? endpoint(m_advice->Port()) : ""},
      {"processor_share", 0.25},
      {"max_worker_lease_ms", kMaxHold},
      {"drain_ms", 2000},
      {"stop_grace_s", 6},
      {"finished_state_s", 120},
      {"machine_order_lease_ms",
       3000}}.dump(2);
}

void World::StartProcess(std::size_t index) {
  HostProcess& host = m_hosts.at(index);
  setenv("CASSIASTILE_SETTINGS", host.settings.c_str(), 1);
  std::string program = "target/bin/cassia-host";
  std::string option = "--settings";
  std::string path = host.settings;
  std::array<char*, 4> arguments{program.data(), option.data(), path.data(),
                                 nullptr};
  host.pid = fork();
  if (host.pid == 0) {
    // No process outlives the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        open(host.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(program.c_str(), arguments.data());
    _exit(127);
  }
  m_record.Write("host " + host.name + " starts: " + program +
                 " --settings FILE");
}

bool World::StartHosts() {
  m_hosts.resize(m_options.hosts);
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    PrepareHost(i);
    StartProcess(i);
  }
  const std::int64_t until = Now() + 10000;
  for (const HostProcess& host : m_hosts) {
    while (true) {
      const auto ready =
          review::Call(host.ready, "GET", "/api/ready", {}, "", 500);
      if (ready && ready->status == 200) {
        break;
      }
      if (Now() > until) {
        return false;
      }
      Sleep(50);
    }
  }
  // Traffic starts some time after the machines do.
  Sleep(4000);
  return true;
}

void World::RestartEnded() {
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    HostProcess& host = m_hosts[i];
    int status = 0;
    if (waitpid(host.pid, &status, WNOHANG) != host.pid) {
      continue;
    }
    ++host.ends;
    m_record.Write(
        "host " + host.name + " has ended by itself, " +
        (WIFSIGNALED(status)
             ? "signal " + std::to_string(WTERMSIG(status))
             : "exit status " + std::to_string(WEXITSTATUS(status))));
    StartProcess(i);
  }
}

std::vector<std::size_t> World::EndsOfHosts() const {
  std::vector<std::size_t> ends;
  std::ranges::transform(m_hosts, std::back_inserter(ends), &HostProcess::ends);
  return ends;
}

void World::WriteConfig(const Configuration& configuration) {
  m_version += 3;
  Json route{{"name", "r-tyiikdr"},
             {"host", kHost},
             {"path_prefix", kPrefix},
             {"kind", "non_idempotent"},
             {"timeout_ms", 3000},
             {"slo_ms", 600},
             {"priority", 0},
             {"service", kService},
             {"max_attempts", m_options.max_attempts},
             {"stretch", 1.6},
             {"public", false}};
  if (m_options.gives_advice) {
    route["placement_advice"] = {{"decision_ms", 20},
                                 {"period_ms", 1},
                                 {"validity_ms", kTicketValidity}};
  }
  Json routes = Json::array();
  if (configuration.has_route) {
    routes.push_back(route);
  }
  route["name"] = "r-w63is47";
  route["path_prefix"] = "/wuhu344/";
  routes.push_back(route);
  if (configuration.added_slo_ms > 0) {
    route["name"] = "r-gy35iei";
    route["path_prefix"] = kAddedPrefix;
    route["slo_ms"] = configuration.added_slo_ms;
    routes.push_back(route);
  }
  Json keys = Json::array({kKey});
  if (configuration.has_second_key) {
    keys.push_back(kSecondKey);
  }
  const Json config{
      {"version", m_version},
      {"routes", routes},
      {"services", Json::array({{{"name", kService},
                                 {"health_path", "/health"},
                                 {"max_conns", 64},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"admission_control", true},
                                 {"standby", false}}})},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 262144},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", Json::array({{{"name", "cugo130"},
                                {"api_keys", keys},
                                {"priority", 1},
                                {"weight", 59},
                                {"max_count",
                                 {{"cpu", 0}, {"mem_mb", 0}, {"gpus", 0}}}}})}};
  m_store.Put("op", "config", config.dump());
  m_record.Write(
      "operator writes op/config version " + std::to_string(m_version) +
      (configuration.has_route ? ", with " : ", without ") + kPrefix +
      (configuration.has_second_key ? ", with" : ", without") +
      " the second key, added route's slo_ms " +
      std::to_string(configuration.added_slo_ms));
}

std::string World::NewId() {
  static std::mt19937_64 random{std::random_device{}()};
  static constexpr char kDigits[] = "0123456789abcdef";
  std::uint64_t bits = random();
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id += kDigits[bits & 15U];
    bits >>= 4U;
  }
  return id;
}

std::optional<Response> World::Call(const std::string& method,
                                    const std::string& path,
                                    const std::string& key,
                                    const std::string& body) {
  const std::size_t host = m_next_host++ % m_hosts.size();
  auto answer = review::Call(m_hosts[host].front, method, path,
                             {{"Host", kHost},
                              {"X-Api-Key", key},
                              {"X-Timeout-Ms", std::to_string(kClientTimeout)}},
                             body, kClientTimeout);
  m_record.Write("client " + method + " " + path + ": " +
                 (answer ? std::to_string(answer->status) +
                               (method == "GET" ? " " + answer->body : "")
                         : "no answer"));
  return answer;
}

void World::Expect(const std::string& id, const Json& job) {
  const std::scoped_lock lock(m_mutex);
  m_jobs[id] = job;
}

Submission World::Submit(const std::string& id, const Json& job, int attempts) {
  Submission submission;
  submission.id = id;
  submission.sent_at = Now();
  submission.rejected = true;
  Expect(id, job);
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const auto answer = Call("POST", kPrefix + id, kKey, job.dump());
    if (answer && answer->status / 100 == 2) {
      submission.accepted = true;
      submission.rejected = false;
      submission.accepted_at = Now();
      return submission;
    }
    const bool turned_away =
        answer && (answer->status == 429 || answer->status == 503);
    submission.rejected = submission.rejected && turned_away;
    Sleep(turned_away ? 1000 : 50);
  }
  return submission;
}

std::string World::State(const std::string& id) {
  for (std::size_t attempt = 0; attempt < m_hosts.size(); ++attempt) {
    const auto answer = Call("GET", kPrefix + id, kKey, "");
    if (answer && answer->status == 200) {
      return Json::parse(answer->body).value("state", "");
    }
    if (answer && answer->status == 410) {
      return "410";
    }
    Sleep(50);
  }
  return "";
}

std::optional<Json> World::StepOf(const TaskName& task) {
  const std::scoped_lock lock(m_mutex);
  const auto job = m_jobs.find(task.job);
  if (job == m_jobs.end() || task.step >= job->second.at("steps").size()) {
    return std::nullopt;
  }
  return job->second.at("steps").at(task.step);
}

void World::Started(const std::string& task,
                    std::int64_t run,
                    const std::string& runner) {
  const std::scoped_lock lock(m_mutex);
  m_starts.push_back({Now(), task, run, runner});
}

void World::Ended(const std::string& task,
                  std::int64_t run,
                  const std::string& how) {
  const std::scoped_lock lock(m_mutex);
  m_ends.push_back({Now(), task, run, how});
}

void World::Noted(const std::string& task, std::int64_t run) {
  m_record.Write("end of " + task + " run " + std::to_string(run) +
                 " is taken note of");
  const std::scoped_lock lock(m_mutex);
  m_noted.emplace(std::pair(task, run), Now());
}

std::optional<std::int64_t> World::NotedAt(const std::string& task,
                                           std::int64_t run) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_noted.find({task, run});
  return found == m_noted.end() ? std::nullopt : std::optional(found->second);
}

std::vector<Start> World::Starts() {
  const std::scoped_lock lock(m_mutex);
  return m_starts;
}

std::vector<FinishedRun> World::Ends() {
  const std::scoped_lock lock(m_mutex);
  return m_ends;
}

bool World::TakesTicket(const std::string& task,
                        const std::string& runner,
                        const std::string& ticket) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_tickets.find(ticket);
  if (found == m_tickets.end()) {
    return false;
  }
  const auto& [step, id, until] = found->second;
  return task.starts_with(step + ".") && id == runner && Now() <= until;
}

Response World::ListMachines() {
  Json list = Json::array();
  for (const auto& runner : m_runners) {
    list.push_back(runner->DescribeMachine());
  }
  return Answer(200, {{"machines", std::move(list)}, {"next_token", nullptr}});
}

Response World::Advise(const Request& request) {
  const Json call = Json::parse(request.body);
  const std::string step = call.at("step");
  const Json& workers = call.at("workers");
  {
    // One call at a time.
    const std::scoped_lock lock(m_advice_mutex);
    Sleep(20 + static_cast<std::int64_t>(workers.size()));
  }
  Json allowed = Json::array();
  {
    const std::scoped_lock lock(m_mutex);
    for (const Json& worker : workers) {
      if (allows(step, worker)) {
        const std::string ticket = "t-" + std::to_string(++m_next_ticket);
        m_tickets[ticket] = {step, worker, Now() + kTicketValidity};
        allowed.push_back({worker, ticket});
      }
    }
  }
  m_record.Write(
      "advice on " + step + " for " + std::to_string(workers.size()) +
      " runners, first " + (workers.empty() ? "none" : workers.front().dump()) +
      ", last " + (workers.empty() ? "none" : workers.back().dump()) + ": " +
      std::to_string(allowed.size()) + " allowed");
  return Answer(
      200, {{"allowed", std::move(allowed)}, {"validity_ms", kTicketValidity}});
}

double World::Used() {
  std::int64_t used = 0;
  const auto starts = Starts();
  const auto ends = Ends();
  std::set<std::pair<std::string, std::int64_t>> over;
  for (const FinishedRun& end : ends) {
    over.emplace(end.task, end.run);
  }
  for (const Start& start : starts) {
    if (!over.contains({start.task, start.run})) {
      if (const auto name = ParseTask(start.task)) {
        if (const auto step = StepOf(*name)) {
          used += step->value("cpu", std::int64_t{0});
        }
      }
    }
  }
  return static_cast<double>(used) /
         static_cast<double>(kRunnerCpu *
                             static_cast<std::int64_t>(m_runners.size()));
}

}  // namespace review
