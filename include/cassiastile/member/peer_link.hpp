#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/member/message.hpp"

namespace cassiastile::member {

// What a member asks of another over TCP when it can't read the table: the text
// of a version and the last list of members.
struct PeerRequest {
  std::uint64_t version = 0;
  std::string nonce;  // Ties the answer to the request.
};

struct PeerReply {
  std::uint64_t version = 0;  // Zero when the version asked for is not held.
  std::string text;
  std::vector<MemberRecord> list;
  std::string nonce;
};

// The frames of the link: cereal's portable archive behind a seal of the
// fleet's secret. Reading never throws.
std::string EncodeRequest(const PeerRequest& request, std::string_view secret);
std::string EncodeReply(const PeerReply& reply, std::string_view secret);
base::Result<PeerRequest> DecodeRequest(std::string_view frame,
                                        std::string_view secret);
base::Result<PeerReply> DecodeReply(std::string_view frame,
                                    std::string_view secret);

using PeerHandler = std::function<PeerReply(const PeerRequest&)>;

// Answers peers, one request on each connection. A connection that stays
// silent is closed.
class PeerServer {
 public:
  // Takes a free port when given zero. Fails when the address can't be bound.
  static base::Result<std::unique_ptr<PeerServer>> Start(
      const std::string& address,
      std::uint16_t port,
      std::string secret,
      PeerHandler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  std::uint16_t Port() const;

 private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

// Asks a peer at IP:PORT and waits for its answer.
base::Result<PeerReply> AskPeer(const std::string& address,
                                const PeerRequest& request,
                                std::string_view secret,
                                std::chrono::milliseconds timeout);

// An IP:PORT taken apart.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
};

base::Result<SocketAddress> ParseAddress(const std::string& text);

}  // namespace cassiastile::member
