// Crowds of clients that send more than they may, or never finish, to the ports
// of a host process whose memory and descriptors are few.
#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <tuple>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>
#include <asio/io_context.hpp>

#include "cassiastile/base/random.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/soak/soak.hpp"
#include "cassiastile/wire/loop_client.hpp"
#include "client_crowd_bench.hpp"
#include "fleet.hpp"
#include "names.hpp"
#include "standin/encode.hpp"

namespace cassiastile::soak {
namespace {

using std::chrono::milliseconds;
using testing::IsEmpty;

constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kMaxDescriptors = 264;
constexpr std::size_t kKilobytesPerMb = 1024;
constexpr std::size_t kClients = 60;
constexpr std::size_t kManyClients = 300;

constexpr std::size_t kBlock = 64U << 10U;
constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kEndlessBytes = 4 * kMegabyte;  // Of one connection.
constexpr std::size_t kAnnouncedMegabytes = 40;

// What the clients of a crowd do.
enum class CrowdKind : std::uint8_t {
  kAnnouncedBodies,          // 40 MB each.
  kAnnouncedBodiesThatStop,  // A byte before their end, below 4 MB.
  kManyHeaderFields,         // Without end.
  kEndlessHeaderField,
  kEndlessUrl,
  kLargeChunks,          // 40 chunks of 1 MB.
  kChunksThatStop,       // 62 chunks of 64 KB.
  kTinyChunksThatStop,   // 100,000 chunks of 1 byte.
  kLongChunkExtensions,  // 4,000 bytes each, without end.
  kEndlessChunkSize,     // Leading zeros.
  kEndlessTrailers,
  kEndlessPipelines,  // Complete requests, one after the other.
  kUnreadAnswers,     // The same, and nobody reads the answers.
  kIdle,              // 300 connections without a byte.
  kHeadersThatStop,   // 300 of them.
  kLargeJobs,         // Complete jobs whose spec has 1 to 3 MB.
  kNestedJobs,        // Complete jobs of many lists of lists.
};

constexpr std::array<base::EnumName<CrowdKind>, 17> kCrowdNames{{
    {CrowdKind::kAnnouncedBodies, "announced_bodies"},
    {CrowdKind::kAnnouncedBodiesThatStop, "announced_bodies_that_stop"},
    {CrowdKind::kManyHeaderFields, "many_header_fields"},
    {CrowdKind::kEndlessHeaderField, "endless_header_field"},
    {CrowdKind::kEndlessUrl, "endless_url"},
    {CrowdKind::kLargeChunks, "large_chunks"},
    {CrowdKind::kChunksThatStop, "chunks_that_stop"},
    {CrowdKind::kTinyChunksThatStop, "tiny_chunks_that_stop"},
    {CrowdKind::kLongChunkExtensions, "long_chunk_extensions"},
    {CrowdKind::kEndlessChunkSize, "endless_chunk_size"},
    {CrowdKind::kEndlessTrailers, "endless_trailers"},
    {CrowdKind::kEndlessPipelines, "endless_pipelines"},
    {CrowdKind::kUnreadAnswers, "unread_answers"},
    {CrowdKind::kIdle, "idle"},
    {CrowdKind::kHeadersThatStop, "headers_that_stop"},
    {CrowdKind::kLargeJobs, "large_jobs"},
    {CrowdKind::kNestedJobs, "nested_jobs"},
}};

enum class HostPort : std::uint8_t { kCallers, kReadiness, kPeers, kMetrics };

constexpr std::array<base::EnumName<HostPort>, 4> kPortNames{{
    {HostPort::kCallers, "callers"},
    {HostPort::kReadiness, "readiness"},
    {HostPort::kPeers, "peers"},
    {HostPort::kMetrics, "metrics"},
}};

constexpr char kPeerJobPath[] = "/peer/v1/job";

std::string PathOf(HostPort port, const std::string& job) {
  switch (port) {
    case HostPort::kCallers:
      return "/q0/" + job;
    case HostPort::kReadiness:
      return adapter::kReadyPath;
    case HostPort::kPeers:
      return kPeerJobPath;
    default:
      return "/metrics";
  }
}

std::uint16_t NumberOf(HostPort port, const HostPorts& ports) {
  switch (port) {
    case HostPort::kCallers:
      return ports.callers;
    case HostPort::kReadiness:
      return ports.readiness;
    case HostPort::kPeers:
      return ports.peers;
    default:
      return ports.metrics;
  }
}

std::string Repeat(const std::string& text, std::size_t count) {
  std::string all;
  for (std::size_t i = 0; i < count; ++i) {
    all += text;
  }
  return all;
}

std::string Chunk(std::size_t bytes, const std::string& extension = "") {
  return fmt::format("{:x}{}\r\n{}\r\n", bytes, extension,
                     std::string(bytes, 'a'));
}

jobs::JobSpec MakeJob(std::size_t steps = 1, std::string payload = "@") {
  jobs::JobSpec spec;
  spec.payload = std::move(payload);
  for (std::size_t i = 0; i < steps; ++i) {
    jobs::StepSpec& step = spec.steps.emplace_back();
    step.need = {250, 64, 0};
    step.estimate = milliseconds(100);
  }
  return spec;
}

// The id of the job that a client of a crowd submits.
std::string JobOf(std::size_t client) {
  return fmt::format("{:016x}", client);
}

// The encoded job in two parts, before and after its payload.
std::pair<std::string, std::string> SplitAtPayload(const jobs::JobSpec& spec) {
  const std::string text = adapter::EncodeJob(spec);
  const std::size_t at = text.find('@');
  return {text.substr(0, at), text.substr(at + 1)};
}

// The request line and the first fields; the header goes on.
std::string BeginRequest(const std::string& method, const std::string& path) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: 127.0.0.1\r\n{}: key\r\n", method,
                     path, adapter::kKeyHeader);
}

