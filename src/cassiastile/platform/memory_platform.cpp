#include "cassiastile/platform/memory_platform.hpp"

#include <algorithm>

namespace cassiastile::platform {

namespace {

tl::unexpected<base::Error> Unavailable() {
  return base::Fail(base::ErrorCode::kUnavailable,
                    "The platform's service does not answer.");
}

tl::unexpected<base::Error> AnswerLost() {
  return base::Fail(base::ErrorCode::kUnknown,
                    "The answer of the platform's table was lost.");
}

void EndReboot(MachineStatus& status) {
  if (status.state == MachineState::kRebooting) {
    status.state = MachineState::kUp;
    ++status.boots;
  }
}

}  // namespace

MemoryTable::MemoryTable(std::uint64_t seed) : m_random(seed) {}

base::Result<std::optional<Row>> MemoryTable::Get(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  const base::Result<void> started = StartRead();
  if (!started) {
    return tl::unexpected(started.error());
  }
  const auto found = m_rows.find(key);
  if (found == m_rows.end()) {
    return std::optional<Row>();
  }
  return std::optional<Row>(found->second);
}

base::Result<std::vector<Row>> MemoryTable::Scan(const std::string& prefix,
                                                 const std::string& after,
                                                 std::size_t limit) {
  const std::lock_guard lock(m_mutex);
  const base::Result<void> started = StartRead();
  if (!started) {
    return tl::unexpected(started.error());
  }
  std::vector<Row> rows;
  auto next =
      after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
  while (next != m_rows.end() && next->first.starts_with(prefix) &&
         rows.size() < limit) {
    rows.push_back(next->second);
    ++next;
  }
  return rows;
}

base::Result<Commit> MemoryTable::Apply(const Transaction& transaction) {
  const std::lock_guard lock(m_mutex);
  ++m_counts.writes;
  if (m_faults.down || InjectFault(m_faults.fail_before)) {
    return Unavailable();
  }
  if (InjectFault(m_faults.delay_apply)) {
    m_delayed.push_back(transaction);
    return AnswerLost();
  }
  ApplyDelayed();
  base::Result<Commit> commit = ApplyLocked(transaction);
  if (InjectFault(m_faults.lose_answer)) {
    return AnswerLost();
  }
  return commit;
}

base::Result<std::optional<Commit>> MemoryTable::FindNonce(
    const std::string& nonce) {
  const std::lock_guard lock(m_mutex);
  const base::Result<void> started = StartRead();
  if (!started) {
    return tl::unexpected(started.error());
  }
  const auto found = m_nonces.find(nonce);
  if (found == m_nonces.end()) {
    return std::optional<Commit>();
  }
  return std::optional<Commit>(found->second);
}

void MemoryTable::SetFaults(MemoryFaults faults) {
  const std::lock_guard lock(m_mutex);
  m_faults = faults;
}

MemoryCounts MemoryTable::Counts() const {
  const std::lock_guard lock(m_mutex);
  return m_counts;
}

bool MemoryTable::InjectFault(double probability) {
  if (probability <= 0) {
    return false;
  }
  return std::bernoulli_distribution(probability)(m_random);
}

base::Result<void> MemoryTable::StartRead() {
  ++m_counts.reads;
  if (m_faults.down || InjectFault(m_faults.fail_before)) {
    return Unavailable();
  }
  ApplyDelayed();
  return {};
}

bool MemoryTable::Holds(const Precondition& precondition) const {
  const auto found = m_rows.find(precondition.key);
  const std::uint64_t version =
      found == m_rows.end() ? 0 : found->second.version;
  return version == precondition.version;
}

base::Result<Commit> MemoryTable::ApplyLocked(const Transaction& transaction) {
  const auto applied = m_nonces.find(transaction.nonce);
  if (applied != m_nonces.end()) {
    return applied->second;
  }
  for (const Precondition& precondition : transaction.preconditions) {
    if (!Holds(precondition)) {
      ++m_counts.conflicts;
      return base::Fail(base::ErrorCode::kConflict,
                        "The row " + precondition.key + " has changed.");
    }
  }
  for (const platform::Write& write : transaction.writes) {
    const auto found = m_rows.find(write.key);
    const std::uint64_t last = found == m_rows.end()
                                   ? m_deleted_versions[write.key]
                                   : found->second.version;
    if (write.value) {
      m_deleted_versions.erase(write.key);
      m_rows[write.key] = Row{write.key, *write.value, last + 1};
    } else if (found != m_rows.end()) {
      m_deleted_versions[write.key] = last + 1;
      m_rows.erase(found);
    }
  }
  const Commit commit{++m_sequence};
  m_nonces.emplace(transaction.nonce, commit);
  return commit;
}

void MemoryTable::ApplyDelayed() {
  while (!m_delayed.empty()) {
    static_cast<void>(ApplyLocked(m_delayed.front()));
    m_delayed.pop_front();
  }
}

base::Result<void> MemoryObjectStore::Put(const std::string& name,
                                          const std::string& content) {
  const std::lock_guard lock(m_mutex);
  if (m_down) {
    return Unavailable();
  }
  m_objects[name] = content;
  return {};
}

base::Result<std::string> MemoryObjectStore::Get(const std::string& name) {
  const std::lock_guard lock(m_mutex);
  if (m_down) {
    return Unavailable();
  }
  const auto found = m_objects.find(name);
  if (found == m_objects.end()) {
    return base::Fail(base::ErrorCode::kNotFound, "No such object: " + name);
  }
  return found->second;
}

base::Result<std::vector<std::string>> MemoryObjectStore::List(
    const std::string& prefix) {
  const std::lock_guard lock(m_mutex);
  if (m_down) {
    return Unavailable();
  }
  std::vector<std::string> names;
  for (auto next = m_objects.lower_bound(prefix);
       next != m_objects.end() && next->first.starts_with(prefix); ++next) {
    names.push_back(next->first);
  }
  return names;
}

void MemoryObjectStore::SetDown(bool down) {
  const std::lock_guard lock(m_mutex);
  m_down = down;
}

base::Result<std::vector<ListedHost>> MemoryHostList::List() {
  const std::lock_guard lock(m_mutex);
  if (m_down) {
    return Unavailable();
  }
  std::vector<ListedHost> hosts;
  hosts.reserve(m_hosts.size());
  for (const auto& [name, host] : m_hosts) {
    hosts.push_back(host);
  }
  return hosts;
}

void MemoryHostList::Set(const ListedHost& host) {
  const std::lock_guard lock(m_mutex);
  m_hosts[host.name] = host;
}

void MemoryHostList::Remove(const std::string& name) {
  const std::lock_guard lock(m_mutex);
  m_hosts.erase(name);
}

void MemoryHostList::SetDown(bool down) {
  const std::lock_guard lock(m_mutex);
  m_down = down;
}

base::Result<void> MemoryMachines::SetDraining(const std::string& host,
                                               bool draining) {
  const std::lock_guard lock(m_mutex);
  return Find(host).map(
      [draining](MachineStatus* status) { status->draining = draining; });
}

base::Result<void> MemoryMachines::Reboot(const std::string& host,
                                          std::uint64_t boots) {
  const std::lock_guard lock(m_mutex);
  const base::Result<MachineStatus*> found = Find(host);
  if (!found) {
    return tl::unexpected(found.error());
  }
  MachineStatus& status = **found;
  if (status.boots != boots) {
    return base::Fail(base::ErrorCode::kConflict,
                      "The machine " + host + " has booted since.");
  }
  status.state = MachineState::kRebooting;
  return {};
}

base::Result<MachineStatus> MemoryMachines::Status(const std::string& host) {
  const std::lock_guard lock(m_mutex);
  return Find(host).map([](MachineStatus* status) { return *status; });
}

void MemoryMachines::Set(const std::string& host, MachineStatus status) {
  const std::lock_guard lock(m_mutex);
  m_machines[host] = status;
}

void MemoryMachines::FinishReboots() {
  const std::lock_guard lock(m_mutex);
  for (auto& [host, status] : m_machines) {
    EndReboot(status);
  }
}

void MemoryMachines::FinishReboot(const std::string& host) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_machines.find(host);
  if (found != m_machines.end()) {
    EndReboot(found->second);
  }
}

void MemoryMachines::SetDown(bool down) {
  const std::lock_guard lock(m_mutex);
  m_down = down;
}

base::Result<MachineStatus*> MemoryMachines::Find(const std::string& host) {
  if (m_down) {
    return Unavailable();
  }
  const auto found = m_machines.find(host);
  if (found == m_machines.end()) {
    return base::Fail(base::ErrorCode::kNotFound, "No such machine: " + host);
  }
  return &found->second;
}

}  // namespace cassiastile::platform
