#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// Times of a configuration are at most this long: sums of a few can still be
// added to a time. What is configured to be longer counts as this.
inline constexpr std::chrono::milliseconds kMaxConfiguredTime =
    std::chrono::hours(24 * 365 * 10);

// The timing of a queue's placement advisor, as configured. The scheduler uses
// only `validity`.
struct AdviceConfig {
  std::chrono::milliseconds decision{0};  // Time that an answer takes.
  std::chrono::milliseconds period{0};
  std::chrono::milliseconds validity{0};  // How long an answer is valid.

  friend bool operator==(const AdviceConfig&, const AdviceConfig&) = default;
};

// A queue of jobs; requests are routed to it by host and path prefix.
struct QueueConfig {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  int priority = 0;  // 0 is the highest.
  std::uint32_t max_attempts = 1;
  // A job's objective is its critical path times `stretch`, plus `slack`.
  double stretch = 1.0;
  std::chrono::milliseconds slack{0};
  bool open = false;  // Accepts requests without an API key.
  std::optional<AdviceConfig> advice;
};

// A service is a pool of machines whose workers run the tasks of its queues.
struct ServiceConfig {
  std::string name;
  bool workers_guard_capacity = true;  // Not used by the scheduler.
  // The spare pool, whose machines are off and cost nothing.
  bool is_spare = false;
};

// A customer with its share, resource limit and API keys.
struct CustomerConfig {
  std::string name;
  // Its share, in submitted jobs per second. Jobs beyond it get only free
  // capacity.
  double weight = 1.0;
  Resources limit;  // 0 means no limit for that resource.
  std::vector<std::string> keys;
};

// One version of the operators' configuration.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<QueueConfig> queues;
  std::vector<ServiceConfig> services;
  std::vector<CustomerConfig> customers;

  // These return null when there is no such entry.
  const QueueConfig* FindQueue(std::string_view name) const;
  const ServiceConfig* FindService(std::string_view name) const;
  const CustomerConfig* FindCustomer(std::string_view name) const;
  // The queue of this host with the longest prefix of the path, or null.
  const QueueConfig* Route(std::string_view host, std::string_view path) const;
  // The customer with this API key, or null.
  const CustomerConfig* CustomerOfKey(const std::string& key) const;

  // The entry of this version or, if it has none, the newest of the versions
  // before it; null if none of them had one. What was accepted under a queue or
  // for a customer goes on by these: an operator may take an entry out for a
  // moment. Former customers have no keys.
  const QueueConfig* LastQueue(std::string_view name) const;
  const ServiceConfig* LastService(std::string_view name) const;
  const CustomerConfig* LastCustomer(std::string_view name) const;
  // Whether this or a former version names the service, by itself or as the one
  // of a queue.
  bool IsServiceKnown(std::string_view name) const;
  // Services that only former versions had.
  std::vector<ServiceConfig> FormerServices() const;

  // Builds the lookup tables. Must be called after the lists were filled.
  void BuildIndex();
  // Takes over what the version before this one had and this one lacks. Must be
  // called after BuildIndex. Of very many, the ones that were taken out first
  // are forgotten.
  void InheritFrom(const FleetConfig& before);

 private:
  // An entry that this version lacks.
  template <typename Config>
  struct Former {
    Config config;
    std::uint64_t version = 0;  // The last one that had it.
  };
  template <typename Config>
  using FormerEntries = std::map<std::string, Former<Config>, std::less<>>;

  template <typename Config>
  static void Inherit(const std::vector<Config>& current,
                      const std::vector<Config>& before,
                      std::uint64_t version_before,
                      FormerEntries<Config>& former);

  FormerEntries<QueueConfig> m_former_queues;
  FormerEntries<ServiceConfig> m_former_services;
  FormerEntries<CustomerConfig> m_former_customers;
  std::unordered_map<std::string, std::size_t> m_customer_of_key;
  std::map<std::string, std::size_t, std::less<>> m_queue_of_name;
  std::map<std::string, std::size_t, std::less<>> m_customer_of_name;
};

}  // namespace cassiastile::jobs
