#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"
#include "cassiastile/jobs/fleet_config.hpp"
#include "cassiastile/jobs/scheduler.hpp"
#include "cassiastile/jobs/worker_view.hpp"

// Interfaces to everything outside a host. The platform adapter implements
// them, and tests use fakes. Each completion runs once on the host's loop,
// never within the call itself. A Result fails with kUnavailable if the service
// gave no answer or refused the call, and with kInvalid for an answer that
// can't be decoded.
namespace cassiastile::host {

// A row of the platform's transactional table store.
struct Row {
  std::string table;
  std::string part;  // Partition of the table; may be empty.
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // Of the transaction that wrote it.
  bool deleted = false;       // Set only in feeds.
};

// A row's version that a transaction requires.
struct RowExpectation {
  std::string table;
  std::string part;
  std::string key;
  std::uint64_t version = 0;  // 0: the row must not exist.
};

// Writes that are applied together, or not at all if an expectation fails.
struct RowTransaction {
  std::vector<RowExpectation> expect;
  std::vector<Row> puts;     // Versions are ignored.
  std::vector<Row> deletes;  // Values and versions are ignored.
};

// Outcome of a transaction.
struct TransactionReply {
  enum class Outcome : std::uint8_t {
    kApplied,
    kConflict,    // An expectation failed; nothing was written.
    kNotApplied,  // Not sent, or turned away for now; nothing was written.
    kBusy,        // The part has too much to do; nothing was written.
    kRefused,     // Never accepted as it is; nothing was written.
    kUnknown,     // No answer; it may still be applied later.
  };
  Outcome outcome = Outcome::kUnknown;
  std::uint64_t version = 0;         // Of the applied transaction.
  std::vector<Row> current;          // On conflict: the expected rows now.
  std::chrono::milliseconds now{0};  // The store's steady clock.
};

// One page of a read.
struct RowPage {
  std::vector<Row> rows;
  bool has_more = false;
  std::uint64_t version = 0;         // Newest in the store at the read.
  std::chrono::milliseconds now{0};  // The store's steady clock.
};

// Changes since a version.
struct FeedPage {
  std::vector<Row> rows;
  std::uint64_t version = 0;       // From which to continue the feed.
  bool history_compacted = false;  // History is gone; read the table again.
};

// Timeout of reads whose caller has no deadline of its own.
inline constexpr std::chrono::milliseconds kReadTimeout{1500};

// The platform's transactional table store.
class RowStore {
 public:
  virtual ~RowStore() = default;
  // Applies a transaction; kUnknown if there is no answer within the timeout.
  virtual void Commit(RowTransaction transaction,
                      std::chrono::milliseconds timeout,
                      std::function<void(TransactionReply)> done) = 0;
  // Reads one page of a part, from the key `from` on, in key order.
  virtual void Read(std::string table,
                    std::string part,
                    std::string from,
                    std::chrono::milliseconds timeout,
                    std::function<void(base::Result<RowPage>)> done) = 0;
  // Returns the changes of a table after a version; waits up to `wait` for the
  // first one.
  virtual void Feed(std::string table,
                    std::uint64_t after,
                    std::chrono::milliseconds wait,
                    std::function<void(base::Result<FeedPage>)> done) = 0;
};

// Reads all pages of a part; `done` runs once, with the rows or the first
// error. The result has the first page's version, so that a feed from there
// misses no change made during the read. `store` must outlive the read.
void ReadAllRows(RowStore& store,
                 const std::string& table,
                 const std::string& part,
                 std::function<void(base::Result<RowPage>)> done);

// Address of one incarnation of a worker.
struct WorkerAddress {
  jobs::WorkerId id;
  std::string endpoint;
  std::string availability_zone;
};

// Extends a worker's lease and asks for its report.
struct LeaseExtension {
  std::uint64_t fence = 0;
  // Ends up to this sequence number are stored, so the worker can drop them.
  std::uint64_t acknowledged_end = 0;
  // The lease's new end on the worker's clock; empty to get the report only.
  std::optional<std::chrono::milliseconds> until;
  // How long the worker may delay its answer; it answers early when a run ends.
  std::chrono::milliseconds wait{0};
  // Uses a new connection, since a reused one may have stopped carrying data.
  bool fresh_connection = false;
};

// Why a worker gave no report.
struct WorkerCallFailure {
  bool refused = false;  // No process listens there.
  bool fenced = false;   // The worker has seen a higher fencing token.
  bool other_incarnation = false;
  std::string message;
};

// What became of a start.
struct StartAnswer {
  jobs::StartResult result = jobs::StartResult::kUnknown;
  // The worker's clock when it answered; empty if it told none.
  std::optional<std::chrono::milliseconds> clock{};
};

// Calls to workers. Each carries the leader's fencing token; a worker rejects
// tokens below the highest that it has seen.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  // Extends the worker's lease; `done` gets its report.
  virtual void Extend(
      const WorkerAddress& worker,
      const LeaseExtension& extension,
      std::function<void(tl::expected<jobs::WorkerReport, WorkerCallFailure>)>
          done) = 0;
  // Starts a run and extends the lease to `until` on the worker's clock.
  virtual void Start(const WorkerAddress& worker,
                     const jobs::StartOrder& order,
                     std::uint64_t fence,
                     std::chrono::milliseconds until,
                     std::function<void(const StartAnswer&)> done) = 0;
  // Stops a run. `done` gets true if the worker answered: the run ends, and it
  // can't start any more.
  virtual void Stop(const WorkerAddress& worker,
                    const jobs::StopOrder& order,
                    std::uint64_t fence,
                    std::function<void(bool)> done) = 0;
  // Throttles a run to a percentage of its full speed. `done` gets whether the
  // worker answered.
  virtual void Pace(const WorkerAddress& worker,
                    const jobs::PaceOrder& order,
                    std::uint64_t fence,
                    std::function<void(bool)> done) = 0;
};

