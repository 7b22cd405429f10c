#include "cassiastile/wire/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace cassiastile::wire {

prometheus::Counter& Metrics::Counter(const std::string& name,
                                      const std::string& help,
                                      const Labels& labels) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(m_registry)
      .Add(labels);
}

prometheus::Gauge& Metrics::Gauge(const std::string& name,
                                  const std::string& help,
                                  const Labels& labels) {
  return prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(m_registry)
      .Add(labels);
}

prometheus::Histogram& Metrics::Histogram(const std::string& name,
                                          const std::string& help,
                                          const std::vector<double>& buckets,
                                          const Labels& labels) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(m_registry)
      .Add(labels, buckets);
}

std::string Metrics::Expose() const {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}  // namespace cassiastile::wire
