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

struct MemberOptions {
  std::string name;
  MemberRole role = MemberRole::kEntry;
  std::string zone;
  std::uint64_t incarnation = 0;  // Must grow with each start of the process.
  std::string listen_address = "127.0.0.1";
  std::uint16_t port = 0;          // UDP and TCP; 0 takes a free one.
  std::vector<std::string> peers;  // IP:PORT
  std::string fleet_secret;
  std::string http_address;  // IP:PORT
  MembershipTimes times;
};

// What a member's status page shows.
struct MemberStatus {
  ConfigHead head;
  std::uint64_t in_force = 0;
  bool fresh = false;
  bool reaches_store = false;
  bool refused = false;
  std::vector<MemberView> members;
  PacketFaultCounts faults{};
};

// A process's membership of the fleet: exchanges datagrams with the other
// members, follows the configuration and holds what is in force. Has a thread
// for datagrams, one for the table and one for peers' pulls.
class Member final : public config::FleetSource, public EditQuorum {
 public:
  // The table, which should be the guarded one, and the clock outlive the
  // member. Fails when the addresses can't be bound.
  static base::Result<std::unique_ptr<Member>> Create(MemberOptions options,
                                                      platform::Table& table,
                                                      const base::Clock& clock);
  ~Member() override;
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  void Start();
  void Stop();

  // The address for datagrams and pulls, IP:PORT.
  std::string Address() const;

  std::shared_ptr<const config::AcceptedFleet> Current() const override;
  bool IsFresh(base::TimePoint now) const override;

  base::Result<void> Prepare(std::uint64_t version, std::uint64_t id) override;
  void AbortPrepare() override;
  void Announce(const ConfigHead& head, base::TimePoint started) override;
  Wait WaitUntilInForce(std::uint64_t version) override;

  MemberStatus Status() const;
  // Name and incarnation, which no two processes share.
  std::string OwnerId() const;
  // The owner ids of the control processes not taken for dead, this one
  // included.
  std::vector<std::string> LiveControlOwners() const;
  void SetShards(std::uint16_t shards);
  // Replaces the seeds, as the host list changes.
  void SetSeeds(std::vector<std::string> seeds);

 private:
  class Impl;
  explicit Member(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cassiastile::member
