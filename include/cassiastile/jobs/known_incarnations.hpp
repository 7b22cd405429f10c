#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/error.hpp"

namespace cassiastile::jobs {

// Which incarnation of each worker leaders have heard, whether it drains, and
// how far leases may reach that were meant for a former one. Stored, since a
// call for a former incarnation may be carried out by the next one after the
// leader that sent it is gone.
class KnownIncarnations {
 public:
  struct Known {
    std::int64_t incarnation_ms = 0;
    std::int64_t former_ms = 0;  // The incarnation before; zero if unknown.
    // By the store's clock: until when such a lease may last.
    std::chrono::milliseconds former_lease_end{0};
    bool heard = false;  // By this leader; else by an earlier one.
    // It has said that it is about to leave, which holds to its end.
    bool drains = false;
    // Since when the scheduler doesn't know the worker; zero if it does.
    base::TimePoint unknown_since{};
  };

  // The newest incarnation that was heard, or null.
  const Known* Find(const std::string& worker) const;
  // This leader has heard an incarnation.
  void Heard(const std::string& worker,
             std::int64_t incarnation_ms,
             std::chrono::milliseconds former_lease_end);
  // The worker's entry says that this incarnation drains. Noted only of one
  // that was heard.
  void Drains(const std::string& worker, std::int64_t incarnation_ms);
  // Whether this was noted, also by an earlier leader.
  bool IsDraining(const std::string& worker, std::int64_t incarnation_ms) const;
  // Forgets workers that have been unknown for longer than `keep`.
  void ForgetUnknown(const std::function<bool(const std::string&)>& is_known,
                     base::Duration keep,
                     base::TimePoint now);

  // Rows hold many workers each, so that there are few of them.
  static constexpr std::size_t kRows = 16;
  // Takes the rows that have changed, as keys and values. They must be stored
  // no later than anything that rests on what was heard.
  std::vector<std::pair<std::string, std::string>> TakeRows();
  // Adds what earlier leaders have stored. Fails with kInvalid for bytes that
  // can't be decoded.
  base::Result<void> Recover(const std::string& row_key,
                             const std::string& bytes);

 private:
  // In the order of their ids, so that a row's bytes depend on its contents
  // only.
  using KnownByWorker = std::map<std::string, Known>;
  struct Row {
    KnownByWorker known;
    bool changed = false;
  };

  static std::size_t RowOf(const std::string& worker);

  std::array<Row, kRows> m_rows;
};

}  // namespace cassiastile::jobs