// A job that takes much more memory once it is parsed. Between hosts it is part
// of a message.
std::string NestedJob(HostPort port, std::size_t client) {
  constexpr std::size_t kDepth = 28;
  constexpr std::size_t kCallersBytes = 480U << 10U;
  constexpr std::size_t kPeersBytes = 900U << 10U;
  const bool is_peer = port == HostPort::kPeers;
  const std::string lists =
      std::string(kDepth, '[') + std::string(kDepth, ']') + ",";
  const std::size_t count =
      (is_peer ? kPeersBytes : kCallersBytes) / lists.size();
  std::string job = "{\"steps\":[" + Repeat(lists, count) + "0]}";
  if (!is_peer) {
    return job;
  }
  host::JobRequest request;
  request.queue = "queue-0";
  request.customer = "customer";
  request.job = fmt::format("{:016x}", client);
  request.verb = host::JobVerb::kSubmit;
  request.timeout_ms = 1000;
  request.spec = job;
  return host::Encode(request);
}

ClientScript MakeScript(CrowdKind kind, HostPort port, std::size_t client) {
  const std::string path = PathOf(port, JobOf(client));
  const std::string post = BeginRequest("POST", path);
  const std::string get = BeginRequest("GET", path);
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kBlocks = kEndlessBytes / kBlock;
  constexpr std::size_t kLongText = 4000;
  switch (kind) {
    case CrowdKind::kAnnouncedBodies:
      return {.head = post + fmt::format("Content-Length: {}\r\n\r\n",
                                         kAnnouncedMegabytes * kMegabyte),
              .piece = std::string(kMegabyte, 'a'),
              .pieces = kAnnouncedMegabytes};
    case CrowdKind::kAnnouncedBodiesThatStop: {
      constexpr std::size_t kBlocksBelowLimit = 62;
      return {.head = post + fmt::format("Content-Length: {}\r\n\r\n",
                                         kBlocksBelowLimit * kBlock + 1),
              .piece = std::string(kBlock, 'a'),
              .pieces = kBlocksBelowLimit};
    }
    case CrowdKind::kManyHeaderFields: {
      const std::string field = "X-Field: " + std::string(100, 'a') + "\r\n";
      return {.head = get,
              .piece = Repeat(field, kBlock / field.size()),
              .pieces = kBlocks};
    }
    case CrowdKind::kEndlessHeaderField:
      return {.head = get + "X-Field: ",
              .piece = std::string(kBlock, 'a'),
              .pieces = kBlocks};
    case CrowdKind::kEndlessUrl:
      return {.head = "GET " + path,
              .piece = std::string(kBlock, 'a'),
              .pieces = kBlocks};
    case CrowdKind::kLargeChunks:
      return {.head = chunked,
              .piece = Chunk(kMegabyte),
              .pieces = kAnnouncedMegabytes};
    case CrowdKind::kChunksThatStop:
      return {.head = chunked, .piece = Chunk(kBlock), .pieces = 62};
    case CrowdKind::kTinyChunksThatStop:
      return {.head = chunked, .piece = Repeat(Chunk(1), 1000), .pieces = 100};
    case CrowdKind::kLongChunkExtensions:
      return {.head = chunked,
              .piece = Repeat(Chunk(1, ";" + std::string(kLongText, 'e')), 16),
              .pieces = kBlocks};
    case CrowdKind::kEndlessChunkSize:
      return {.head = chunked,
              .piece = std::string(kBlock, '0'),
              .pieces = kBlocks};
    case CrowdKind::kEndlessTrailers: {
      const std::string field = "X-Field: " + std::string(kLongText, 'a');
      return {.head = chunked + Chunk(1) + "0\r\n",
              .piece = Repeat(field + "\r\n", 16),
              .pieces = kBlocks};
    }
    case CrowdKind::kEndlessPipelines:
      return {.head = "", .piece = Repeat(get + "\r\n", 100), .pieces = 3};
    case CrowdKind::kUnreadAnswers:
      return {.head = "",
              .piece = Repeat(get + "\r\n", 100),
              .pieces = kBlocks,
              .tail = "",
              .reads = false};
    case CrowdKind::kIdle:
      return {};
    case CrowdKind::kHeadersThatStop:
      return {.head = get};
    case CrowdKind::kNestedJobs: {
      const std::string body = NestedJob(port, client);
      return {.head = post + fmt::format("Content-Type: application/json\r\n"
                                         "Content-Length: {}\r\n\r\n",
                                         body.size()),
              .piece = body,
              .pieces = 1};
    }
    case CrowdKind::kLargeJobs:
      break;
  }
  const auto [before, after] = SplitAtPayload(MakeJob());
  const std::size_t blocks = (1 + client % 3) * (kMegabyte / kBlock);
  return {
      .head = post + fmt::format("Content-Type: application/json\r\n"
                                 "Content-Length: {}\r\n\r\n{}",
                                 before.size() + blocks * kBlock + after.size(),
                                 before),
      .piece = std::string(kBlock, 'a'),
      .pieces = blocks,
      .tail = after};
}

