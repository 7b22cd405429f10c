#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiastile::config {

// The sections of the fleet document. Each is owned by one operator.
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

// A person or team that may edit the document. Keys are stored as SHA-256
// digests in hexadecimal, never in plain text.
struct Operator {
  std::string name;
  std::string key_sha256;
};

// The operator who may edit a section.
struct Ownership {
  SectionName section{};
  std::string owner;  // An operator's name.
};

// An availability zone.
struct Zone {
  std::string name;
  std::string region;
};

// A machine. Its tasks share its resources.
struct Host {
  std::string name;
  std::string zone;
  std::string rack;
  std::uint32_t cores = 16;
  std::uint32_t memory_gb = 64;
  std::uint32_t accelerators = 0;
};

// The disruption budget of a pool: how many of its hosts may be unavailable at
// once, for any cause.
struct Budget {
  std::uint32_t max_out = 1;
};

// A named group of hosts with a disruption budget.
struct Pool {
  std::string name;
  bool spare = false;  // Its hosts are replacements for other pools.
  Budget budget;
  // Requires that a host is left when any zone fails while `max_out` hosts of
  // other zones are out.
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
  std::chrono::milliseconds deadline{10000};  // If the caller sets none.
  std::uint32_t queue_limit = 512;            // Requests waiting on one host.
  bool open = false;                          // Accepts requests without a key.
};

// A queue of tasks that wait for the workers of a pool.
struct Queue {
  std::string name;
  std::string pool;
  std::string team;  // Empty if any team may submit.
  bool urgent = false;
};

// A customer's team.
struct Team {
  std::string name;
  std::string customer;
};

// An API key of a team, stored as its SHA-256 digest.
struct Key {
  std::string id;  // Shown in audit records instead of the key.
  std::string team;
  std::string sha256;
};

// A team's weight in the fair sharing of capacity, which applies when the fleet
// is full.
struct Share {
  std::string team;
  std::uint32_t weight = 1;
};

// The most requests and tasks a team may have running across the fleet.
struct Limit {
  std::string team;
  std::uint32_t requests = 0;
  std::uint32_t tasks = 0;
};

// The order in which a wave drains its hosts.
enum class WaveOrder : std::uint8_t {
  kLongestFreeFirst,  // The hosts that are easiest to drain come first; see
                      // fleet::OrderHosts.
  kAsListed,          // In the document's order.
};

std::string_view NameOf(WaveOrder order);
std::optional<WaveOrder> FindWaveOrder(std::string_view name);

// The time of day at which a wave may drain hosts, in minutes from midnight
// UTC. An end before the start wraps around midnight; equal values mean the
// whole day.
struct Window {
  std::uint32_t start_minute = 0;
  std::uint32_t end_minute = 0;
};

// A maintenance wave: every host of its pools is drained, rebooted and returned
// to service.
struct Wave {
  std::string name;
  std::vector<std::string> pools;
  WaveOrder order = WaveOrder::kLongestFreeFirst;
  Window window;
  std::uint32_t parallel = 1;    // Hosts out at once for this wave, per pool.
  std::uint32_t per_rack = 1;    // Hosts out at once in one rack.
  std::uint32_t canaries = 0;    // Hosts maintained first, one at a time.
  std::uint32_t halt_after = 2;  // Hosts that fail before the wave halts.
  std::chrono::seconds drain_deadline{3600};
  bool cut_at_deadline = false;  // Whether work is stopped at the deadline.
};

// The contents of a fleet document.
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

// An accepted document with its version. Versions count from one; zero means
// that no document was accepted yet.
struct AcceptedFleet {
  std::uint64_t version = 0;
  std::string digest;  // SHA-256 of the text.
  std::string text;
  Fleet fleet;
};

// Find a row by its name (or its team); null when there is none.
const Pool* FindPool(const Fleet& fleet, std::string_view name);
const Service* FindService(const Fleet& fleet, std::string_view name);
const Queue* FindQueue(const Fleet& fleet, std::string_view name);
const Limit* FindLimit(const Fleet& fleet, std::string_view team);
const Share* FindShare(const Fleet& fleet, std::string_view team);
const Wave* FindWave(const Fleet& fleet, std::string_view name);

// Returns the key that a caller's secret belongs to, or null. Digests are
// compared in constant time.
const Key* FindKey(const Fleet& fleet, std::string_view secret);

// Returns the operator that a secret belongs to, or null. Digests are compared
// in constant time.
const Operator* FindOperator(const Fleet& fleet, std::string_view secret);

}  // namespace cassiastile::config