enum class MachineState : std::uint8_t {
  kUp,
  kMoving,
  kMaintenance,
  kDown,
  kUnknown,  // Not one of these; says nothing about its worker.
};

// A machine; it runs one incarnation of a worker at a time.
struct Machine {
  std::string name;
  std::string pool;  // Service whose worker it runs.
  MachineState state = MachineState::kDown;
  std::string worker;  // Id; empty if it runs none.
  jobs::Resources capacity;
  std::string availability_zone;
};

// Outcome of an order for a machine. The numbers are written to the log.
enum class MachineOrderResult : std::uint8_t {
  kAccepted,
  kRefused,  // Busy or not allowed; nothing was done.
  kUnknown,  // May have been carried out, or still be.
};

// The leader on whose behalf machine orders are given.
struct OrderAuthority {
  std::string leader;
  std::uint64_t fence = 0;  // The term's fencing token.
};

// The platform's machine service.
class MachinePort {
 public:
  virtual ~MachinePort() = default;
  virtual void List(
      std::function<void(base::Result<std::vector<Machine>>)> done) = 0;
  // Moves a machine to another pool; this ends its worker.
  virtual void Move(const std::string& machine,
                    const std::string& pool,
                    const OrderAuthority& authority,
                    std::function<void(MachineOrderResult)> done) = 0;
  // Starts a machine's maintenance for a wave; this ends its worker. The order
  // may be repeated: a machine is maintained once per wave.
  virtual void Maintain(const std::string& machine,
                        std::uint64_t wave,
                        const OrderAuthority& authority,
                        std::function<void(MachineOrderResult)> done) = 0;
};

// Placements that the placement advisor allows, and how long they are valid.
struct AdviceReply {
  // Worker id and ticket.
  std::vector<std::pair<std::string, std::string>> allowed;
  std::chrono::milliseconds validity{0};
};

// The placement advisor.
class AdvicePort {
 public:
  virtual ~AdvicePort() = default;
  // Asks on which workers a step may be placed.
  virtual void Advise(const jobs::AdviceRequest& request,
                      std::function<void(base::Result<AdviceReply>)> done) = 0;
};

// A maintenance wave as requested by the operators.
struct WaveRequest {
  std::uint64_t wave = 0;
  std::vector<std::string> machines;
  // Time for the whole wave; a leader counts it from when it first sees the
  // request.
  std::chrono::seconds time_limit{0};
  std::uint32_t max_down = 1;  // Machines in maintenance at once.
};

}  // namespace cassiastile::host
