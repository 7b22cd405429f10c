#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiastile::config {

// The sections of the fleet document, each owned by one operator.
enum class SectionName : std::uint8_t {
  kOperators,
  kOwnership,
  kZones,
  kPools,
  kServices,
  kQueues,
  kTeams,
  kKeys,
  kShares,
  kLimits,
  kWaves,
};

std::string_view NameOf(SectionName name);
std::optional<SectionName> FindSection(std::string_view name);

// Someone who may edit the document. Keys stand in the document as SHA-256
// digests in hexadecimal, never as they are.
struct Operator {
  std::string name;
  std::string key_sha256;
};

struct Ownership {
  SectionName section{};
  std::string owner;  // An operator's name.
};

// An availability zone.
struct Zone {
  std::string name;
  std::string region;
};

// A machine with the resources that its tasks share.
struct Host {
  std::string name;
  std::string zone;
  std::string rack;
  std::uint32_t cores = 16;
  std::uint32_t memory_gb = 64;
  std::uint32_t accelerators = 0;
};

// How many hosts a pool may miss at once, whatever the cause.
struct Budget {
  std::uint32_t max_out = 1;
};

struct Pool {
  std::string name;
  bool spare = false;  // Its hosts stand in for other pools.
  Budget budget;
  bool survive_zone_loss = false;
  std::vector<Host> hosts;
};

// A service whose runners answer requests.
struct Service {
  std::string name;
  std::string pool;
  std::uint32_t runners = 10;
  std::uint32_t slots_per_runner = 8;
  std::uint32_t connections_per_runner = 64;
  std::chrono::milliseconds deadline{10000};  // Where a caller names none.
  std::uint32_t queue_limit = 512;            // Requests waiting on one host.
  bool open = false;                          // Takes requests without a key.
};

// Where tasks wait for the workers of a pool.
struct Queue {
  std::string name;
  std::string pool;
  std::string team;  // Empty on a queue open to all.
  bool urgent = false;
};

// A customer's team.
struct Team {
  std::string name;
  std::string customer;
};

struct Key {
  std::string id;  // Shown in audits in place of the key.
  std::string team;
  std::string sha256;
};

// A team's part of what is there when everything is full, by weight.
struct Share {
  std::string team;
  std::uint32_t weight = 1;
};

// The most a team may have running across the fleet.
struct Limit {
  std::string team;
  std::uint32_t requests = 0;
  std::uint32_t tasks = 0;
};

enum class WaveOrder : std::uint8_t {
  kLongestFreeFirst,
  kAsListed,
};

std::string_view NameOf(WaveOrder order);
std::optional<WaveOrder> FindWaveOrder(std::string_view name);

// The hours of the day in which a wave may take hosts, in minutes of UTC from
// midnight. An end before the start runs over midnight; equal means always.
struct Window {
  std::uint32_t start_minute = 0;
  std::uint32_t end_minute = 0;
};

// A maintenance wave: every host of its pools is drained, rebooted and
// returned.
struct Wave {
  std::string name;
  std::vector<std::string> pools;
  WaveOrder order = WaveOrder::kLongestFreeFirst;
  Window window;
  std::uint32_t parallel = 1;    // Hosts out at once for this wave, per pool.
  std::uint32_t per_rack = 1;    // Hosts out at once in one rack.
  std::uint32_t canaries = 0;    // Hosts done alone first.
  std::uint32_t halt_after = 2;  // Hosts that fail before the wave halts.
  std::chrono::seconds drain_deadline{3600};
  bool cut_at_deadline = false;  // Whether work past the deadline is stopped.
};

// What a fleet document says.
struct Fleet {
  std::string name;
  std::vector<Operator> operators;
  std::vector<Ownership> ownership;
  std::vector<Zone> zones;
  std::vector<Pool> pools;
  std::vector<Service> services;
  std::vector<Queue> queues;
  std::vector<Team> teams;
  std::vector<Key> keys;
  std::vector<Share> shares;
  std::vector<Limit> limits;
  std::vector<Wave> waves;
};

// A document that was accepted, under the version it was accepted as. Versions
// count from one; zero means that none was.
struct AcceptedFleet {
  std::uint64_t version = 0;
  std::string digest;  // SHA-256 of the text.
  std::string text;
  Fleet fleet;
};

// Looks a thing up by its name; null where there is none.
const Pool* FindPool(const Fleet& fleet, std::string_view name);
const Service* FindService(const Fleet& fleet, std::string_view name);
const Queue* FindQueue(const Fleet& fleet, std::string_view name);
const Limit* FindLimit(const Fleet& fleet, std::string_view team);
const Share* FindShare(const Fleet& fleet, std::string_view team);
const Wave* FindWave(const Fleet& fleet, std::string_view name);

// The key row that a caller's secret stands for, compared by digest in
// constant time; null where none does.
const Key* FindKey(const Fleet& fleet, std::string_view secret);

// The operator whose key the secret is; null where there is none.
const Operator* FindOperator(const Fleet& fleet, std::string_view secret);

}  // namespace cassiastile::config