std::size_t ClientsOf(CrowdKind kind) {
  return kind == CrowdKind::kIdle || kind == CrowdKind::kHeadersThatStop
             ? kManyClients
             : kClients;
}

// The peak of a process's resident memory, in KB; 0 if it has ended.
std::size_t PeakMemoryOf(pid_t process) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  std::string word;
  std::size_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> kilobytes;
    }
  }
  return kilobytes;
}

std::size_t CountDescriptors(pid_t process) {
  std::error_code ignored;
  std::filesystem::directory_iterator list(fmt::format("/proc/{}/fd", process),
                                           ignored);
  return static_cast<std::size_t>(
      std::distance(begin(list), std::filesystem::directory_iterator()));
}

// A call that is made until it is answered with success, a few times, and what
// to call next.
struct OrdinaryRequest {
  std::string name;
  wire::HttpCall call;
  std::shared_ptr<OrdinaryRequest> next;
  std::string failure;
  int tries = 0;
  bool is_over = false;
};

// Hosts with little memory and few descriptors, the first of which the crowds
// connect to. Clients that behave make ordinary requests to each of its ports.
class CrowdedHostTest : public testing::Test {
 protected:
  void StartFleet(std::size_t hosts) {
    m_options.plan.hosts = hosts;
    m_options.plan.workers = 2;
    m_options.memory_mb = kMemoryMb;
    m_options.max_descriptors = kMaxDescriptors;
    m_options.host_program = CASSIASTILE_HOST_PROGRAM;
    std::string name =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    std::ranges::replace(name, '/', '-');
    m_options.folder =
        fmt::format("{}cassia-crowd-{}-{}", testing::TempDir(), name, getpid());
    std::filesystem::create_directories(m_options.folder);
    auto fleet = Fleet::Start(m_context, m_loop, m_options);
    ASSERT_TRUE(fleet.has_value()) << fleet.error().message;
    m_fleet = std::move(*fleet);
    ASSERT_TRUE(RunUntil([this] { return m_fleet->FindLeader().has_value(); }));
    m_host = *m_fleet->FindLeader();
    ASSERT_THAT(RequestsWithoutAnswer(), IsEmpty()) << "in calm";
  }

