#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "cassiastile/jobs/resources.hpp"

namespace cassiastile::jobs {

// What one customer has running and waiting in a pool, without long-running
// tasks.
struct CustomerDemand {
  double weight = 1.0;
  Resources running;
  Resources waiting;
};

using CustomerDemands = std::map<std::string, CustomerDemand>;

// The shares of a pool's customers: of the resource that is scarcer for what
// they need, each gets as much as it needs, up to the same amount for each unit
// of weight. What one leaves is divided among the others.
class PoolShares {
 public:
  // No customers, so that all are within their share.
  PoolShares() = default;
  // `capacity` is what the pool has for finite tasks.
  PoolShares(const Resources& capacity, const CustomerDemands& demands);

  // Whether several customers need more than the pool has.
  bool IsContended() const { return m_contended; }
  std::size_t CustomerCount() const { return m_customers.size(); }
  // The part of the pool, from 0 to 1, that a customer of this weight can count
  // on, however much it needs.
  double PartOf(const std::string& customer, double weight) const;
  // Whether the customer has less than its share. True unless the pool is
  // contended.
  bool IsWithinShare(const std::string& customer) const;
  // Counts what is about to be placed as the customer's.
  void Take(const std::string& customer, const Resources& need);

 private:
  struct Share {
    double weight = 1.0;
    double needed = 0;  // Running and waiting.
    double used = 0;    // Running and taken.
    double allowed = 0;
  };
  double AmountOf(const Resources& value) const;
  // What is left for each unit of weight when all that need less are served.
  double LevelFor(const std::map<std::string, Share>& customers) const;

  std::map<std::string, Share> m_customers;
  bool m_by_memory = false;
  bool m_contended = false;
  double m_capacity = 0;
};

}  // namespace cassiastile::jobs
