#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "cassiastile/base/random.hpp"
#include "cassiastile/platform/host_list.hpp"
#include "cassiastile/platform/machines.hpp"
#include "cassiastile/platform/objects.hpp"
#include "cassiastile/platform/table.hpp"

namespace cassiastile::platform {

// Faults injected into an in-memory service. Probabilities are from 0 to 1,
// with draws from a seeded engine.
struct MemoryFaults {
  bool down = false;       // Every call fails and nothing is written.
  double fail_before = 0;  // The call fails and nothing is written.
  double lose_answer = 0;  // The write applies and its answer is lost.
  // The answer is lost and the write applies only before a later call.
  double delay_apply = 0;
};

// Numbers of calls that reached the service.
struct MemoryCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;  // Transactions, applied or not.
  std::uint64_t conflicts = 0;
};

// An in-memory table for tests and for the stand-in platform process.
// Thread-safe.
class MemoryTable final : public Table {
 public:
  explicit MemoryTable(std::uint64_t seed = 1);

  base::Result<std::optional<Row>> Get(const std::string& key) override;
  base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                      const std::string& after,
                                      std::size_t limit) override;
  base::Result<Commit> Apply(const Transaction& transaction) override;
  base::Result<std::optional<Commit>> FindNonce(
      const std::string& nonce) override;

  void SetFaults(MemoryFaults faults);
  MemoryCounts Counts() const;

 private:
  bool InjectFault(double probability);
  base::Result<void> StartRead();
  bool Holds(const Precondition& precondition) const;
  base::Result<Commit> ApplyLocked(const Transaction& transaction);
  void ApplyDelayed();

  mutable std::mutex m_mutex;
  base::Random m_random;
  MemoryFaults m_faults;
  MemoryCounts m_counts;
  std::map<std::string, Row> m_rows;
  std::map<std::string, std::uint64_t> m_deleted_versions;
  std::map<std::string, Commit> m_nonces;
  std::deque<Transaction> m_delayed;
  std::uint64_t m_sequence = 0;
};

// An in-memory object store. Thread-safe.
class MemoryObjectStore final : public ObjectStore {
 public:
  base::Result<void> Put(const std::string& name,
                         const std::string& content) override;
  base::Result<std::string> Get(const std::string& name) override;
  base::Result<std::vector<std::string>> List(
      const std::string& prefix) override;

  void SetDown(bool down);

 private:
  mutable std::mutex m_mutex;
  bool m_down = false;
  std::map<std::string, std::string> m_objects;
};

// An in-memory host list. It doesn't lag by itself; a test sets an entry when
// it should become visible. Thread-safe.
class MemoryHostList final : public HostList {
 public:
  base::Result<std::vector<ListedHost>> List() override;

  void Set(const ListedHost& host);
  void Remove(const std::string& name);
  void SetDown(bool down);

 private:
  mutable std::mutex m_mutex;
  bool m_down = false;
  std::map<std::string, ListedHost> m_hosts;
};

// In-memory machines. A reboot lasts until FinishReboots or FinishReboot is
// called. Thread-safe.
class MemoryMachines final : public Machines {
 public:
  base::Result<void> SetDraining(const std::string& host,
                                 bool draining) override;
  base::Result<void> Reboot(const std::string& host,
                            std::uint64_t boots) override;
  base::Result<MachineStatus> Status(const std::string& host) override;

  // Sets the status of a machine, and adds the machine if it doesn't exist.
  void Set(const std::string& host, MachineStatus status);
  // Complete the reboots in progress, of all machines or of one.
  void FinishReboots();
  void FinishReboot(const std::string& host);
  void SetDown(bool down);

 private:
  base::Result<MachineStatus*> Find(const std::string& host);

  mutable std::mutex m_mutex;
  bool m_down = false;
  std::map<std::string, MachineStatus> m_machines;
};

}  // namespace cassiastile::platform