  void TearDown() override {
    m_crowd.reset();
    m_fleet.reset();
    if (!HasFailure()) {
      std::filesystem::remove_all(m_options.folder);
    }
  }

  // Returns whether the condition held within ten seconds.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr milliseconds kStep{10};
    constexpr int kSteps = 1000;
    for (int i = 0; i < kSteps && !condition(); ++i) {
      m_context.restart();
      m_context.run_for(kStep);
      for (std::size_t host = 0; host < m_options.plan.hosts; ++host) {
        const pid_t process = m_fleet->ProcessIdOf(host);
        m_peak_kb = std::max(m_peak_kb, PeakMemoryOf(process));
        m_descriptors = std::max(m_descriptors, CountDescriptors(process));
      }
    }
    return condition();
  }

  void AddCrowd(CrowdKind kind, HostPort port, std::size_t clients) {
    if (m_crowd == nullptr) {
      m_crowd = std::make_unique<ClientCrowd>(m_context);
    }
    std::shared_ptr<const ClientScript> script;
    for (std::size_t i = 0; i < clients; ++i) {
      if (script == nullptr || kind == CrowdKind::kLargeJobs) {
        script =
            std::make_shared<const ClientScript>(MakeScript(kind, port, i));
      }
      if (kind == CrowdKind::kLargeJobs) {
        m_fleet->Checker().JobSubmitted(
            JobOf(i), MakeJob(1, Repeat(script->piece, script->pieces)));
      }
      m_crowd->Add(NumberOf(port, m_fleet->PortsOf(m_host)), script);
    }
  }

  // Runs until nothing goes on between the clients and the host for a while.
  void RunUntilSettled() {
    constexpr int kStepsWithoutChange = 30;
    int steps = 0;
    std::tuple<std::uint64_t, std::size_t, std::size_t> last;
    RunUntil([&] {
      const std::tuple now(m_crowd->MovedBytes(), m_crowd->OpenConnections(),
                           m_peak_kb);
      steps = now == last ? steps + 1 : 0;
      last = now;
      return steps == kStepsWithoutChange;
    });
  }

  // Makes a call, again on a new connection if it fails, and then the next one.
  void Try(const std::shared_ptr<OrdinaryRequest>& request) {
    constexpr int kMaxTries = 20;
    constexpr milliseconds kRetryDelay{250};
    ++request->tries;
    m_client->Start(
        wire::HttpCall(request->call),
        [=, this](const wire::HttpOutcome& outcome) {
          if (outcome && outcome->status / 100 == 2) {
            request->failure.clear();
          } else {
            request->failure = outcome ? std::to_string(outcome->status)
                                       : outcome.error().message;
            if (request->tries < kMaxTries) {
              m_loop.After(kRetryDelay, [=, this] { Try(request); });
              return;
            }
          }
          request->is_over = true;
          if (request->next != nullptr) {
            Try(request->next);
          }
        });
  }

  std::shared_ptr<OrdinaryRequest> MakeRequest(const std::string& name,
                                               const std::string& method,
                                               std::uint16_t port,
                                               const std::string& path,
                                               std::string body = "") {
    auto request = std::make_shared<OrdinaryRequest>();
    request->name = name;
    wire::HttpCall& call = request->call;
    call.method = method;
    call.url = fmt::format("http://127.0.0.1:{}{}", port, path);
    call.headers.emplace_back(adapter::kKeyHeader, "key");
    if (method == "POST") {
      call.headers.emplace_back("Content-Type", "application/json");
    }
    call.body = std::move(body);
    call.timeout = milliseconds(2000);
    call.fresh_connection = true;
    return request;
  }

  // One ordinary request to each port of the crowded host: a job and its state,
  // readiness, metrics, a peer's question. And a job to each other host.
  std::vector<std::string> RequestsWithoutAnswer() {
    std::vector<std::shared_ptr<OrdinaryRequest>> requests;
    const HostPorts ports = m_fleet->PortsOf(m_host);
    for (std::size_t i = 0; i < m_fleet->HostCount(); ++i) {
      const std::uint16_t port = m_fleet->PortsOf(i).callers;
      jobs::JobSpec spec = MakeJob();
      const std::string id = NewId();
      requests.push_back(MakeRequest(fmt::format("job at host {}", i), "POST",
                                     port, PathOf(HostPort::kCallers, id),
                                     adapter::EncodeJob(spec)));
      m_fleet->Checker().JobSubmitted(id, std::move(spec));
      requests.back()->next =
          MakeRequest(fmt::format("state at host {}", i), "GET", port,
                      PathOf(HostPort::kCallers, id));
    }
    host::JobRequest question;
    question.queue = "queue-0";
    question.customer = "customer";
    question.job = NewId();
    question.verb = host::JobVerb::kState;
    question.timeout_ms = 1000;
    requests.push_back(MakeRequest("peer", "POST", ports.peers, kPeerJobPath,
                                   host::Encode(question)));
    requests.push_back(MakeRequest("readiness", "GET", ports.readiness,
                                   PathOf(HostPort::kReadiness, "")));
    requests.push_back(MakeRequest("metrics", "GET", ports.metrics,
                                   PathOf(HostPort::kMetrics, "")));
    for (const auto& request : std::vector(requests)) {
      Try(request);
      if (request->next != nullptr) {
        requests.push_back(request->next);
      }
    }
    RunUntil([&] {
      return std::ranges::all_of(
          requests, [](const auto& request) { return request->is_over; });
    });
    std::vector<std::string> failed;
    for (const auto& request : requests) {
      if (!request->is_over || !request->failure.empty()) {
        failed.push_back(request->name + ": " + request->failure);
      }
    }
    return failed;
  }

  std::string NewId() { return base::MakeId(m_random).substr(0, 16); }

  // Checks the hosts while the crowd sends, while it is still there, and after
  // it has gone.
  void CheckHosts() {
    EXPECT_THAT(RequestsWithoutAnswer(), IsEmpty()) << "while the crowd sends";
    RunUntilSettled();
    EXPECT_THAT(RequestsWithoutAnswer(), IsEmpty())
        << "while the crowd is there";
    std::map<std::string, int> answers;
    for (const std::string& answer : m_crowd->Answers()) {
      ++answers[answer];
    }
    std::cout << fmt::format("crowd: {} connections, {:.1f} MB, answers {}\n",
                             m_crowd->OpenConnections(),
                             static_cast<double>(m_crowd->MovedBytes()) /
                                 static_cast<double>(kMegabyte),
                             answers);
    m_crowd.reset();
    EXPECT_THAT(RequestsWithoutAnswer(), IsEmpty())
        << "after the crowd has gone";
    std::cout << fmt::format("host: peak {:.1f} MB, {} descriptors\n",
                             static_cast<double>(m_peak_kb) / kKilobytesPerMb,
                             m_descriptors);
    EXPECT_EQ(m_fleet->ProcessStarts(), m_fleet->HostCount());
    EXPECT_THAT(m_fleet->Checker().Violations(), IsEmpty());
    EXPECT_LT(m_peak_kb, kMemoryMb * kKilobytesPerMb);
    EXPECT_LT(m_descriptors, kMaxDescriptors);
  }

  SoakOptions m_options;
  base::SystemClock m_clock;
  base::Random m_random{1};
  asio::io_context m_context{1};
  host::AsioLoop m_loop{m_context, m_clock};
  std::unique_ptr<wire::LoopClient> m_client =
      wire::LoopClient::Create(m_context);
  std::unique_ptr<Fleet> m_fleet;
  std::unique_ptr<ClientCrowd> m_crowd;
  std::size_t m_host = 0;
  std::size_t m_peak_kb = 0;
  std::size_t m_descriptors = 0;
};

