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

// A request over TCP to another member, made when the table can't be read, for
// the text of a configuration version and the member list.
struct PeerRequest {
  std::uint64_t version = 0;
  std::string nonce;  // Copied into the reply to match it to the request.
};

// The reply to a PeerRequest.
struct PeerReply {
  std::uint64_t version = 0;       // Zero if the peer doesn't have the version.
  std::string text;                // The document of that version.
  std::vector<MemberRecord> list;  // The peer's member list.
  std::string nonce;               // That of the request.
};

// Encode and decode the frames of a connection. A frame is an HMAC-SHA256 with
// the fleet's secret, followed by a cereal portable binary archive and, in a
// reply, the document text. Decoding never throws; it fails with kDenied if the
// HMAC doesn't match, and with kInvalid if the frame can't be decoded.
std::string EncodeRequest(const PeerRequest& request, std::string_view secret);
std::string EncodeReply(const PeerReply& reply, std::string_view secret);
base::Result<PeerRequest> DecodeRequest(std::string_view frame,
                                        std::string_view secret);
base::Result<PeerReply> DecodeReply(std::string_view frame,
                                    std::string_view secret);

// Makes the reply to a request; the server fills in the nonce. Called on the
// server's thread.
using PeerHandler = std::function<PeerReply(const PeerRequest&)>;

// Answers requests of other members on its own thread, one request per
// connection. A connection that isn't finished in two seconds is closed.
class PeerServer {
 public:
  // Port zero picks a free port. Fails with kUnavailable if the address can't
  // be bound.
  static base::Result<std::unique_ptr<PeerServer>> Start(
      const std::string& address,
      std::uint16_t port,
      std::string secret,
      PeerHandler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // The port that the server listens on.
  std::uint16_t Port() const;

 private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

// Sends a request to a peer at IP:PORT and waits for the reply, no longer than
// `timeout`. Fails with kInvalid if there was no complete reply or the address
// is wrong, and with kDenied if the reply isn't authentic or answers another
// request.
base::Result<PeerReply> AskPeer(const std::string& address,
                                const PeerRequest& request,
                                std::string_view secret,
                                std::chrono::milliseconds timeout);

// A parsed IP:PORT.
struct IpPort {
  std::string ip;
  std::uint16_t port = 0;
};

// Parses IP:PORT; fails with kInvalid. Doesn't check the IP part.
base::Result<IpPort> ParseIpPort(const std::string& text);

}  // namespace cassiastile::member
