#include "cassiastile/config/fleet.hpp"

#include <algorithm>
#include <array>

#include "cassiastile/base/enum_names.hpp"
#include "cassiastile/base/hash.hpp"

namespace cassiastile::config {

namespace {

using base::EnumName;

constexpr std::array kSectionNames = {
    EnumName<SectionName>{SectionName::kOperators, "operators"},
    EnumName<SectionName>{SectionName::kOwnership, "ownership"},
    EnumName<SectionName>{SectionName::kZones, "zones"},
    EnumName<SectionName>{SectionName::kPools, "pools"},
    EnumName<SectionName>{SectionName::kServices, "services"},
    EnumName<SectionName>{SectionName::kQueues, "queues"},
    EnumName<SectionName>{SectionName::kTeams, "teams"},
    EnumName<SectionName>{SectionName::kKeys, "keys"},
    EnumName<SectionName>{SectionName::kShares, "shares"},
    EnumName<SectionName>{SectionName::kLimits, "limits"},
    EnumName<SectionName>{SectionName::kWaves, "waves"},
};

constexpr std::array kWaveOrderNames = {
    EnumName<WaveOrder>{WaveOrder::kLongestFreeFirst, "longest-free-first"},
    EnumName<WaveOrder>{WaveOrder::kAsListed, "as-listed"},
};

// Returns the first row whose member equals the text, or null.
template <typename Row>
const Row* FindRow(const std::vector<Row>& rows,
                   std::string Row::*member,
                   std::string_view text) {
  const auto found = std::find_if(
      rows.begin(), rows.end(),
      [member, text](const Row& row) { return row.*member == text; });
  return found == rows.end() ? nullptr : &*found;
}

// Returns the row with the digest, or null. Compares every row, so that the
// time taken doesn't reveal which one matched.
template <typename Row>
const Row* FindDigest(const std::vector<Row>& rows,
                      std::string Row::*member,
                      std::string_view digest) {
  const Row* found = nullptr;
  for (const Row& row : rows) {
    if (base::ConstantTimeEqual(row.*member, digest)) {
      found = &row;
    }
  }
  return found;
}

}  // namespace

std::string_view NameOf(SectionName name) {
  return base::FindName(kSectionNames, name);
}

std::optional<SectionName> FindSection(std::string_view name) {
  return base::FindValue(kSectionNames, name);
}

std::string_view NameOf(WaveOrder order) {
  return base::FindName(kWaveOrderNames, order);
}

std::optional<WaveOrder> FindWaveOrder(std::string_view name) {
  return base::FindValue(kWaveOrderNames, name);
}

const Pool* FindPool(const Fleet& fleet, std::string_view name) {
  return FindRow(fleet.pools, &Pool::name, name);
}

const Service* FindService(const Fleet& fleet, std::string_view name) {
  return FindRow(fleet.services, &Service::name, name);
}

const Queue* FindQueue(const Fleet& fleet, std::string_view name) {
  return FindRow(fleet.queues, &Queue::name, name);
}

const Limit* FindLimit(const Fleet& fleet, std::string_view team) {
  return FindRow(fleet.limits, &Limit::team, team);
}

const Share* FindShare(const Fleet& fleet, std::string_view team) {
  return FindRow(fleet.shares, &Share::team, team);
}

const Wave* FindWave(const Fleet& fleet, std::string_view name) {
  return FindRow(fleet.waves, &Wave::name, name);
}

const Key* FindKey(const Fleet& fleet, std::string_view secret) {
  return FindDigest(fleet.keys, &Key::sha256, base::Sha256Hex(secret));
}

const Operator* FindOperator(const Fleet& fleet, std::string_view secret) {
  return FindDigest(fleet.operators, &Operator::key_sha256,
                    base::Sha256Hex(secret));
}

}  // namespace cassiastile::config
