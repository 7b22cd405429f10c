// One malformed message must not end a process.
#include <gtest/gtest.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <sstream>

#include "cassiastile/host/job_frontend.hpp"
#include "cassiastile/host/peer_message.hpp"
#include "cassiastile/host/relay_message.hpp"
#include "cassiastile/host/settings.hpp"
#include "cassiastile/jobs/duration_model.hpp"
#include "cassiastile/jobs/job.hpp"
#include "cassiastile/sim/odd_values.hpp"
#include "virtual_world_bench.hpp"

namespace cassiastile::host {
namespace {

// Bytes that are `whole` with a few changes, cut, or random.
std::string Garble(const std::string& whole, base::Random& random) {
  constexpr std::size_t kMaxRandomBytes = 80;
  std::string bytes = whole;
  switch (random() % 3) {
    case 0:
      bytes.resize(random() % (whole.size() + 1));
      break;
    case 1:
      for (int i = 0; i < 3 && !bytes.empty(); ++i) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      break;
    default:
      bytes.assign(random() % kMaxRandomBytes, 0);
      for (char& byte : bytes) {
        byte = static_cast<char>(random());
      }
      break;
  }
  return bytes;
}

// A length of 16 GiB in a message of a few bytes: memory of that size would end
// the process, before the message is found to be too short.
TEST(MalformedInputTest, LengthBeyondTheMessageIsRefused) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(std::uint64_t{1} << 34U);
  }
  const std::string bytes = out.str() + "abc";
  EXPECT_FALSE(DecodeGossipMessage(bytes));
  EXPECT_FALSE(DecodeLeaderRecord(bytes));
}

TEST(MalformedInputTest, MessagesOfPeersAreReadOrRefused) {
  GossipMessage gossip;
  gossip.host = "host";
  gossip.config = "configuration";
  JobRequest request;
  request.job = "5c0e7a21d94b36f8";
  request.spec = "{}";
  base::Random random(11);
  constexpr int kMessages = 5000;
  for (int i = 0; i < kMessages; ++i) {
    static_cast<void>(DecodeGossipMessage(Garble(Encode(gossip), random)));
    static_cast<void>(DecodeJobRequest(Garble(Encode(request), random)));
    static_cast<void>(DecodeJobAnswer(Garble(Encode(JobAnswer{}), random)));
    static_cast<void>(
        DecodeLeaderRecord(Garble(Encode(LeaderRecord{}), random)));
  }
}

TEST(MalformedInputTest, MessagesOfPeersAreReadAsWritten) {
  GossipMessage gossip;
  gossip.host = "host";
  gossip.config_version = 7;
  gossip.leader = {9, "leader", "leader:1"};
  gossip.processor_share = 0.25;
  gossip.store_reachable = true;
  const auto read = DecodeGossipMessage(Encode(gossip));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->host, "host");
  EXPECT_EQ(read->config_version, 7U);
  EXPECT_EQ(read->leader.fence, 9U);
  EXPECT_EQ(read->leader.endpoint, "leader:1");
  EXPECT_EQ(read->processor_share, 0.25);
  EXPECT_TRUE(read->store_reachable);
  EXPECT_FALSE(read->is_leader);
}

TEST(MalformedInputTest, RowsOfTheStoreAreReadOrRefused) {
  jobs::Job job;
  job.id = "5c0e7a21d94b36f8";
  job.queue = "queue";
  job.spec.payload = "payload";
  job.spec.steps.emplace_back().count = 3;
  jobs::BeginOccurrence(job, 0);
  jobs::DurationModel durations;
  durations.Observe("queue", std::chrono::milliseconds(500),
                    std::chrono::milliseconds(700));
  base::Random random(12);
  constexpr int kRows = 3000;
  for (int i = 0; i < kRows; ++i) {
    static_cast<void>(
        jobs::DecodeRecord(job.id, Garble(jobs::EncodeRecord(job), random)));
    jobs::Job read;
    read.spec = job.spec;
    static_cast<void>(
        jobs::DecodeProgress(read, Garble(jobs::EncodeProgress(job), random)));
    static_cast<void>(
        jobs::DurationModel::Decode(Garble(durations.Encode(), random)));
  }
}

