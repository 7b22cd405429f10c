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

  // Builds the lookup tables. Must be called after the lists were filled.
  void BuildIndex();

 private:
  std::unordered_map<std::string, std::size_t> m_customer_of_key;
  std::map<std::string, std::size_t, std::less<>> m_queue_of_name;
  std::map<std::string, std::size_t, std::less<>> m_customer_of_name;
};

}  // namespace cassiastile::jobs
