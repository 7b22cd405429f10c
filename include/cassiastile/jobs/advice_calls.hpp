#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "cassiastile/base/clock.hpp"

namespace cassiastile::jobs {

// Bounds of AdviceCalls.
struct AdviceCallOptions {
  // The placement advisor handles one call at a time of each host. A second one
  // keeps it busy while the answer to the first is on its way; more would only
  // wait there, in the order in which they were sent.
  std::size_t max_calls = 2;
  // How long an answer may take: so many times what is expected, and the rest
  // for the network and for an advisor that was just started.
  int slow_factor = 4;
  std::chrono::milliseconds answer_margin{2000};
  // After calls that fail one after the other nothing is asked for a time that
  // doubles with each.
  std::chrono::milliseconds min_pause{250};
  std::chrono::milliseconds max_pause{2000};
};

// The calls to the placement advisor that are under way, by step. Bounds them
// by what the advisor handles and by how it has answered. Not thread-safe.
class AdviceCalls {
 public:
  explicit AdviceCalls(AdviceCallOptions options = {});

  // Whether another call may be sent.
  bool MayCall(base::TimePoint now) const;
  bool IsUnderWay(const std::string& step) const;
  // A call is sent that takes the advisor `expected`. Returns how long its
  // answer may take.
  std::chrono::milliseconds Begin(const std::string& step,
                                  std::chrono::milliseconds expected,
                                  base::TimePoint now);
  void Answered(const std::string& step);
  // A call failed, was turned away or has had no answer in time. Returns the
  // pause after it.
  std::chrono::milliseconds Failed(const std::string& step,
                                   base::TimePoint now);
  // The calls whose outcome should have been told long ago.
  std::vector<std::string> FindOverdue(base::TimePoint now) const;

 private:
  struct Call {
    std::chrono::milliseconds expected{0};
    base::TimePoint due{};
  };

  AdviceCallOptions m_options;
  std::map<std::string, Call> m_calls;
  std::chrono::milliseconds m_pause{0};  // The last one; zero after an answer.
  base::TimePoint m_paused_until{};
};

// What the advisor has said on one queue: how many workers to name so that
// enough are allowed, and what a step costs. Not thread-safe.
class AdviceHistory {
 public:
  // The advisor was asked about workers and has allowed some of them.
  void Add(const std::vector<std::string>& named,
           const std::vector<std::string>& allowed,
           std::chrono::milliseconds cost);
  // The chance that the worker may run a step.
  double ChanceOf(const std::string& worker) const;
  bool IsEmpty() const { return m_calls == 0; }
  // What the advisor needs for a step, with calls that allow no worker; `first`
  // as long as nothing is known.
  std::chrono::milliseconds CostOfStep(std::chrono::milliseconds first) const;

 private:
  struct Count {
    double named = 0;
    double allowed = 0;
  };

  std::map<std::string, Count> m_by_worker;
  Count m_all;
  double m_cost_ms = 0;  // Of a call, on average.
  double m_success = 1;  // The part of the calls that allow a worker.
  std::size_t m_calls = 0;
};

}  // namespace cassiastile::jobs
