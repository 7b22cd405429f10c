#include <cstdio>

#include "cassiastile/member/virtual_fleet.hpp"

// Runs seven hosts with two processes each in virtual time through the commit
// of a new version, an outage of the table and a network partition. Prints how
// many processes may act on team keys and how many have the newest version in
// force.
namespace {

using namespace cassiastile::member;

void Show(VirtualNetwork& network, const char* what) {
  int fresh = 0;
  int in_force = 0;
  for (const std::string& name : network.Names()) {
    const Membership& member = network.At(name);
    fresh += member.IsFresh(network.Now()) ? 1 : 0;
    in_force += member.InForce() == network.Store().head.version ? 1 : 0;
  }
  std::printf("%-34s fresh %2d of 14, newest in force %2d of 14\n", what, fresh,
              in_force);
}

}  // namespace

int main() {
  using std::chrono::seconds;
  VirtualNetwork network(1, {0.1, 0.05});
  AddFleet(network, {});
  CommitVersion(network, 1);
  network.Run(seconds(15));
  Show(network, "after start:");
  CommitVersion(network, 2);
  network.Run(seconds(2));
  Show(network, "two seconds after an edit:");
  network.Store().down = true;
  network.Run(seconds(30));
  Show(network, "in an outage of the table:");
  network.Partition({{"h00-0", 1}, {"h00-1", 1}, {"h01-0", 1}, {"h01-1", 1}});
  network.Run(seconds(3));
  Show(network, "two hosts cut off in the outage:");
  return 0;
}
