#include "cassiastile/jobs/worker_lives.hpp"

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

struct PackedLife {
  std::string worker;
  std::int64_t incarnation_ms = 0;
  std::int64_t former_lease_end_ms = 0;
  std::int64_t former_ms = 0;

  MSGPACK_DEFINE(worker, incarnation_ms, former_lease_end_ms, former_ms)
};

struct PackedRow {
  std::uint8_t layout = kLayout;
  std::vector<PackedLife> lives;

  MSGPACK_DEFINE(layout, lives)
};

}  // namespace

std::size_t WorkerLives::RowOf(const std::string& worker) {
  boost::crc_32_type crc;
  crc.process_bytes(worker.data(), worker.size());
  return crc.checksum() % kRows;
}

const WorkerLives::Life* WorkerLives::Find(const std::string& worker) const {
  const Lives& lives = m_rows[RowOf(worker)].lives;
  const auto found = lives.find(worker);
  return found == lives.end() ? nullptr : &found->second;
}

void WorkerLives::Heard(const std::string& worker,
                        std::int64_t incarnation_ms,
                        std::chrono::milliseconds former_lease_end) {
  Row& row = m_rows[RowOf(worker)];
  Life& life = row.lives[worker];
  const bool is_new = life.incarnation_ms != incarnation_ms;
  row.changed =
      row.changed || is_new || life.former_lease_end != former_lease_end;
  if (is_new) {
    life.former_ms = life.incarnation_ms;
    life.incarnation_ms = incarnation_ms;
  }
  life.former_lease_end = former_lease_end;
  life.heard = true;
  life.unknown_since = {};
}

void WorkerLives::ForgetUnknown(
    const std::function<bool(const std::string&)>& is_known,
    base::Duration keep,
    base::TimePoint now) {
  for (Row& row : m_rows) {
    for (auto each = row.lives.begin(); each != row.lives.end();) {
      Life& life = each->second;
      if (is_known(each->first)) {
        life.unknown_since = {};
      } else if (life.unknown_since == base::TimePoint{}) {
        life.unknown_since = now;
      }
      const bool is_over = life.unknown_since != base::TimePoint{} &&
                           now - life.unknown_since > keep;
      each = is_over ? row.lives.erase(each) : std::next(each);
    }
  }
}

std::vector<std::pair<std::string, std::string>> WorkerLives::TakeRows() {
  std::vector<std::pair<std::string, std::string>> taken;
  for (std::size_t i = 0; i < kRows; ++i) {
    Row& row = m_rows[i];
    if (!row.changed) {
      continue;
    }
    row.changed = false;
    PackedRow packed;
    packed.lives.reserve(row.lives.size());
    for (const auto& [worker, life] : row.lives) {
      packed.lives.push_back({worker, life.incarnation_ms,
                              life.former_lease_end.count(), life.former_ms});
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, packed);
    taken.emplace_back(fmt::format("{:02x}", i),
                       std::string(buffer.data(), buffer.size()));
  }
  return taken;
}

base::Result<void> WorkerLives::Recover(const std::string& row_key,
                                        const std::string& bytes) {
  try {
    const auto packed = base::UnpackBounded(bytes).get().as<PackedRow>();
    if (packed.layout != kLayout) {
      throw std::invalid_argument("unknown layout");
    }
    for (const PackedLife& each : packed.lives) {
      m_rows[RowOf(each.worker)].lives[each.worker] = {
          .incarnation_ms = each.incarnation_ms,
          .former_ms = each.former_ms,
          .former_lease_end =
              std::chrono::milliseconds(each.former_lease_end_ms)};
    }
    return {};
  } catch (const std::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        fmt::format("worker lives {}: {}", row_key, error.what()));
  }
}

}  // namespace cassiastile::jobs
