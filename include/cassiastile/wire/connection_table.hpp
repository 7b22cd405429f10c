#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <list>
#include <optional>
#include <unordered_map>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::wire {

// What the clients of one listener may cost, all of them together.
struct ConnectionLimits {
  std::size_t max_connections = 4096;
  // Of one request as it is sent, with its header and the framing of chunks.
  std::size_t max_request_bytes = 16U << 20U;
  // Of all requests that are incomplete or not answered yet, and of responses
  // that are not sent yet.
  std::size_t max_held_bytes = 256U << 20U;

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

// Why a listener closed a connection.
enum class CloseReason : std::uint8_t {
  kTooManyConnections,
  kTooLargeRequest,
  kTooManyBytesHeld,
};

inline constexpr std::array<base::EnumName<CloseReason>, 3> kCloseReasonNames{{
    {CloseReason::kTooManyConnections, "too many connections"},
    {CloseReason::kTooLargeRequest, "too large request"},
    {CloseReason::kTooManyBytesHeld, "too many bytes held"},
}};

// What the clients of a listener cost now, and how many connections were closed
// for it so far.
struct ConnectionUsage {
  std::size_t connections = 0;
  std::size_t held_bytes = 0;
  std::array<std::uint64_t, kCloseReasonNames.size()> closed{};  // By reason.

  friend bool operator==(const ConnectionUsage&,
                         const ConnectionUsage&) = default;
};

// Decides which connections of a listener have to close to keep its limits.
// The one goes that has kept the listener waiting longest: without a request
// since its last one, with a request since its first byte, or with taking a
// response since it was ready. Bytes that come or go don't make a wait young
// again. A request that is being handled is never cut off, but while clients
// send one request after the other, a connection ends with its response to make
// room for others.
//
// Not thread-safe.
class ConnectionTable {
 public:
  using Id = std::uint64_t;
  // Closes a connection, which leaves the table right after.
  using Close = std::function<void(Id, CloseReason)>;

  ConnectionTable(ConnectionLimits limits, Close close);

  // A client has connected. Returns nothing if the connection has to close.
  std::optional<Id> Open();
  // A connection is closed; does nothing if the table has closed it.
  void Remove(Id id);
  // Bytes have come. Returns false if the connection is closed for them.
  bool Receive(Id id, std::size_t bytes);
  // What has come since the last request is a whole request. Returns its bytes,
  // which are held until Release, also if the connection closes before.
  std::size_t CompleteRequest(Id id);
  // A response is about to be sent; its bytes are held until Release.
  void BeginResponse(Id id, std::size_t bytes);
  // A response is sent, or won't be. `bytes` are those of its request and its
  // own.
  void Release(Id id, std::size_t bytes);

  // Whether the connection is open.
  bool Contains(Id id) const { return m_connections.contains(id); }
  // Whether a request of the connection waits for its response, or for the rest
  // of it to be sent.
  bool OwesResponse(Id id) const;
  // Whether the connection has to end with its next response.
  bool EndsWithResponse(Id id) const;
  // Whether a part of a request has come.
  bool HasPartOfRequest(Id id) const;
  const ConnectionUsage& Usage() const { return m_usage; }

 private:
  enum class State : std::uint8_t {
    kIdle,
    kReceives,  // A part of a request has come; none is being handled.
    kHandles,
    kEnds,      // As kHandles, and ends with the response.
    kResponds,  // Responses are being sent, and nothing else.
  };
  using List = std::list<Id>;

  struct Connection {
    State state = State::kIdle;
    List::iterator position;    // In the list of its state.
    std::uint64_t entered = 0;  // Orders the entries of two lists.
    std::size_t received = 0;   // Of the request that is incomplete.
    std::size_t requests = 0;   // Not released yet.
    std::size_t responses = 0;  // Being sent.
    bool ends_with_response = false;
  };

  List& ListOf(State state) { return m_lists[static_cast<std::size_t>(state)]; }
  const List& ListOf(State state) const {
    return m_lists[static_cast<std::size_t>(state)];
  }
  void UpdateState(Connection& connection);
  // Whether another connection has room beside those that end by themselves.
  bool HasRoom() const;
  // How many connections may end with their response while others take their
  // places.
  std::size_t MaxEnding() const;
  // Closes a connection, or lets one end. Returns false if none can go.
  bool MakeRoom();
  // The first connection of those states that is in its state longest, or
  // nothing.
  std::optional<Id> FindOldest(std::initializer_list<State> states) const;
  void Drop(Id id, CloseReason reason);
  void CountClosed(CloseReason reason);

  ConnectionLimits m_limits;
  Close m_close;
  ConnectionUsage m_usage;
  std::size_t m_ending = 0;  // Connections that end with their response.
  std::unordered_map<Id, Connection> m_connections;
  // Connections by state; the one that is in it longest comes first.
  std::array<List, 5> m_lists;
  Id m_last_id = 0;
  std::uint64_t m_last_entry = 0;
};

}  // namespace cassiastile::wire
