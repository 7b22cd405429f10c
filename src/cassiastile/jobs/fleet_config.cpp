#include "cassiastile/jobs/fleet_config.hpp"

#include <algorithm>
#include <set>

namespace cassiastile::jobs {

namespace {

// Limit on the memory that former entries of one kind take.
constexpr std::size_t kMaxFormerEntries = 2000;

template <typename Config, typename Entries>
const Config* FindLast(const Config* current,
                       const Entries& former,
                       std::string_view name) {
  if (current != nullptr) {
    return current;
  }
  const auto found = former.find(name);
  return found == former.end() ? nullptr : &found->second.config;
}

}  // namespace

const QueueConfig* FleetConfig::FindQueue(std::string_view name) const {
  const auto found = m_queue_of_name.find(name);
  return found == m_queue_of_name.end() ? nullptr : &queues[found->second];
}

const ServiceConfig* FleetConfig::FindService(std::string_view name) const {
  const auto found = std::ranges::find(services, name, &ServiceConfig::name);
  return found == services.end() ? nullptr : &*found;
}

const CustomerConfig* FleetConfig::FindCustomer(std::string_view name) const {
  const auto found = m_customer_of_name.find(name);
  return found == m_customer_of_name.end() ? nullptr
                                           : &customers[found->second];
}

const QueueConfig* FleetConfig::Route(std::string_view host,
                                      std::string_view path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const CustomerConfig* FleetConfig::CustomerOfKey(const std::string& key) const {
  const auto found = m_customer_of_key.find(key);
  return found == m_customer_of_key.end() ? nullptr : &customers[found->second];
}

const QueueConfig* FleetConfig::LastQueue(std::string_view name) const {
  return FindLast(FindQueue(name), m_former_queues, name);
}

const ServiceConfig* FleetConfig::LastService(std::string_view name) const {
  return FindLast(FindService(name), m_former_services, name);
}

const CustomerConfig* FleetConfig::LastCustomer(std::string_view name) const {
  return FindLast(FindCustomer(name), m_former_customers, name);
}

bool FleetConfig::IsServiceKnown(std::string_view name) const {
  return LastService(name) != nullptr ||
         std::ranges::find(queues, name, &QueueConfig::service) !=
             queues.end() ||
         std::ranges::any_of(m_former_queues, [name](const auto& entry) {
           return entry.second.config.service == name;
         });
}

std::vector<ServiceConfig> FleetConfig::FormerServices() const {
  std::vector<ServiceConfig> services;
  services.reserve(m_former_services.size());
  for (const auto& [name, former] : m_former_services) {
    services.push_back(former.config);
  }
  return services;
}

template <typename Config>
void FleetConfig::Inherit(const std::vector<Config>& current,
                          const std::vector<Config>& before,
                          std::uint64_t version_before,
                          FormerEntries<Config>& former) {
  std::set<std::string_view> names;
  for (const Config& config : current) {
    names.insert(config.name);
    former.erase(config.name);
  }
  for (const Config& config : before) {
    if (!names.contains(config.name)) {
      // Of entries of one name the first is in force.
      former.emplace(config.name, Former<Config>{config, version_before});
    }
  }
  while (former.size() > kMaxFormerEntries) {
    former.erase(std::ranges::min_element(
        former, {}, [](const auto& entry) { return entry.second.version; }));
  }
}

void FleetConfig::InheritFrom(const FleetConfig& before) {
  m_former_queues = before.m_former_queues;
  m_former_services = before.m_former_services;
  m_former_customers = before.m_former_customers;
  Inherit(queues, before.queues, before.version, m_former_queues);
  Inherit(services, before.services, before.version, m_former_services);
  Inherit(customers, before.customers, before.version, m_former_customers);
  for (auto& [name, former] : m_former_customers) {
    former.config.keys.clear();
  }
}

void FleetConfig::BuildIndex() {
  m_customer_of_key.clear();
  m_customer_of_name.clear();
  m_queue_of_name.clear();
  for (std::size_t i = 0; i < customers.size(); ++i) {
    m_customer_of_name.emplace(customers[i].name, i);
    for (const std::string& key : customers[i].keys) {
      m_customer_of_key.emplace(key, i);
    }
  }
  for (std::size_t i = 0; i < queues.size(); ++i) {
    m_queue_of_name.emplace(queues[i].name, i);
  }
}

}  // namespace cassiastile::jobs
