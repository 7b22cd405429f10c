#include "counting_socket.hpp"

#include <string_view>

#include <sys/socket.h>

namespace cassiastile::wire {

namespace {

thread_local std::shared_ptr<ConnectionGate> t_gate_of_scope;

// The request was never passed on, so it has not run and never will.
constexpr std::string_view kTooLargeResponse =
    "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr std::string_view kOverloadResponse =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    "Retry-After: 1\r\nContent-Length: 0\r\n\r\n";

}  // namespace

ConnectionGate::SocketScope::SocketScope(std::shared_ptr<ConnectionGate> gate) {
  t_gate_of_scope = std::move(gate);
}

ConnectionGate::SocketScope::~SocketScope() {
  t_gate_of_scope = nullptr;
}

ConnectionGate::HeldRequest::HeldRequest(std::shared_ptr<ConnectionGate> gate,
                                         ConnectionTable::Id id,
                                         std::size_t bytes)
    : m_gate(std::move(gate)), m_id(id), m_bytes(bytes) {}

ConnectionGate::HeldRequest::~HeldRequest() {
  const std::scoped_lock lock(m_gate->m_mutex);
  m_gate->m_table.Release(m_id, m_bytes);
}

bool ConnectionGate::HeldRequest::BeginResponse(std::size_t bytes) {
  const std::scoped_lock lock(m_gate->m_mutex);
  m_gate->m_table.BeginResponse(m_id, bytes);
  m_bytes += bytes;
  return m_gate->m_table.EndsWithResponse(m_id);
}

ConnectionGate::ConnectionGate(ConnectionLimits limits)
    : m_table(limits, [this](ConnectionTable::Id id, CloseReason reason) {
        Close(id, reason);
      }) {}

std::shared_ptr<ConnectionGate> ConnectionGate::OfThisScope() {
  return t_gate_of_scope;
}

std::optional<ConnectionTable::Id> ConnectionGate::Open(
    CountingSocket& socket) {
  const std::scoped_lock lock(m_mutex);
  const auto id = m_table.Open();
  if (!id) {
    return std::nullopt;
  }
  asio::error_code error;
  const auto client = socket.remote_endpoint(error);
  m_entries[*id] = {&socket, client};
  if (!error) {
    m_by_client[client] = *id;
  }
  return id;
}

void ConnectionGate::Remove(ConnectionTable::Id id) {
  const std::scoped_lock lock(m_mutex);
  m_table.Remove(id);
  const auto entry = m_entries.extract(id);
  if (entry.empty()) {
    return;
  }
  const auto found = m_by_client.find(entry.mapped().client);
  if (found != m_by_client.end() && found->second == id) {
    m_by_client.erase(found);
  }
}

bool ConnectionGate::Receive(ConnectionTable::Id id, std::size_t bytes) {
  const std::scoped_lock lock(m_mutex);
  return m_table.Receive(id, bytes);
}

std::shared_ptr<ConnectionGate::HeldRequest> ConnectionGate::CompleteRequest(
    const std::shared_ptr<ConnectionGate>& gate,
    const asio::ip::tcp::endpoint& client) {
  const std::scoped_lock lock(gate->m_mutex);
  const auto found = gate->m_by_client.find(client);
  if (found == gate->m_by_client.end() ||
      !gate->m_table.Contains(found->second)) {
    return nullptr;
  }
  const ConnectionTable::Id id = found->second;
  return std::make_shared<HeldRequest>(gate, id,
                                       gate->m_table.CompleteRequest(id));
}

ConnectionUsage ConnectionGate::Usage() const {
  const std::scoped_lock lock(m_mutex);
  return m_table.Usage();
}

void ConnectionGate::Close(ConnectionTable::Id id, CloseReason reason) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) {
    found->second.socket->Refuse(
        reason, m_table.HasPartOfRequest(id) && !m_table.OwesResponse(id));
  }
}

void CountingSocket::Refuse(CloseReason reason, bool answers) {
  // The system calls leave asio's state of the socket alone, which another
  // thread may be using: a read that is pending ends, and its handler closes.
  if (answers) {
    const std::string_view response = reason == CloseReason::kTooLargeRequest
                                          ? kTooLargeResponse
                                          : kOverloadResponse;
    // A client that has no room for these few bytes gets none.
    ::send(native_handle(), response.data(), response.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  ::shutdown(native_handle(), SHUT_RDWR);
}

}  // namespace cassiastile::wire