class ClientCrowdTest
    : public CrowdedHostTest,
      public testing::WithParamInterface<std::tuple<CrowdKind, HostPort>> {};

TEST_P(ClientCrowdTest, HostExceedsMemoryOrDescriptors) {
  const auto [kind, port] = GetParam();
  ASSERT_NO_FATAL_FAILURE(StartFleet(1));
  AddCrowd(kind, port, ClientsOf(kind));
  CheckHosts();
}

std::string NameOfCase(
    const testing::TestParamInfo<ClientCrowdTest::ParamType>& each) {
  return fmt::format("{}_{}",
                     base::FindName(kCrowdNames, std::get<0>(each.param)),
                     base::FindName(kPortNames, std::get<1>(each.param)));
}

template <typename Enum, std::size_t kSize>
std::vector<Enum> ValuesOf(
    const std::array<base::EnumName<Enum>, kSize>& names) {
  std::vector<Enum> values;
  std::ranges::transform(names, std::back_inserter(values),
                         [](const auto& row) { return row.value; });
  return values;
}

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    ClientCrowdTest,
    testing::Combine(testing::ValuesIn(ValuesOf(kCrowdNames)),
                     testing::ValuesIn(ValuesOf(kPortNames))),
    NameOfCase);

// The leader of three hosts; the others pass jobs on to it.
TEST_F(CrowdedHostTest, MixedCrowdsOnAllPorts) {
  constexpr std::size_t kClientsOfEach = 3;
  ASSERT_NO_FATAL_FAILURE(StartFleet(3));
  for (const auto& port : kPortNames) {
    for (const auto& kind : kCrowdNames) {
      AddCrowd(kind.value, port.value, kClientsOfEach);
    }
  }
  CheckHosts();
}