// MessagePack that is nested very deeply, and a list of 4 billion elements in a
// few bytes.
TEST(MalformedInputTest, DeepOrOversizedListsOfPeersAndRowsAreRefused) {
  constexpr std::size_t kVeryDeep = 300000;
  const std::string deep = std::string(kVeryDeep, '\x91') + '\xc0';
  const std::string oversized = "\xdd\xff\xff\xff\xff";
  for (const std::string& bytes : {deep, oversized}) {
    EXPECT_FALSE(DecodeRelayBatch(bytes));
    EXPECT_FALSE(DecodeRelayReply(bytes));
    EXPECT_FALSE(DecodeRelayResults(bytes));
    EXPECT_FALSE(DecodeGossipMessage(bytes));
    EXPECT_FALSE(DecodeJobRequest(bytes));
    EXPECT_FALSE(DecodeLeaderRecord(bytes));
    EXPECT_FALSE(jobs::DurationModel::Decode(bytes));
    jobs::Job job;
    job.spec.steps.emplace_back();
    EXPECT_FALSE(jobs::DecodeProgress(job, bytes));
    EXPECT_FALSE(jobs::DecodeRecord("5c0e7a21d94b36f8", bytes));
  }
}

TEST(MalformedInputTest, RowsWithNumbersThatNoJobHasAreRefused) {
  jobs::Job job;
  job.id = "5c0e7a21d94b36f8";
  job.spec.steps.emplace_back().count = UINT32_MAX;
  EXPECT_FALSE(jobs::DecodeRecord(job.id, jobs::EncodeRecord(job)));
  // An occurrence twice, and one that the job does not repeat for.
  for (const std::uint32_t number : {0U, 7U}) {
    job.spec.steps.front().count = 1;
    job.occurrences.clear();
    jobs::BeginOccurrence(job, 0);
    jobs::BeginOccurrence(job, number);
    jobs::Job read;
    read.spec = job.spec;
    EXPECT_FALSE(jobs::DecodeProgress(read, jobs::EncodeProgress(job)));
  }
}

// Rows of another writer in the tables of the hosts themselves: the next leader
// leaves them out and goes on with all jobs, and no host calls what is no
// address.
TEST(MalformedInputTest, OddRowsInTheHostsTablesStopNoLeader) {
  VirtualWorld world({.seed = 47, .keep_log = true});
  base::Random random(47);
  world.RunFor(std::chrono::milliseconds(2000));
  const std::string job =
      world.Submit(0, 2, 4, std::chrono::milliseconds(3000));
  world.RunFor(std::chrono::milliseconds(1000));
  constexpr int kRows = 60;
  for (int i = 0; i < kRows; ++i) {
    world.WriteRow({kHostTable, "", "odd-" + std::to_string(i),
                    sim::DrawNoDestination(random)});
    for (const char* suffix : {"", "r", ".r", ".p", ".q"}) {
      world.WriteRow({kJobTable, kLeaderPart, sim::DrawText(random) + suffix,
                      sim::DrawText(random)});
    }
    for (const char* table : {kMachineTable, kLearntTable}) {
      world.WriteRow(
          {table, kLeaderPart, sim::DrawText(random), sim::DrawText(random)});
    }
  }
  world.RunFor(std::chrono::milliseconds(4000));
  const auto leader = world.LeaderIndex();
  ASSERT_TRUE(leader.has_value());
  world.KillHost(*leader);
  world.RunFor(std::chrono::milliseconds(15000));
  EXPECT_EQ(world.StateOf(job), "done");
  EXPECT_EQ(world.Violations(), std::vector<std::string>{});
  EXPECT_NE(world.Log().find("peer.bad_entry"), std::string::npos);
  EXPECT_NE(world.Log().find("office.bad_row"), std::string::npos);
}

// An entry of another writer whose service no configuration has was called like
// a worker. It is followed once a version has the service.
TEST(MalformedInputTest, WorkerOfAnUnknownServiceIsNotCalled) {
  VirtualWorld world({.seed = 47, .keep_log = true});
  world.RunFor(std::chrono::milliseconds(2000));
  world.WriteRow(
      {"workers", "", "odd", "1 service-2 machine-x 16 0 zone-0", 0, false});
  world.RunFor(std::chrono::milliseconds(2000));
  EXPECT_EQ(world.LeaderScheduler().Workers().count("odd"), 0U);
  EXPECT_NE(world.Log().find("no configuration has its service"),
            std::string::npos);
  world.PublishNextConfig(3);
  world.RunFor(std::chrono::milliseconds(2000));
  EXPECT_EQ(world.LeaderScheduler().Workers().count("odd"), 1U);
}

