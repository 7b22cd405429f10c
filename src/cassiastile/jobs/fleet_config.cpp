#include "cassiastile/jobs/fleet_config.hpp"

#include <algorithm>

namespace cassiastile::jobs {

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
