#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"

namespace cassiastile::platform {

// A row of the platform's transactional table. The version counts the writes to
// the row, starting at 1, and keeps increasing when the row is deleted and
// created again.
struct Row {
  std::string key;  // Such as "task/push/6f1c"; a slash separates parts.
  std::string value;
  std::uint64_t version = 0;

  bool operator==(const Row&) const = default;
};

// The version that a row must have for a transaction to apply. Zero means that
// the row must not exist.
struct Precondition {
  std::string key;
  std::uint64_t version = 0;
};

// Sets a row, or deletes it if there is no value.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

// Applies all writes if every precondition holds, and none otherwise.
struct Transaction {
  // Unique id of the transaction. The table keeps the nonces of applied
  // transactions, so that a caller can look up the outcome after a lost answer,
  // and a repeated transaction applies once.
  std::string nonce;
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
};

// The position of an applied transaction in the total order of transactions.
struct Commit {
  std::uint64_t sequence = 0;
};

// The platform's transactional table service. Calls block until an answer or
// the implementation's own deadline. Thread-safe.
//
// Errors: kConflict, a precondition does not hold and nothing was written;
// kUnavailable, nothing was written; kUnknown, the answer was lost and the
// transaction may or may not have applied.
class Table {
 public:
  virtual ~Table() = default;

  // Returns the row, or nothing if it doesn't exist.
  virtual base::Result<std::optional<Row>> Get(const std::string& key) = 0;

  // Returns the rows whose keys start with `prefix` and sort after `after`, in
  // key order, at most `limit` of them.
  virtual base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                              const std::string& after,
                                              std::size_t limit) = 0;

  virtual base::Result<Commit> Apply(const Transaction& transaction) = 0;

  // Returns the commit of the transaction with this nonce, or nothing if it has
  // not applied. A transaction still in flight may apply after the answer, so a
  // caller that needs a final "no" first uses up the nonce by applying an empty
  // transaction under it; the delayed one then changes nothing.
  virtual base::Result<std::optional<Commit>> FindNonce(
      const std::string& nonce) = 0;
};

// Reads all rows under a prefix, page by page; the result is no snapshot.
base::Result<std::vector<Row>> ScanAll(Table& table, const std::string& prefix);

}  // namespace cassiastile::platform