// Another host passes them on to the leader.
TEST_F(CrowdedHostTest, LargeJobsAtAnotherHost) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(3));
  m_host = (m_host + 1) % m_fleet->HostCount();
  AddCrowd(CrowdKind::kLargeJobs, HostPort::kCallers, kClients);
  CheckHosts();
}

// Each job is inside the limits, and none starts before the end of the test.
TEST_F(CrowdedHostTest, ScheduledJobsExceedTheLeadersMemory) {
  constexpr std::size_t kCustomers = 15;
  constexpr std::size_t kJobsOfEach = 100;
  constexpr std::size_t kPayloadBytes = 50000;
  constexpr std::chrono::hours kDueIn{10};
  ASSERT_NO_FATAL_FAILURE(StartFleet(1));
  jobs::JobSpec spec = MakeJob(1, std::string(kPayloadBytes, 'a'));
  spec.repeats = 1;
  spec.first_due = std::chrono::duration_cast<milliseconds>(
      m_clock.WallNow().time_since_epoch() + kDueIn);
  spec.interval = kDueIn;
  const std::string body = adapter::EncodeJob(spec);
  m_crowd = std::make_unique<ClientCrowd>(m_context);
  for (std::size_t i = 0; i < kCustomers; ++i) {
    ClientScript script{.pieces = 1};
    for (std::size_t k = 0; k < kJobsOfEach; ++k) {
      script.piece += BeginRequest("POST", PathOf(HostPort::kCallers,
                                                  JobOf(i * kJobsOfEach + k))) +
                      fmt::format(
                          "Content-Type: application/json\r\n"
                          "Content-Length: {}\r\n\r\n",
                          body.size()) +
                      body;
    }
    m_crowd->Add(m_fleet->PortsOf(m_host).callers,
                 std::make_shared<const ClientScript>(std::move(script)));
  }
  CheckHosts();
}

// A request whose names are longer than a key or a row of the table.
TEST_F(CrowdedHostTest, LongNamesAtThePeersPortStopOtherCommits) {
  constexpr std::size_t kLongIdBytes = 300;
  constexpr std::size_t kLongCustomerBytes = 100'000;
  ASSERT_NO_FATAL_FAILURE(StartFleet(1));
  host::JobRequest long_id;
  long_id.queue = "queue-0";
  long_id.customer = "customer";
  long_id.job = std::string(kLongIdBytes, 'a');
  long_id.timeout_ms = 1000;
  long_id.spec = adapter::EncodeJob(MakeJob());
  host::JobRequest long_customer = long_id;
  long_customer.job = JobOf(0);
  long_customer.customer = std::string(kLongCustomerBytes, 'a');
  m_crowd = std::make_unique<ClientCrowd>(m_context);
  for (const auto verb : {host::JobVerb::kSubmit, host::JobVerb::kCancel}) {
    for (host::JobRequest request : {long_id, long_customer}) {
      request.verb = verb;
      const std::string body = host::Encode(request);
      m_crowd->Add(
          m_fleet->PortsOf(m_host).peers,
          std::make_shared<const ClientScript>(ClientScript{
              .head = BeginRequest("POST", kPeerJobPath) +
                      fmt::format("Content-Length: {}\r\n\r\n", body.size()),
              .piece = body,
              .pieces = 1}));
    }
  }
  CheckHosts();
}

