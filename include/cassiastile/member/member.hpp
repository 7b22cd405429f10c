#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"
#include "cassiastile/config/fleet_source.hpp"
#include "cassiastile/member/edit_quorum.hpp"
#include "cassiastile/member/membership.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::member {

// Identity, addresses and peers of this process as a member.
struct MemberOptions {
  std::string name;
  MemberRole role = MemberRole::kEntry;
  std::string zone;
  std::uint64_t incarnation = 0;  // Must increase with each process start.
  std::string listen_address = "127.0.0.1";
  std::uint16_t port = 0;          // UDP and TCP; 0 picks a free port.
  std::vector<std::string> peers;  // IP:PORT of members to contact first.
  std::string fleet_secret;        // Key that authenticates all messages.
  std::string http_address;        // IP:PORT of this process's HTTP endpoint.
  MembershipTimes times;
};

// A snapshot of a member's state for its status page.
struct MemberStatus {
  ConfigHead head;             // The newest version known.
  std::uint64_t in_force = 0;  // The version that this process acts on.
  bool fresh = false;          // Whether it may act on that version now.
  bool reaches_store = false;  // Whether the last read of the table succeeded.
  bool superseded = false;     // Whether a later incarnation has been seen.
  std::vector<MemberView> members;
  PacketFaultCounts faults{};
};

// A process's membership in the fleet: exchanges datagrams with the other
// members, follows the configuration and holds the version in force. Runs three
// threads: one for datagrams, one for reading the table and one for answering
// other members' requests for configuration.
class Member final : public config::FleetSource, public EditQuorum {
 public:
  // The table and the clock must outlive the member. The table should be a
  // platform::StoreGuard. Fails with kUnavailable if the addresses can't be
  // bound.
  static base::Result<std::unique_ptr<Member>> Create(MemberOptions options,
                                                      platform::Table& table,
                                                      const base::Clock& clock);
  ~Member() override;
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Starts the threads for datagrams and for the table; requests of other
  // members over TCP are answered from Create on.
  void Start();
  // Stops all threads.
  void Stop();

  // IP:PORT for datagrams and for peer requests.
  std::string Address() const;

  std::shared_ptr<const config::AcceptedFleet> Current() const override;
  bool IsFresh(base::TimePoint now) const override;

  base::Result<void> Prepare(std::uint64_t version, std::uint64_t id) override;
  void AbortPrepare() override;
  void Announce(const ConfigHead& head, base::TimePoint started) override;
  InForceResult WaitUntilInForce(std::uint64_t version) override;

  MemberStatus Status() const;
  // NAME#INCARNATION, unique to this process.
  std::string OwnerId() const;
  // The owner ids of the control processes, this one included, that are not
  // considered dead.
  std::vector<std::string> LiveControlOwners() const;
  // Sets the number of owned shards that other members are told.
  void SetShardCount(std::uint16_t shards);
  // Replaces the seed addresses, IP:PORT, when the host list changes.
  void SetSeeds(std::vector<std::string> seeds);

 private:
  class Impl;
  explicit Member(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cassiastile::member
