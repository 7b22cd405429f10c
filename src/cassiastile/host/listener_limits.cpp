#include "cassiastile/host/listener_limits.hpp"

#include <algorithm>

namespace cassiastile::host {

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;

// Of the machine's memory, what requests and responses may hold on all ports.
// Each byte counted costs up to five: in the server's buffer while that grows,
// in the handler's copy, and in those of a message to the leader.
constexpr double kHeldShare = 0.1;
// Of the descriptors. Each connection of a caller has one request at a time
// that may need another one, to the leader; the rest is for workers, other
// hosts and the platform.
constexpr double kConnectionShare = 0.5;
// The descriptors that the platform's machines keep for files.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMinConnections = 4;
// A port has room for this many requests of the largest size.
constexpr std::size_t kLargestRequests = 2;

// What is the same on every machine, and the port's part of the machine.
struct Row {
  Listener listener;
  double share;  // Of connections and of held bytes.
  // Room for the largest job: all steps, all of the others named in each, each
  // byte of its text escaped.
  std::size_t max_body_bytes;
  // Framing: six bytes a byte, if each is a chunk.
  std::size_t max_request_bytes;
  std::size_t socket_buffer_bytes;
};

constexpr std::array<Row, kListenerNames.size()> kRows{{
    {Listener::kCallers, 0.55, 512 * kKilobyte, 2 * kMegabyte, 16 * kKilobyte},
    {Listener::kReadiness, 0.05, 4 * kKilobyte, 64 * kKilobyte, 16 * kKilobyte},
    // Batches of a relay hold the specifications of tasks for many workers.
    {Listener::kPeers, 0.35, 4 * kMegabyte, 5 * kMegabyte, 0},
    {Listener::kMetrics, 0.05, 4 * kKilobyte, 64 * kKilobyte, 16 * kKilobyte},
}};

std::size_t Part(double share, std::size_t whole) {
  return static_cast<std::size_t>(share * static_cast<double>(whole));
}

std::size_t Sockets(const MachineLimits& machine) {
  return machine.descriptors - std::min(machine.descriptors, kFileDescriptors);
}

}  // namespace

ListenerLimits LimitsOf(Listener listener, const MachineLimits& machine) {
  const Row& row = *std::ranges::find(kRows, listener, &Row::listener);
  ListenerLimits limits;
  limits.connections.max_connections = std::max(
      kMinConnections, Part(row.share * kConnectionShare, Sockets(machine)));
  limits.connections.max_held_bytes =
      Part(row.share * kHeldShare, machine.memory_mb * kMegabyte);
  limits.connections.max_request_bytes =
      std::min(row.max_request_bytes,
               limits.connections.max_held_bytes / kLargestRequests);
  limits.max_body_bytes =
      std::min(row.max_body_bytes, limits.connections.max_request_bytes);
  limits.socket_buffer_bytes = row.socket_buffer_bytes;
  return limits;
}

}  // namespace cassiastile::host
