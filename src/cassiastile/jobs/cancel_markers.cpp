#include "cassiastile/jobs/cancel_markers.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <stdexcept>

#include <fmt/format.h>
#include <msgpack.hpp>

#include "cassiastile/base/bounded_unpack.hpp"

namespace cassiastile::jobs {

namespace {

// Incremented when older programs can't read the new layout.
constexpr std::uint8_t kLayout = 1;
// What a marker takes in a row beside its texts, at most.
constexpr std::size_t kMarkerOverhead = 16;
// A cancel that is repeated within this part of the time renews nothing.
constexpr int kRenewAfterPart = 8;

// Leaves room for the rows of all leaders to come.
constexpr std::uint64_t kMaxRowNumber = std::uint64_t{1} << 62U;

struct PackedMarker {
  std::string id;
  std::string customer;
  std::int64_t cancelled_ms = 0;

  MSGPACK_DEFINE(id, customer, cancelled_ms)
};

struct PackedRow {
  std::uint8_t layout = kLayout;
  std::vector<PackedMarker> markers;

  MSGPACK_DEFINE(layout, markers)
};

// Keys of rows sort by their numbers.
std::string RowKey(std::uint64_t number) {
  return fmt::format("{:016x}", number);
}

std::optional<std::uint64_t> NumberOf(const std::string& row_key) {
  constexpr int kHexadecimal = 16;
  std::uint64_t number = 0;
  const char* end = row_key.data() + row_key.size();
  const auto read = std::from_chars(row_key.data(), end, number, kHexadecimal);
  const bool is_number = read.ec == std::errc() && read.ptr == end &&
                         number > 0 && number < kMaxRowNumber;
  return is_number ? std::optional(number) : std::nullopt;
}

std::size_t BytesOf(const CancelMarkers::Key& key) {
  return key.first.size() + key.second.size() + kMarkerOverhead;
}

}  // namespace

CancelMarkers::CancelMarkers(CancelMarkerOptions options)
    : m_options(options) {}

CancelMarkers::Markers::iterator CancelMarkers::Insert(Key key) {
  const auto [found, is_new] = m_markers.try_emplace(std::move(key));
  if (is_new) {
    ++m_count_of_customer[found->first.second];
  }
  return found;
}

CancelMarkers::Verdict CancelMarkers::Add(const std::string& id,
                                          const std::string& customer,
                                          std::chrono::milliseconds now) {
  auto found = m_markers.find({id, customer});
  if (found == m_markers.end()) {
    const auto count = m_count_of_customer.find(customer);
    if (m_markers.size() >= m_options.max_markers ||
        (count != m_count_of_customer.end() &&
         count->second >= m_options.max_of_customer)) {
      return Verdict::kFull;
    }
    found = Insert({id, customer});
  } else if (!found->second.stored) {
    return Verdict::kUnstored;
  } else if (now - found->second.cancelled_at <
             m_options.keep / kRenewAfterPart) {
    return Verdict::kStored;
  }
  found->second.cancelled_at = now;
  found->second.stored = false;
  m_untaken.push_back(found);
  return Verdict::kNew;
}

bool CancelMarkers::Covers(std::string_view id,
                           std::string_view customer) const {
  if (m_markers.empty()) {
    return false;
  }
  auto marker = m_markers.lower_bound({std::string(id), ""});
  for (; marker != m_markers.end() && marker->first.first == id; ++marker) {
    const std::string& canceller = marker->first.second;
    if (canceller.empty() || customer.empty() || canceller == customer) {
      return true;
    }
  }
  return false;
}

bool CancelMarkers::IsExpired(const Row& row,
                              std::chrono::milliseconds now) const {
  return now - row.newest > m_options.keep;
}

bool CancelMarkers::HasRows(std::chrono::milliseconds now) const {
  return !m_untaken.empty() ||
         (!m_rows.empty() && IsExpired(m_rows.begin()->second, now));
}

void CancelMarkers::DeleteExpired(std::chrono::milliseconds now, Batch& batch) {
  while (!m_rows.empty() && batch.rows.size() < m_options.max_rows_of_batch &&
         IsExpired(m_rows.begin()->second, now)) {
    const auto& [number, row] = *m_rows.begin();
    batch.rows.emplace_back(RowKey(number), std::nullopt);
    for (const auto& marker : row.markers) {
      // Otherwise it was cancelled again.
      if (marker->second.row == number && marker->second.stored) {
        const auto count = m_count_of_customer.find(marker->first.second);
        if (--count->second == 0) {
          m_count_of_customer.erase(count);
        }
        m_markers.erase(marker);
      }
    }
    m_rows.erase(m_rows.begin());
  }
}

CancelMarkers::Row& CancelMarkers::OpenRow(std::chrono::milliseconds now) {
  const auto last = m_rows.find(m_last_row);
  if (last != m_rows.end() && last->second.bytes < m_options.max_row_bytes &&
      now - last->second.begun_at < m_options.max_row_age) {
    return last->second;
  }
  Row& row = m_rows[++m_last_row];
  row.begun_at = now;
  row.newest = now;
  return row;
}

CancelMarkers::Batch CancelMarkers::TakeBatch(std::chrono::milliseconds now) {
  Batch batch;
  DeleteExpired(now, batch);
  std::map<std::uint64_t, const Row*> changed;
  while (!m_untaken.empty()) {
    Row& row = OpenRow(now);
    if (changed.size() == m_options.max_rows_of_batch &&
        !changed.contains(m_last_row)) {
      break;
    }
    changed.emplace(m_last_row, &row);
    const Markers::iterator marker = m_untaken.front();
    m_untaken.pop_front();
    if (marker->second.row != m_last_row) {
      marker->second.row = m_last_row;
      row.bytes += BytesOf(marker->first);
      row.markers.push_back(marker);
    }
    row.newest = std::max(row.newest, marker->second.cancelled_at);
    batch.markers.push_back(marker->first);
  }
  for (const auto& [number, row] : changed) {
    batch.rows.emplace_back(RowKey(number), Encode(*row));
  }
  return batch;
}

void CancelMarkers::Confirm(const Batch& batch) {
  for (const Key& key : batch.markers) {
    const auto found = m_markers.find(key);
    if (found != m_markers.end()) {
      found->second.stored = true;
    }
  }
}

std::string CancelMarkers::Encode(const Row& row) {
  PackedRow packed;
  packed.markers.reserve(row.markers.size());
  for (const auto& marker : row.markers) {
    packed.markers.push_back({marker->first.first, marker->first.second,
                              marker->second.cancelled_at.count()});
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, packed);
  return {buffer.data(), buffer.size()};
}

base::Result<void> CancelMarkers::Recover(const std::string& row_key,
                                          const std::string& bytes,
                                          std::chrono::milliseconds now) {
  try {
    const auto number = NumberOf(row_key);
    const auto packed = base::UnpackBounded(bytes).get().as<PackedRow>();
    if (!number || packed.layout != kLayout) {
      throw std::invalid_argument("unknown key or layout");
    }
    m_last_row = std::max(m_last_row, *number);
    Row& row = m_rows[*number];
    row.bytes = m_options.max_row_bytes;
    for (const PackedMarker& each : packed.markers) {
      const auto cancelled_at =
          std::min(std::chrono::milliseconds(each.cancelled_ms), now);
      row.newest = std::max(row.newest, cancelled_at);
      const auto marker = Insert({each.id, each.customer});
      if (marker->second.row < *number) {
        row.markers.push_back(marker);
        marker->second = {
            .cancelled_at = cancelled_at, .row = *number, .stored = true};
      }
    }
    return {};
  } catch (const std::exception& error) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        fmt::format("cancel markers {}: {}", row_key, error.what()));
  }
}

}  // namespace cassiastile::jobs
