#include "play.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr milliseconds kClientTimeout{3000};
constexpr int kTries = 5;

// Ports that nothing listens on now, below those of outgoing connections.
std::vector<std::uint16_t> FreePorts(asio::io_context& context,
                                     std::size_t count) {
  constexpr int kLowest = 12000;
  constexpr int kRange = 18000;
  std::vector<std::uint16_t> ports;
  for (int port = getpid() * 37 % kRange; ports.size() < count;
       port = (port + 1) % kRange) {
    tcp::acceptor acceptor(context);
    asio::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.bind({asio::ip::address_v4::loopback(),
                   static_cast<std::uint16_t>(kLowest + port)},
                  error);
    if (!error) {
      ports.push_back(static_cast<std::uint16_t>(kLowest + port));
    }
  }
  return ports;
}

}  // namespace

Json Route(const std::string& name, const std::string& service) {
  return {{"name", name},
          {"host", kClientHost},
          {"path_prefix", "/" + name + "/"},
          {"kind", "non_idempotent"},
          {"timeout_ms", 3000},
          {"slo_ms", 600},
          {"priority", 0},
          {"service", service},
          {"max_attempts", 3},
          {"stretch", 2.2},
          {"public", false}};
}

World::World(asio::io_context& io, Record& lines, const PlayOptions& play)
    : context(io),
      record(lines),
      options(play),
      store(io, lines),
      runners(io, store, ledger) {
  ledger.record = &record;
}

World::~World() {
  KillHosts();
}

void World::StartHosts(std::size_t count, std::uint16_t advice_port) {
  const auto ports = FreePorts(context, count * 4);
  for (std::size_t i = 0; i < count; ++i) {
    HostProcess host;
    host.name = "host-" + std::to_string(i + 1);
    host.settings_path = options.folder + "/" + host.name + ".json";
    host.log_path = options.folder + "/" + host.name + ".log";
    host.client_port = ports[4 * i];
    host.ready_port = ports[4 * i + 1];
    const auto endpoint = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    // As platform/settings.json.in gives them on a small deployment.
    const Json settings{
        {"host", host.name},
        {"availability_zone", "loopback"},
        {"address", "127.0.0.1"},
        {"peer_port", ports[4 * i + 2]},
        {"metrics_port", ports[4 * i + 3]},
        {"client_endpoint", endpoint(host.client_port)},
        {"ready_endpoint", endpoint(host.ready_port)},
        {"table_endpoint", endpoint(store.Port())},
        {"machines_endpoint", endpoint(runners.MachinesPort())},
        {"advice_endpoint", advice_port == 0 ? "" : endpoint(advice_port)},
        {"processor_share", 0.25},
        {"memory_mb", 260},
        {"max_descriptors", 4100},
        {"max_worker_lease_ms", 10000},
        {"drain_ms", 2000},
        {"stop_grace_s", 6.0},
        {"finished_state_s", 120},
        {"machine_order_lease_ms", 3000}};
    std::ofstream(host.settings_path) << settings.dump(2);
    m_hosts.push_back(std::move(host));
    Spawn(m_hosts.back());
  }
}

void World::Spawn(HostProcess& host) {
  const pid_t pid = fork();
  if (pid < 0) {
    throw std::runtime_error("no process can be started");
  }
  if (pid == 0) {
    const int log =
        open(host.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    close_range(3, ~0U, 0);
    // It ends with the play, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(options.program.c_str(), options.program.c_str(), "--settings",
          host.settings_path.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  host.pid = pid;
  record.Line(host.name + " is started");
}

awaitable<bool> World::AwaitReady(milliseconds time) {
  const std::int64_t until = Now() + time.count();
  const std::vector<std::pair<std::string, std::string>> no_headers;
  while (Now() < until) {
    std::size_t ready = 0;
    for (const HostProcess& host : m_hosts) {
      const auto answer =
          co_await Call("127.0.0.1:" + std::to_string(host.ready_port), "GET",
                        "/api/ready", no_headers, "", milliseconds(500));
      ready += answer && answer->status == kOk ? 1 : 0;
    }
    if (ready == m_hosts.size()) {
      co_return true;
    }
    co_await Sleep(milliseconds(200));
  }
  co_return false;
}

awaitable<void> World::WatchHosts() {
  constexpr milliseconds kInterval{20};
  constexpr milliseconds kRestartDelay{300};
  while (!m_stopping) {
    for (HostProcess& host : m_hosts) {
      int status = 0;
      if (host.pid != 0 && waitpid(host.pid, &status, WNOHANG) == host.pid) {
        record.Line(host.name + " has ended, status " + std::to_string(status));
        host.pid = 0;
        ++host.ends;
        co_await Sleep(kRestartDelay);
        Spawn(host);
      }
    }
    co_await Sleep(kInterval);
  }
}

void World::Signal(std::size_t host, int signal) {
  if (m_hosts[host].pid != 0) {
    record.Line(m_hosts[host].name + " gets signal " + std::to_string(signal));
    kill(m_hosts[host].pid, signal);
  }
}

void World::KillHosts() {
  m_stopping = true;
  for (HostProcess& host : m_hosts) {
    if (host.pid != 0) {
      kill(host.pid, SIGKILL);
      int status = 0;
      waitpid(host.pid, &status, 0);
      host.pid = 0;
    }
  }
}

std::optional<std::size_t> World::FindLeader() const {
  std::optional<std::size_t> leader;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    std::ifstream log(m_hosts[i].log_path);
    for (std::string line; std::getline(log, line);) {
      const Json json = Json::parse(line, nullptr, false);
      if (json.is_object() && json.value("event", "") == "office.elected" &&
          json.value("fence", std::uint64_t{0}) > highest) {
        highest = json.value("fence", std::uint64_t{0});
        leader = i;
      }
    }
  }
  return leader;
}

JobPlan& World::NewJob(JobPlan job) {
  static std::uint64_t number = 0;
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(0x5c0e000000000000ULL +
                                                ++number * 0x9e3779b1ULL));
  job.id = id;
  return ledger.jobs[id] = std::move(job);
}

