#include "cassiastile/jobs/known_incarnations.hpp"

#include <iterator>
#include <stdexcept>

#include <fmt/format.h>
#include <boost/crc.hpp>
#include <msgpack.hpp>

#include "cassiastile/base/bounded_unpack.hpp"

namespace cassiastile::jobs {

namespace {

// Incremented when older programs can't read the new layout.
constexpr std::uint8_t kLayout = 1;

struct PackedKnown {
  std::string worker;
  std::int64_t incarnation_ms = 0;
  std::int64_t former_lease_end_ms = 0;
  std::int64_t former_ms = 0;
  bool drains = false;  // Older programs neither write nor read it.

  MSGPACK_DEFINE(worker, incarnation_ms, former_lease_end_ms, former_ms, drains)
};

struct PackedRow {
  std::uint8_t layout = kLayout;
  std::vector<PackedKnown> known;

  MSGPACK_DEFINE(layout, known)
};

}  // namespace

std::size_t KnownIncarnations::RowOf(const std::string& worker) {
  boost::crc_32_type crc;
  crc.process_bytes(worker.data(), worker.size());
  return crc.checksum() % kRows;
}

const KnownIncarnations::Known* KnownIncarnations::Find(
    const std::string& worker) const {
  const KnownByWorker& known = m_rows[RowOf(worker)].known;
  const auto found = known.find(worker);
  return found == known.end() ? nullptr : &found->second;
}

void KnownIncarnations::Heard(const std::string& worker,
                              std::int64_t incarnation_ms,
                              std::chrono::milliseconds former_lease_end) {
  Row& row = m_rows[RowOf(worker)];
  Known& known = row.known[worker];
  const bool is_new = known.incarnation_ms != incarnation_ms;
  row.changed =
      row.changed || is_new || known.former_lease_end != former_lease_end;
  if (is_new) {
    known.former_ms = known.incarnation_ms;
    known.incarnation_ms = incarnation_ms;
    known.drains = false;
  }
  known.former_lease_end = former_lease_end;
  known.heard = true;
  known.unknown_since = {};
}

void KnownIncarnations::Drains(const std::string& worker,
                               std::int64_t incarnation_ms) {
  Row& row = m_rows[RowOf(worker)];
  const auto found = row.known.find(worker);
  if (found != row.known.end() &&
      found->second.incarnation_ms == incarnation_ms) {
    row.changed = row.changed || !found->second.drains;
    found->second.drains = true;
  }
}

bool KnownIncarnations::IsDraining(const std::string& worker,
                                   std::int64_t incarnation_ms) const {
  const Known* known = Find(worker);
  return known != nullptr && known->drains &&
         known->incarnation_ms == incarnation_ms;
}

void KnownIncarnations::ForgetUnknown(
    const std::function<bool(const std::string&)>& is_known,
    base::Duration keep,
    base::TimePoint now) {
  for (Row& row : m_rows) {
    for (auto each = row.known.begin(); each != row.known.end();) {
      Known& known = each->second;
      if (is_known(each->first)) {
        known.unknown_since = {};
      } else if (known.unknown_since == base::TimePoint{}) {
        known.unknown_since = now;
      }
      const bool is_over = known.unknown_since != base::TimePoint{} &&
                           now - known.unknown_since > keep;
      each = is_over ? row.known.erase(each) : std::next(each);
    }
  }
}

std::vector<std::pair<std::string, std::string>> KnownIncarnations::TakeRows() {
  std::vector<std::pair<std::string, std::string>> taken;
  for (std::size_t i = 0; i < kRows; ++i) {
    Row& row = m_rows[i];
    if (!row.changed) {
      continue;
    }
    row.changed = false;
    PackedRow packed;
    packed.known.reserve(row.known.size());
    for (const auto& [worker, known] : row.known) {
      packed.known.push_back({worker, known.incarnation_ms,
                              known.former_lease_end.count(), known.former_ms,
                              known.drains});
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, packed);
    taken.emplace_back(fmt::format("{:02x}", i),
                       std::string(buffer.data(), buffer.size()));
  }
  return taken;
}

base::Result<void> KnownIncarnations::Recover(const std::string& row_key,
                                              const std::string& bytes) {
  try {
    const auto packed = base::UnpackBounded(bytes).get().as<PackedRow>();
    if (packed.layout != kLayout) {
      throw std::invalid_argument("unknown layout");
    }
    for (const PackedKnown& each : packed.known) {
      m_rows[RowOf(each.worker)].known[each.worker] = {
          .incarnation_ms = each.incarnation_ms,
          .former_ms = each.former_ms,
          .former_lease_end =
              std::chrono::milliseconds(each.former_lease_end_ms),
          .drains = each.drains};
    }
    return {};
  } catch (const std::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        fmt::format("known incarnations {}: {}", row_key, error.what()));
  }
}

}  // namespace cassiastile::jobs