// Workers of a service that a version lacks for a moment stay known, with what
// runs there.
TEST(MalformedInputTest, WorkersOfAServiceThatIsTakenOutAreKept) {
  VirtualWorld world({.seed = 47});
  world.RunFor(std::chrono::milliseconds(2000));
  const std::string job =
      world.Submit(1, 2, 4, std::chrono::milliseconds(3000));
  world.RunFor(std::chrono::milliseconds(1000));
  const std::size_t workers = world.LeaderScheduler().Workers().size();
  world.PublishNextConfig(1);
  world.RunFor(std::chrono::milliseconds(2000));
  EXPECT_EQ(world.LeaderScheduler().Workers().size(), workers);
  world.RunFor(std::chrono::milliseconds(8000));
  EXPECT_EQ(world.CountDoneTasks(job), 8U);
  EXPECT_EQ(world.Violations(), std::vector<std::string>{});
}

// The same where all hosts start anew in the gap: none has ever seen the
// service, but an accepted job has.
TEST(MalformedInputTest, WorkersOfAnAcceptedJobsServiceAreFollowed) {
  VirtualWorld world({.seed = 47});
  world.RunFor(std::chrono::milliseconds(2000));
  const std::string job =
      world.Submit(1, 3, 4, std::chrono::milliseconds(2500));
  world.RunFor(std::chrono::milliseconds(1000));
  world.PublishNextConfig(1);
  world.RunFor(std::chrono::milliseconds(100));
  for (std::size_t i = 0; i < 6; ++i) {
    world.KillHost(i);
  }
  world.RunFor(std::chrono::milliseconds(500));
  for (std::size_t i = 0; i < 6; ++i) {
    world.StartHost(i);
  }
  world.RunFor(std::chrono::milliseconds(2500));
  // The workers that come next hold no runs that would tell of them.
  for (const std::string& worker : world.WorkerIds()) {
    world.CrashWorker(worker, std::chrono::milliseconds(1000));
  }
  world.RunFor(std::chrono::milliseconds(25000));
  EXPECT_EQ(world.CountDoneTasks(job), 12U);
  EXPECT_EQ(world.Violations(), std::vector<std::string>{});
}

// A peer that names an address that is none, for itself or for the leader: its
// message counts for nothing, and no host calls it.
TEST(MalformedInputTest, GossipWithAnOddAddressIsLeftOut) {
  VirtualWorld world({.seed = 47, .keep_log = true});
  base::Random random(47);
  world.RunFor(std::chrono::milliseconds(2000));
  constexpr int kMessages = 200;
  for (int i = 0; i < kMessages; ++i) {
    const std::string endpoint = sim::DrawNoDestination(random);
    GossipMessage gossip;
    gossip.host = "odd-" + std::to_string(i);
    gossip.endpoint = i % 2 == 0 ? endpoint : "10.0.0.1:1";
    gossip.leader = {UINT64_MAX, gossip.host, endpoint};
    gossip.is_leader = true;
    world.Gossip(1, gossip);
  }
  world.RunFor(std::chrono::milliseconds(3000));
  const std::string job = world.Submit(0, 1, 4, std::chrono::milliseconds(300));
  world.RunFor(std::chrono::milliseconds(5000));
  EXPECT_EQ(world.StateOf(job), "done");
  EXPECT_EQ(world.Violations(), std::vector<std::string>{});
  EXPECT_NE(world.Log().find("peer.bad_entry"), std::string::npos);
}

TEST(MalformedInputTest, SettingsAreReadOrRefused) {
  base::Random random(13);
  constexpr int kTexts = 2000;
  for (int i = 0; i < kTexts; ++i) {
    static_cast<void>(ParseHostSettings(
        Garble(R"({"host":"a","peer_port":7000,"stop_grace_s":6})", random)));
  }
}

