#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cassiastile/base/error.hpp"

namespace cassiastile::jobs {

// Bounds of CancelMarkers.
struct CancelMarkerOptions {
  // How long a marker is kept after the last cancel of its id. A submission
  // that is older than that must not reach the leader.
  std::chrono::milliseconds keep{120000};
  // 100 cancels a second, as many as there are submissions in a burst, need
  // 12,000.
  std::size_t max_markers = 16384;
  // One customer leaves room for the others.
  std::size_t max_of_customer = 4096;
  // A row is rewritten with new markers until it is this large or this old.
  // Larger rows are fewer, and more bytes are written again with each marker.
  std::size_t max_row_bytes = 2048;
  std::chrono::milliseconds max_row_age{2000};
  // In one batch, beside the rows of jobs. A batch deletes as many.
  std::size_t max_rows_of_batch = 4;
};

// Ids that were cancelled before a submission with them has arrived. Such a
// submission may be on its way, in a host that stands still or as a retry, and
// must not be accepted after the cancel was acknowledged. The markers are
// stored in rows that hold many of them. All times are of the store's clock,
// which goes on when the leader changes.
class CancelMarkers {
 public:
  // What a cancel finds.
  enum class Verdict : std::uint8_t {
    kNew,       // Takes effect once a batch that has it is stored.
    kUnstored,  // An earlier cancel waits for its batch.
    kStored,
    kFull,  // Nothing was noted, and nothing can be promised.
  };
  // The id of a job and the customer who cancelled it; an empty customer stands
  // for callers of an open queue.
  using Key = std::pair<std::string, std::string>;
  // Rows to write together, and the markers that these make durable.
  struct Batch {
    // A row without bytes is to be deleted.
    std::vector<std::pair<std::string, std::optional<std::string>>> rows;
    std::vector<Key> markers;
  };

  explicit CancelMarkers(CancelMarkerOptions options = {});

  // Notes that a customer cancels an id that no job has.
  Verdict Add(const std::string& id,
              const std::string& customer,
              std::chrono::milliseconds now);
  // Whether a submission by this customer was cancelled before it arrived. A
  // caller without a customer has access to all jobs, as for other requests.
  bool Covers(std::string_view id, std::string_view customer) const;
  // Whether there are rows to write or to delete.
  bool HasRows(std::chrono::milliseconds now) const;
  // Takes the rows to write next; Confirm must follow before the next call.
  Batch TakeBatch(std::chrono::milliseconds now);
  // The batch is stored.
  void Confirm(const Batch& batch);
  // Adds the markers of a row that an earlier leader stored. Times after `now`
  // count as now. Fails with kInvalid for a key or bytes that can't be decoded.
  base::Result<void> Recover(const std::string& row_key,
                             const std::string& bytes,
                             std::chrono::milliseconds now);

  std::size_t MarkerCount() const { return m_markers.size(); }
  std::size_t RowCount() const { return m_rows.size(); }

 private:
  struct Marker {
    std::chrono::milliseconds cancelled_at{0};
    std::uint64_t row = 0;  // The last that has it; zero for none yet.
    bool stored = false;    // With the time of the last cancel.
  };
  using Markers = std::map<Key, Marker>;
  struct Row {
    // The newest cancel in it. A marker that was cancelled again may have moved
    // to a later row.
    std::chrono::milliseconds newest{0};
    std::chrono::milliseconds begun_at{0};
    std::size_t bytes = 0;
    std::vector<Markers::iterator> markers;
  };

  Markers::iterator Insert(Key key);
  bool IsExpired(const Row& row, std::chrono::milliseconds now) const;
  void DeleteExpired(std::chrono::milliseconds now, Batch& batch);
  Row& OpenRow(std::chrono::milliseconds now);
  static std::string Encode(const Row& row);

  CancelMarkerOptions m_options;
  Markers m_markers;
  std::map<std::string, std::size_t> m_count_of_customer;
  std::map<std::uint64_t, Row> m_rows;  // By number, the oldest first.
  std::uint64_t m_last_row = 0;
  std::deque<Markers::iterator> m_untaken;
};

}  // namespace cassiastile::jobs
