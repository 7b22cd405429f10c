#include "cassiastile/wire/connection_table.hpp"

#include <algorithm>
#include <utility>

namespace cassiastile::wire {

namespace {

// The part of all connections that may wait for their last response while
// others take their places.
constexpr std::size_t kEndingPart = 8;

}  // namespace

ConnectionTable::ConnectionTable(ConnectionLimits limits, Close close)
    : m_limits(limits), m_close(std::move(close)) {}

std::optional<ConnectionTable::Id> ConnectionTable::Open() {
  if (!HasRoom() && !MakeRoom()) {
    CountClosed(CloseReason::kTooManyConnections);
    return std::nullopt;
  }
  const Id id = ++m_last_id;
  Connection& connection = m_connections[id];
  List& idle = ListOf(State::kIdle);
  connection.position = idle.insert(idle.end(), id);
  connection.entered = ++m_last_entry;
  m_usage.connections = m_connections.size();
  return id;
}

bool ConnectionTable::HasRoom() const {
  return m_connections.size() - m_ending + MaxEnding() <
         m_limits.max_connections;
}

std::size_t ConnectionTable::MaxEnding() const {
  return std::min(m_limits.max_connections / kEndingPart + 1,
                  m_limits.max_connections - 1);
}

bool ConnectionTable::MakeRoom() {
  const auto waiting =
      FindOldest({State::kIdle, State::kReceives, State::kResponds});
  const auto handling = FindOldest({State::kHandles});
  const bool may_end = handling && m_ending < MaxEnding();
  if (may_end && (!waiting || m_connections.at(*handling).entered <
                                  m_connections.at(*waiting).entered)) {
    Connection& connection = m_connections.at(*handling);
    connection.ends_with_response = true;
    ++m_ending;
    List& ending = ListOf(State::kEnds);
    ending.splice(ending.end(), ListOf(connection.state), connection.position);
    connection.state = State::kEnds;
    CountClosed(CloseReason::kTooManyConnections);
    return true;
  }
  if (!waiting) {
    return false;
  }
  Drop(*waiting, CloseReason::kTooManyConnections);
  return true;
}

void ConnectionTable::Remove(Id id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  m_usage.held_bytes -= found->second.received;
  m_ending -= found->second.ends_with_response ? 1 : 0;
  ListOf(found->second.state).erase(found->second.position);
  m_connections.erase(found);
  m_usage.connections = m_connections.size();
}

bool ConnectionTable::Receive(Id id, std::size_t bytes) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return false;
  }
  Connection& connection = found->second;
  connection.received += bytes;
  m_usage.held_bytes += bytes;
  UpdateState(connection);
  if (connection.received > m_limits.max_request_bytes) {
    Drop(id, CloseReason::kTooLargeRequest);
    return false;
  }
  const List& receiving = ListOf(State::kReceives);
  while (m_usage.held_bytes > m_limits.max_held_bytes) {
    if (!receiving.empty() && receiving.front() != id) {
      Drop(receiving.front(), CloseReason::kTooManyBytesHeld);
      continue;
    }
    const List& responding = ListOf(State::kResponds);
    if (responding.empty()) {
      Drop(id, CloseReason::kTooManyBytesHeld);
      return false;
    }
    // Its response is released as soon as the loop gets to it.
    Drop(responding.front(), CloseReason::kTooManyBytesHeld);
    return true;
  }
  return true;
}

std::size_t ConnectionTable::CompleteRequest(Id id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return 0;
  }
  const std::size_t bytes = std::exchange(found->second.received, 0);
  ++found->second.requests;
  UpdateState(found->second);
  return bytes;
}

void ConnectionTable::BeginResponse(Id id, std::size_t bytes) {
  m_usage.held_bytes += bytes;
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    ++found->second.responses;
    UpdateState(found->second);
  }
}

void ConnectionTable::Release(Id id, std::size_t bytes) {
  m_usage.held_bytes -= bytes;
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    Connection& connection = found->second;
    connection.requests -= std::min<std::size_t>(connection.requests, 1);
    connection.responses = std::min(connection.responses, connection.requests);
    UpdateState(connection);
  }
}

bool ConnectionTable::OwesResponse(Id id) const {
  const auto found = m_connections.find(id);
  return found != m_connections.end() && found->second.requests > 0;
}

bool ConnectionTable::EndsWithResponse(Id id) const {
  const auto found = m_connections.find(id);
  return found != m_connections.end() && found->second.ends_with_response;
}

bool ConnectionTable::HasPartOfRequest(Id id) const {
  const auto found = m_connections.find(id);
  return found != m_connections.end() && found->second.received > 0;
}

void ConnectionTable::UpdateState(Connection& connection) {
  State state = State::kIdle;
  if (connection.requests > connection.responses) {
    state = connection.ends_with_response ? State::kEnds : State::kHandles;
  } else if (connection.received > 0) {
    state = State::kReceives;
  } else if (connection.responses > 0) {
    state = State::kResponds;
  }
  if (state == connection.state) {
    return;
  }
  List& list = ListOf(state);
  list.splice(list.end(), ListOf(connection.state), connection.position);
  connection.state = state;
  connection.entered = ++m_last_entry;
}

std::optional<ConnectionTable::Id> ConnectionTable::FindOldest(
    std::initializer_list<State> states) const {
  std::optional<Id> oldest;
  for (const State state : states) {
    const List& list = ListOf(state);
    if (!list.empty() && (!oldest || m_connections.at(list.front()).entered <
                                         m_connections.at(*oldest).entered)) {
      oldest = list.front();
    }
  }
  return oldest;
}

void ConnectionTable::Drop(Id id, CloseReason reason) {
  CountClosed(reason);
  m_close(id, reason);
  Remove(id);
}

void ConnectionTable::CountClosed(CloseReason reason) {
  ++m_usage.closed[static_cast<std::size_t>(reason)];
}

}  // namespace cassiastile::wire
