#include "cassiastile/work/size_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace cassiastile::work {

namespace {

// The weight of each new value falls with the number of values, but not below
// this, so that estimates follow changes.
constexpr double kMinLearningRate = 0.05;
// With fewer observations, a kind or a team predicts nothing.
constexpr std::uint32_t kMinObservations = 3;
// Bounds the memory: each further kind replaces the one observed least.
constexpr std::size_t kMaxKindsPerTeam = 256;
// Memory and run time are planned at this many standard deviations above the
// median.
constexpr double kMemoryDeviations = 1.3;
constexpr double kSecondsDeviations = 2;
// The upper estimate of a run time is this many times the declared one while
// too few run times were observed.
constexpr double kUnobservedSecondsFactor = 4;

double Median(const LogMoments& moments) {
  return std::exp(moments.mean);
}

double Mean(const LogMoments& moments) {
  return std::exp(moments.mean + moments.variance / 2);
}

double Upper(const LogMoments& moments, double deviations) {
  return std::exp(moments.mean + deviations * std::sqrt(moments.variance));
}

void ObserveQuantity(LearntQuantity& learnt, double declared, double seen) {
  if (seen <= 0) {
    return;
  }
  Observe(learnt.amount, seen);
  if (declared > 0) {
    Observe(learnt.ratio, seen / declared);
  }
}

// The statistics that predict a quantity best, and the factor to multiply the
// prediction by.
struct Prediction {
  const LogMoments* moments = nullptr;
  double scale = 1;
};

Prediction Predict(const LearntQuantity& kind,
                   const LearntQuantity& team,
                   double declared) {
  const bool seen = kind.amount.count >= kMinObservations;
  const bool by_ratio = kind.ratio.count >= kMinObservations && declared > 0 &&
                        kind.ratio.variance < kind.amount.variance;
  if (seen) {
    return by_ratio ? Prediction{&kind.ratio, declared}
                    : Prediction{&kind.amount, 1};
  }
  if (team.ratio.count >= kMinObservations && declared > 0) {
    return {&team.ratio, declared};
  }
  return {};
}

}  // namespace

void Observe(LogMoments& moments, double value) {
  ++moments.count;
  const double rate =
      std::max(kMinLearningRate, 1.0 / static_cast<double>(moments.count));
  const double difference = std::log(value) - moments.mean;
  moments.mean += rate * difference;
  moments.variance =
      (1 - rate) * (moments.variance + rate * difference * difference);
}

SizeEstimate SizeEstimator::Estimate(const TaskSpec& spec) const {
  SizeEstimate estimate;
  estimate.size = spec.declared;
  estimate.seconds = spec.seconds;
  estimate.seconds_upper = spec.seconds * kUnobservedSecondsFactor;
  const auto team = m_teams.find(spec.team);
  if (team == m_teams.end()) {
    return estimate;
  }
  static const LearntKind unseen_kind;
  const auto found = team->second.kinds.find(spec.kind);
  const LearntKind& kind =
      found == team->second.kinds.end() ? unseen_kind : found->second;
  const LearntKind& all = team->second.all;
  const auto cores = Predict(kind.cores, all.cores, spec.declared.cores);
  if (cores.moments != nullptr) {
    estimate.size.cores = cores.scale * Mean(*cores.moments);
    estimate.cores_learnt = true;
  }
  const auto memory = Predict(kind.memory, all.memory, spec.declared.memory_gb);
  if (memory.moments != nullptr) {
    estimate.size.memory_gb =
        memory.scale * Upper(*memory.moments, kMemoryDeviations);
  }
  const auto seconds = Predict(kind.seconds, all.seconds, spec.seconds);
  if (seconds.moments != nullptr) {
    estimate.seconds = seconds.scale * Median(*seconds.moments);
    estimate.seconds_upper =
        seconds.scale * Upper(*seconds.moments, kSecondsDeviations);
  }
  return estimate;
}

void SizeEstimator::ObserveUsage(const TaskSpec& spec, const Resources& usage) {
  LearntKind& all = m_teams[spec.team].all;
  for (LearntKind* learnt : {&all, &KindOf(spec)}) {
    ObserveQuantity(learnt->cores, spec.declared.cores, usage.cores);
    ObserveQuantity(learnt->memory, spec.declared.memory_gb, usage.memory_gb);
  }
}

void SizeEstimator::ObserveRunTime(const TaskSpec& spec, double seconds) {
  LearntKind& all = m_teams[spec.team].all;
  ObserveQuantity(all.seconds, spec.seconds, seconds);
  ObserveQuantity(KindOf(spec).seconds, spec.seconds, seconds);
}

LearntKind& SizeEstimator::KindOf(const TaskSpec& spec) {
  auto& kinds = m_teams[spec.team].kinds;
  const auto found = kinds.find(spec.kind);
  if (found != kinds.end()) {
    return found->second;
  }
  if (kinds.size() >= kMaxKindsPerTeam) {
    const auto rarest = std::min_element(
        kinds.begin(), kinds.end(), [](const auto& left, const auto& right) {
          return left.second.cores.amount.count <
                 right.second.cores.amount.count;
        });
    kinds.erase(rarest);
  }
  return kinds[spec.kind];
}

}  // namespace cassiastile::work
