#pragma once

#include <map>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace cassiastile::wire {

// The metrics of a process, kept by the Prometheus library. Counter, Gauge and
// Histogram return the metric with the given name and labels, made on first
// use; it is valid as long as this object. Safe for use by several threads.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  prometheus::Counter& Counter(const std::string& name,
                               const std::string& help,
                               const Labels& labels = {});
  prometheus::Gauge& Gauge(const std::string& name,
                           const std::string& help,
                           const Labels& labels = {});
  // Buckets are upper bounds, in the unit that the metric name ends with.
  prometheus::Histogram& Histogram(const std::string& name,
                                   const std::string& help,
                                   const std::vector<double>& buckets,
                                   const Labels& labels = {});

  // All metrics in the Prometheus text exposition format.
  std::string Expose() const;

 private:
  prometheus::Registry m_registry;
};

}  // namespace cassiastile::wire