// Gossip of hosts that don't exist, each with a name of its own.
TEST_F(CrowdedHostTest, GossipOfManyHostsExceedsMemory) {
  constexpr std::size_t kNames = 700;
  constexpr std::size_t kNameBytes = 100'000;
  ASSERT_NO_FATAL_FAILURE(StartFleet(1));
  std::shared_ptr<OrdinaryRequest> last;
  std::shared_ptr<OrdinaryRequest> first;
  for (std::size_t i = 0; i < kNames; ++i) {
    host::GossipMessage gossip;
    gossip.host = JobOf(i) + std::string(kNameBytes, 'a');
    gossip.endpoint = "127.0.0.1:1";
    first = MakeRequest("gossip", "POST", m_fleet->PortsOf(m_host).peers,
                        "/peer/v1/greeting", host::Encode(gossip));
    first->next = std::exchange(last, first);
  }
  std::shared_ptr<OrdinaryRequest> end = first;
  while (end->next != nullptr) {
    end = end->next;
  }
  Try(first);
  RunUntil([&] { return end->is_over; });
  EXPECT_TRUE(end->is_over);
  m_crowd = std::make_unique<ClientCrowd>(m_context);
  CheckHosts();
}

// A single client's requests at the limits, in calm.
class CalmHostTest : public CrowdedHostTest {
 protected:
  static constexpr std::size_t kBodyBytes = 64U << 10U;

  // A job of 64 KB, with the longest spec allowed, each byte of it escaped.
  static std::string LongestJob() {
    constexpr std::size_t kSpecBytes = 4000;
    constexpr std::size_t kSteps = 256;
    const auto [before, after] = SplitAtPayload(MakeJob(kSteps));
    std::string body = before + Repeat("\\u0061", kSpecBytes) + after;
    body.resize(std::max(body.size(), kBodyBytes), ' ');
    return body;
  }

  void ExpectAccepted(ClientScript script) {
    ASSERT_NO_FATAL_FAILURE(StartFleet(1));
    m_crowd = std::make_unique<ClientCrowd>(m_context);
    m_crowd->Add(m_fleet->PortsOf(m_host).callers,
                 std::make_shared<const ClientScript>(std::move(script)));
    RunUntil([this] { return !m_crowd->Answers().empty(); });
    EXPECT_THAT(m_crowd->Answers(), testing::ElementsAre("HTTP/1.1 200"));
  }

  std::string m_post =
      BeginRequest("POST", PathOf(HostPort::kCallers, "00000000000000ff"));
};

TEST_F(CalmHostTest, LongestJobIsAccepted) {
  const std::string body = LongestJob();
  ExpectAccepted(
      {.head = m_post + fmt::format("Content-Length: {}\r\n\r\n", body.size()),
       .piece = body,
       .pieces = 1});
}

TEST_F(CalmHostTest, LongestJobInTinyChunksIsAccepted) {
  std::string chunks;
  for (const char byte : LongestJob()) {
    chunks += fmt::format("1\r\n{}\r\n", byte);
  }
  ExpectAccepted({.head = m_post + "Transfer-Encoding: chunked\r\n\r\n",
                  .piece = chunks,
                  .pieces = 1,
                  .tail = "0\r\n\r\n"});
}

TEST_F(CalmHostTest, ManyAndLongHeaderFieldsAreAccepted) {
  constexpr std::size_t kFields = 90;
  constexpr std::size_t kLongBytes = 8U << 10U;
  const std::string body = adapter::EncodeJob(MakeJob());
  ExpectAccepted(
      {.head = m_post + Repeat("X-Field: a\r\n", kFields) +
               "X-Long: " + std::string(kLongBytes, 'a') +
               fmt::format("\r\nContent-Length: {}\r\n\r\n", body.size()),
       .piece = body,
       .pieces = 1});
}

}  // namespace
}  // namespace cassiastile::soak