TEST(HostSettingsTest, NumberOfRelayedWorkersMayBeMissingButNotWrong) {
  const std::string rest =
      R"("host":"a","availability_zone":"z","address":"127.0.0.1",
         "peer_port":7000,"metrics_port":7001,"client_endpoint":"127.0.0.1:1",
         "ready_endpoint":"127.0.0.1:2","table_endpoint":"127.0.0.1:3",
         "machines_endpoint":"127.0.0.1:4","advice_endpoint":"",
         "max_worker_lease_ms":10000,"drain_ms":2000,"stop_grace_s":6,
         "finished_state_s":120,"machine_order_lease_ms":3000,
         "processor_share":0.5})";
  const auto missing = ParseHostSettings("{" + rest);
  ASSERT_TRUE(missing.has_value()) << missing.error().message;
  EXPECT_EQ(missing->min_relayed_workers, 100U);
  EXPECT_EQ(missing->evacuation_time.count(), 0);
  EXPECT_EQ(missing->max_reserved_starts, 0U);
  EXPECT_FALSE(missing->share_by_weight);
  const auto evacuates = ParseHostSettings(R"({"evacuate_ms":5000,)" + rest);
  ASSERT_TRUE(evacuates.has_value());
  EXPECT_EQ(evacuates->evacuation_time.count(), 5000);
  for (const char* invalid : {"1000", "-1", "\"5000\""}) {
    EXPECT_FALSE(ParseHostSettings(std::string(R"({"evacuate_ms":)") + invalid +
                                   "," + rest)
                     .has_value())
        << invalid;
  }
  EXPECT_EQ(ParseHostSettings(R"({"min_relayed_workers":7,)" + rest)
                ->min_relayed_workers,
            7U);
  EXPECT_EQ(missing->machine, MachineLimits{});
  EXPECT_EQ(
      ParseHostSettings(R"({"memory_mb":160,"max_descriptors":999,)" + rest)
          ->machine,
      (MachineLimits{160, 999}));
  for (const char* small :
       {R"({"memory_mb":31,)", R"({"max_descriptors":249,)"}) {
    EXPECT_FALSE(ParseHostSettings(small + rest).has_value()) << small;
  }
  const auto wrong = ParseHostSettings(R"({"min_relayed_workers":-1,)" + rest);
  ASSERT_FALSE(wrong.has_value());
  EXPECT_EQ(wrong.error().message,
            "min_relayed_workers must be a whole number, 0 or more");
  const auto no_flag = ParseHostSettings(R"({"share_by_weight":1,)" + rest);
  ASSERT_FALSE(no_flag.has_value());
  EXPECT_EQ(no_flag.error().message, "share_by_weight must be true or false");
}

// A submission that is no JSON: the error quotes its bytes, which are not
// UTF-8. The leader's answer arrives outside the request's handler, where an
// exception would end the process.
TEST(MalformedInputTest, ErrorThatQuotesBytesOfTheRequestIsAnswered) {
  VirtualLoop loop;
  HostMetrics metrics;
  EventLog log(loop.GetClock(), "host", metrics,
               [](std::string_view bytes) { return bytes.size(); });
  JobFrontend frontend(
      {}, loop, log,
      [&loop](const JobRequest& request, std::chrono::milliseconds,
              const std::function<void(JobAnswer)>& respond) {
        loop.After(std::chrono::milliseconds(1),
                   [respond, spec = request.spec] {
                     respond({.kind = JobAnswerKind::kInvalid,
                              .detail = "unexpected '" + spec + "'"});
                   });
      },
      [] { return JobFrontend::LeaderView{}; },
      [] { return base::Duration{}; });
  auto config = std::make_shared<jobs::FleetConfig>();
  config->queues.push_back({.name = "queue",
                            .host = "host",
                            .path_prefix = "/queue/",
                            .service = "service",
                            .open = true,
                            .advice = {}});
  config->BuildIndex();
  frontend.ApplyConfig(config);
  wire::HttpRequest request;
  request.method = "POST";
  request.path = "/queue/5c0e7a21d94b36f8";
  request.headers.emplace_back("Host", "host");
  request.body = "\xff\xfe{";
  int status = 0;
  frontend.Serve(request, [&status](const wire::HttpResponse& response) {
    status = response.status;
  });
  loop.RunFor(std::chrono::milliseconds(10));
  EXPECT_EQ(status, 400);
}

}  // namespace
}  // namespace cassiastile::host
