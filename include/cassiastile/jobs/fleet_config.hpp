#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// How long the placement advisor of a queue takes, and how long what it says
// holds.
struct AdviceConfig {
  std::chrono::milliseconds decision{0};
  std::chrono::milliseconds per_worker{0};
  std::chrono::milliseconds validity{0};
};

struct QueueConfig {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  int priority = 0;  // 0 goes first.
  std::uint32_t max_attempts = 1;
  double stretch = 1.0;  // Factor of the longest chain in a job's objective.
  std::chrono::milliseconds slack{0};  // Added to the objective.
  bool open = false;                   // Needs no key.
  std::optional<AdviceConfig> advice;
};

// A service is a pool of machines whose workers run the tasks of its queues.
struct ServiceConfig {
  std::string name;
  bool workers_guard_capacity = true;
  bool standby = false;  // Its machines are off and cost nothing.
};

struct CustomerConfig {
  std::string name;
  double weight = 1.0;
  Resources limit;  // 0 in a resource: no limit.
  std::vector<std::string> keys;
};

// The operators' configuration of one version.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<QueueConfig> queues;
  std::vector<ServiceConfig> services;
  std::vector<CustomerConfig> customers;

  const QueueConfig* FindQueue(std::string_view name) const;
  const ServiceConfig* FindService(std::string_view name) const;
  const CustomerConfig* FindCustomer(std::string_view name) const;
  // The queue whose host is this one and whose prefix is the longest that the
  // path begins with.
  const QueueConfig* Route(std::string_view host, std::string_view path) const;
  const CustomerConfig* CustomerOfKey(const std::string& key) const;

  // Must be called after the lists were filled.
  void BuildIndex();

 private:
  std::unordered_map<std::string, std::size_t> m_customer_of_key;
  std::unordered_map<std::string, std::size_t> m_queue_of_name;
};

}  // namespace cassiastile::jobs
