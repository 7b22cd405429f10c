#pragma once

#include <memory>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "virtual_world_bench.hpp"

namespace cassiastile::host {

using Request = std::shared_ptr<const CallerRequest>;

// A virtual world whose leader has been paused and replaced, or whose hosts are
// paused while requests wait in them.
class PausedHostBench : public testing::Test {
 protected:
  // Longer than a takeover takes.
  static constexpr std::chrono::milliseconds kPause{9000};
  // Requests that are sent to a paused host reach it this long before it goes
  // on.
  static constexpr std::chrono::milliseconds kBeforeEnd{500};

  explicit PausedHostBench(const WorldOptions& options = {});

  std::size_t WaitForLeader();
  // Another host than these.
  static std::size_t HostBeside(std::size_t first, std::size_t second);
  // Pauses the leader, ends all faults, and returns it once another host leads.
  std::size_t ReplacePausedLeader();
  // Hands `successor` an old message of the leader, which asks for a takeover:
  // it takes over from one that works on.
  void TakeOver(std::size_t leader, std::size_t successor);
  // Runs until shortly before the paused host goes on.
  void RunUntilPauseEnds();
  // Hands in a job at this host, and expects that it is accepted.
  std::string Accept(
      std::size_t host,
      std::uint32_t tasks = 1,
      std::chrono::milliseconds task_time = std::chrono::milliseconds(20000));
  // Cancels at this host until that is acknowledged.
  void Cancel(std::size_t host, const std::string& job);
  // No task of the job has run, and none runs later.
  void ExpectNeverRuns(const std::string& job);

  VirtualWorld m_world;
  base::TimePoint m_paused_until{};
};

}  // namespace cassiastile::host
