#include "cassiastile/jobs/duration_model.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include "cassiastile/base/bounded_reader.hpp"
#include "cassiastile/jobs/fleet_config.hpp"

namespace cassiastile::jobs {

namespace {

// Least weight of a new sample. The first samples weigh more, as in a plain
// mean.
constexpr double kMinGain = 0.05;
constexpr std::chrono::milliseconds kDefaultDuration{1000};
// Longer durations than this are never predicted, so that sums of a few can be
// added to a time.
constexpr std::chrono::milliseconds kMaxDuration = kMaxConfiguredTime;

std::chrono::milliseconds Predict(double millis) {
  return millis < static_cast<double>(kMaxDuration.count())
             ? std::chrono::milliseconds(std::llround(millis))
             : kMaxDuration;
}

// Incremented when older programs can't read the new layout.
constexpr std::uint8_t kLayout = 1;

}  // namespace

void DurationModel::Observe(const std::string& queue,
                            std::chrono::milliseconds estimate,
                            std::chrono::milliseconds taken) {
  const double taken_ms =
      std::max<double>(1, static_cast<double>(taken.count()));
  const double estimate_ms =
      std::max<double>(1, static_cast<double>(estimate.count()));
  ++m_revision;
  Entry& entry = m_entries[queue];
  const double gain = std::max(kMinGain, 1.0 / (entry.samples + 1));
  if (entry.samples > 0) {
    const double by_mean = std::log(taken_ms / entry.mean_ms);
    const double by_ratio = std::log(taken_ms / (estimate_ms * entry.ratio));
    entry.mean_error += gain * (by_mean * by_mean - entry.mean_error);
    entry.ratio_error += gain * (by_ratio * by_ratio - entry.ratio_error);
  }
  if (entry.samples == 0) {
    entry.mean_ms = taken_ms;
    entry.ratio = taken_ms / estimate_ms;
  } else {
    entry.mean_ms += gain * (taken_ms - entry.mean_ms);
    entry.ratio *=
        std::exp(gain * std::log(taken_ms / (estimate_ms * entry.ratio)));
  }
  ++entry.samples;
}

std::chrono::milliseconds DurationModel::Expect(
    const std::string& queue,
    std::chrono::milliseconds estimate) const {
  const auto found = m_entries.find(queue);
  if (found == m_entries.end()) {
    return estimate.count() > 0 ? estimate : kDefaultDuration;
  }
  const Entry& entry = found->second;
  const double by_ratio = static_cast<double>(estimate.count()) * entry.ratio;
  if (estimate.count() <= 0) {
    return Predict(entry.mean_ms);
  }
  // Each prediction is weighted by the inverse of its mean squared error.
  const double weight =
      entry.mean_error / std::max(1e-6, entry.mean_error + entry.ratio_error);
  const double expected = weight * by_ratio + (1 - weight) * entry.mean_ms;
  return Predict(expected);
}

std::chrono::milliseconds DurationModel::ExpectAtMost(
    const std::string& queue,
    std::chrono::milliseconds estimate) const {
  const std::chrono::milliseconds expected = Expect(queue, estimate);
  const auto found = m_entries.find(queue);
  // The logarithms of durations are about normally distributed.
  constexpr double kNinthDecile = 1.2816;
  double factor = 2;
  if (found != m_entries.end()) {
    const Entry& entry = found->second;
    const double error = estimate.count() <= 0
                             ? entry.mean_error
                             : std::min(entry.mean_error, entry.ratio_error);
    factor = std::exp(kNinthDecile * std::sqrt(error));
  }
  return Predict(factor * static_cast<double>(expected.count()));
}

std::vector<std::chrono::milliseconds> DurationModel::ExpectCriticalPaths(
    const std::string& queue,
    const JobSpec& spec) const {
  std::vector<std::chrono::milliseconds> critical_paths(spec.steps.size());
  // Steps depend on earlier ones only.
  for (std::size_t i = spec.steps.size(); i-- > 0;) {
    critical_paths[i] =
        std::min(critical_paths[i] + Expect(queue, spec.steps[i].estimate),
                 kMaxDuration);
    for (const std::uint32_t before : spec.steps[i].after) {
      critical_paths[before] =
          std::max(critical_paths[before], critical_paths[i]);
    }
  }
  return critical_paths;
}

std::string DurationModel::Encode() const {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive archive(bytes);
  archive(kLayout, m_entries);
  return bytes.str();
}

base::Result<DurationModel> DurationModel::Decode(const std::string& bytes) {
  DurationModel model;
  try {
    base::BoundedReader archive(bytes);
    std::uint8_t layout = 0;
    archive(layout);
    if (layout != kLayout) {
      throw std::invalid_argument("unknown layout");
    }
    archive(model.m_entries);
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::kInvalid,
                      std::string("learnt durations: ") + error.what());
  }
  return model;
}

Work DurationModel::ExpectWork(const std::string& queue,
                               const JobSpec& spec) const {
  Work work;
  for (const StepSpec& step : spec.steps) {
    if (!step.long_running && !step.is_filler) {
      work += WorkOf(step, Expect(queue, step.estimate),
                     static_cast<double>(step.count));
    }
  }
  return work;
}

Work WorkOf(const StepSpec& step,
            std::chrono::milliseconds each,
            double tasks) {
  constexpr double kMillicoresPerCore = 1000.0;
  const double millis = tasks * static_cast<double>(each.count());
  return {millis * static_cast<double>(step.need.cpu) / kMillicoresPerCore,
          millis * static_cast<double>(step.need.memory)};
}

}  // namespace cassiastile::jobs