awaitable<int> World::Send(std::string method,
                           std::string prefix,
                           std::string job,
                           std::string key) {
  const HostProcess& host = m_hosts[m_next_host++ % m_hosts.size()];
  std::vector<std::pair<std::string, std::string>> headers;
  headers.emplace_back("Host", kClientHost);
  headers.emplace_back("X-Timeout-Ms", std::to_string(kClientTimeout.count()));
  if (!key.empty()) {
    headers.emplace_back("X-Api-Key", key);
  }
  std::string body;
  if (method == "POST") {
    headers.emplace_back("Content-Type", "application/json");
    body = ledger.jobs.at(job).Body();
  }
  const auto answer =
      co_await Call("127.0.0.1:" + std::to_string(host.client_port), method,
                    prefix + job, headers, body, kClientTimeout);
  record.Line(method + " " + prefix + job + " at " + host.name + ": " +
              (answer ? std::to_string(answer->status) + " " + answer->body
                      : "no answer"));
  co_return answer ? answer->status : 0;
}

awaitable<int> World::Submit(std::string id) {
  int status = 0;
  for (int i = 0; i < kTries; ++i) {
    const JobPlan& job = ledger.jobs.at(id);
    status = co_await Send("POST", job.prefix, id, job.key);
    if (status == kOk) {
      ledger.jobs.at(id).is_accepted = true;
      break;
    }
    co_await Sleep(milliseconds(status == 0 ? 100 : 1000));
  }
  co_return status;
}

awaitable<std::string> World::Ask(std::string id, milliseconds time) {
  const JobPlan& job = ledger.jobs.at(id);
  const std::int64_t until = Now() + time.count();
  std::vector<std::pair<std::string, std::string>> headers;
  headers.emplace_back("Host", kClientHost);
  headers.emplace_back("X-Timeout-Ms", std::to_string(kClientTimeout.count()));
  if (!job.key.empty()) {
    headers.emplace_back("X-Api-Key", job.key);
  }
  while (Now() < until) {
    const HostProcess& host = m_hosts[m_next_host++ % m_hosts.size()];
    const milliseconds left(std::max<std::int64_t>(1, until - Now()));
    const auto answer =
        co_await Call("127.0.0.1:" + std::to_string(host.client_port), "GET",
                      job.prefix + id, headers, "", left);
    record.Line("GET " + job.prefix + id + " at " + host.name + ": " +
                (answer ? std::to_string(answer->status) + " " + answer->body
                        : "no answer"));
    constexpr int kGone = 410;
    if (answer && answer->status == kOk) {
      co_return Json::parse(answer->body).value("state", "");
    }
    if (answer && answer->status == kGone) {
      co_return "410";
    }
    co_await Sleep(milliseconds(300));
  }
  co_return "";
}

bool World::HasLiveRun(const std::string& job) const {
  return std::ranges::any_of(
      ledger.live, [&job](const RunRecord* run) { return run->job == job; });
}

bool World::IsDone(const JobPlan& job) const {
  std::set<std::string> done;
  for (const auto& run : ledger.runs) {
    if (run->job == job.id && run->how == "done") {
      done.insert(run->task);
    }
  }
  std::size_t tasks = 0;
  for (const StepPlan& step : job.steps) {
    tasks += step.count;
  }
  return done.size() == tasks * std::max(1U, job.repeats);
}

bool World::HasTurn(const JobPlan& job) const {
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::string>> done;
  for (const auto& run : ledger.runs) {
    if (run->job == job.id && run->how == "done") {
      done[{run->occurrence, run->step}].insert(run->task);
    }
  }
  for (std::uint32_t k = 0; k < std::max(1U, job.repeats); ++k) {
    if (job.repeats > 0 &&
        job.start_at_ms + static_cast<std::int64_t>(k) * job.interval_ms >
            WallNow()) {
      break;
    }
    // Steps follow one another, so the first that is not done has its turn.
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
      if (done[{k, step}].size() < job.steps[step].count) {
        return true;
      }
    }
  }
  return false;
}

awaitable<std::vector<std::string>> World::FindStalledJobs() {
  constexpr std::int64_t kWatched = 4000;
  constexpr std::int64_t kStalled = 3000;
  std::map<std::string, std::int64_t> idle_since;
  std::set<std::string> stalled;
  const std::int64_t until = Now() + kWatched;
  while (Now() < until) {
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    for (const auto& runner : runners.All()) {
      if (runner->IsUp()) {
        used += runner->UsedCpu();
        capacity += runner->Settings().cpu;
      }
    }
    for (const auto& [id, job] : ledger.jobs) {
      const bool waits = job.is_accepted && !job.is_cancelled &&
                         2 * used < capacity && !HasLiveRun(id) && HasTurn(job);
      if (!waits) {
        idle_since.erase(id);
      } else if (Now() - idle_since.try_emplace(id, Now()).first->second >=
                 kStalled) {
        stalled.insert(id);
      }
    }
    co_await Sleep(milliseconds(50));
  }
  co_return std::vector<std::string>(stalled.begin(), stalled.end());
}

}  // namespace review
