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

// What a host needs of the world around it. The adapter to the platform
// implements these; tests implement them by stand-ins. All completions run on
// the host's loop, once, never from within the call itself.
namespace cassiastile::host {

// A row of the platform's transactional table.
struct Row {
  std::string table;
  std::string part;
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // Of the transaction that wrote it.
  bool deleted = false;       // Only in feeds.
};

struct RowExpectation {
  std::string table;
  std::string part;
  std::string key;
  std::uint64_t version = 0;  // 0: there must be no such row.
};

struct RowTransaction {
  std::vector<RowExpectation> expect;
  std::vector<Row> puts;   // Versions are ignored.
  std::vector<Row> drops;  // Values and versions are ignored.
};

struct TransactionReply {
  enum class Outcome : std::uint8_t {
    kApplied,
    kConflict,    // A row differs from what was expected; nothing was written.
    kNotApplied,  // The store refused; nothing was written.
    kUnknown,     // No answer; it may still be applied later.
  };
  Outcome outcome = Outcome::kUnknown;
  std::uint64_t version = 0;
  std::vector<Row> current;  // On conflict, the expected rows as they are.
  std::chrono::milliseconds now{0};  // The store's steady clock.
};

struct RowPage {
  std::vector<Row> rows;
  bool has_more = false;
  std::uint64_t version = 0;         // Newest in the store when it was read.
  std::chrono::milliseconds now{0};  // The store's steady clock.
};

struct FeedPage {
  std::vector<Row> rows;
  std::uint64_t version = 0;  // Where to go on.
  bool forgotten = false;     // The history asked for is gone; read anew.
};

// For reads that nothing waits for in particular.
inline constexpr std::chrono::milliseconds kReadTimeout{1500};

class RowStore {
 public:
  virtual ~RowStore() = default;
  virtual void Commit(RowTransaction transaction,
                      std::chrono::milliseconds timeout,
                      std::function<void(TransactionReply)> done) = 0;
  virtual void Read(std::string table,
                    std::string part,
                    std::string from,
                    std::chrono::milliseconds timeout,
                    std::function<void(base::Result<RowPage>)> done) = 0;
  // Waits up to `wait` for changes after a version.
  virtual void Feed(std::string table,
                    std::uint64_t after,
                    std::chrono::milliseconds wait,
                    std::function<void(base::Result<FeedPage>)> done) = 0;
};

// Reads all pages of a part. The version is that of the first page, so that a
// feed from there misses nothing that changed meanwhile. `done` runs once.
void ReadAllRows(RowStore& store,
                 const std::string& table,
                 const std::string& part,
                 std::function<void(base::Result<RowPage>)> done);

// Where one life of a worker is reached.
struct WorkerAddress {
  jobs::WorkerId id;
  std::string endpoint;
};

struct LeaseExtension {
  std::uint64_t fence = 0;
  std::uint64_t acknowledged_end = 0;
  // On the worker's clock; none to only look.
  std::optional<std::chrono::milliseconds> until;
  // The worker answers early when a run ends.
  std::chrono::milliseconds wait{0};
  // Skips connections that were kept open; they may have gone silent.
  bool fresh_connection = false;
};

struct WorkerCallFailure {
  bool refused = false;  // No process listens there.
  bool fenced = false;   // The worker has seen a higher fence.
  bool other_incarnation = false;
  std::string message;
};

class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  virtual void Extend(
      const WorkerAddress& worker,
      const LeaseExtension& extension,
      std::function<void(tl::expected<jobs::WorkerReport, WorkerCallFailure>)>
          done) = 0;
  virtual void Start(const WorkerAddress& worker,
                     const jobs::StartOrder& order,
                     std::uint64_t fence,
                     std::chrono::milliseconds until,
                     std::function<void(jobs::StartResult)> done) = 0;
  // True when the worker has answered: the run ends and can't start any more.
  virtual void Stop(const WorkerAddress& worker,
                    const jobs::StopOrder& order,
                    std::uint64_t fence,
                    std::function<void(bool)> done) = 0;
  virtual void Pace(const WorkerAddress& worker,
                    const jobs::PaceOrder& order,
                    std::uint64_t fence,
                    std::function<void(bool)> done) = 0;
};

enum class MachineState : std::uint8_t { kUp, kMoving, kMaintenance, kDown };

// A machine that workers live on, one life after the other.
struct Machine {
  std::string name;
  std::string pool;  // The service whose worker it runs.
  MachineState state = MachineState::kDown;
  std::string worker;  // Id of its worker; empty without one.
  jobs::Resources capacity;
};

enum class MachineOrderResult : std::uint8_t {
  kDone,
  kRefused,  // Busy, or not allowed; nothing was done.
  kUnknown,  // May have been carried out or be later.
};

// In whose name orders for machines are given.
struct OrderAuthority {
  std::string holder;
  std::uint64_t fence = 0;
};

class MachinePort {
 public:
  virtual ~MachinePort() = default;
  virtual void List(
      std::function<void(base::Result<std::vector<Machine>>)> done) = 0;
  virtual void Move(const std::string& machine,
                    const std::string& pool,
                    const OrderAuthority& authority,
                    std::function<void(MachineOrderResult)> done) = 0;
  virtual void Maintain(const std::string& machine,
                        std::uint64_t wave,
                        const OrderAuthority& authority,
                        std::function<void(MachineOrderResult)> done) = 0;
};

struct AdviceReply {
  std::vector<std::pair<std::string, std::string>> allowed;  // Id, ticket.
  std::chrono::milliseconds validity{0};
};

class AdvicePort {
 public:
  virtual ~AdvicePort() = default;
  virtual void Advise(const jobs::AdviceRequest& request,
                      std::function<void(base::Result<AdviceReply>)> done) = 0;
};

// A wave of upkeep as the operators ask for it.
struct WaveRequest {
  std::uint64_t wave = 0;
  std::vector<std::string> machines;
  std::chrono::seconds due{0};  // From when it was written.
  std::uint32_t max_down = 1;   // Machines in upkeep at once.
};

}  // namespace cassiastile::host
