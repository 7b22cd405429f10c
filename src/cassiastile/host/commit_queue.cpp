#include "cassiastile/host/commit_queue.hpp"

#include <algorithm>

namespace cassiastile::host {

namespace {

// What the job stored last has waited tells nothing after this time.
constexpr std::chrono::milliseconds kMaxAge{250};

}  // namespace

void CommitQueue::Add(const std::string& job, base::TimePoint now) {
  if (m_waiting.emplace(job, now).second) {
    m_in_order.emplace_back(now, job);
  }
}

void CommitQueue::Stored(const std::string& job, base::TimePoint now) {
  const auto found = m_waiting.find(job);
  if (found == m_waiting.end()) {
    return;
  }
  m_last_wait = now - found->second;
  m_last_stored_at = now;
  m_waiting.erase(found);
  ForgetGone();
}

void CommitQueue::Remove(const std::string& job) {
  m_waiting.erase(job);
  ForgetGone();
}

base::Duration CommitQueue::ExpectWait(base::TimePoint now) const {
  base::Duration wait{};
  if (m_last_stored_at != base::TimePoint{} &&
      now - m_last_stored_at < kMaxAge) {
    wait = m_last_wait;
  }
  if (!m_in_order.empty()) {
    wait = std::max(wait, now - m_in_order.front().first);
  }
  return wait;
}

void CommitQueue::ForgetGone() {
  while (!m_in_order.empty()) {
    const auto& [added_at, job] = m_in_order.front();
    const auto found = m_waiting.find(job);
    if (found != m_waiting.end() && found->second == added_at) {
      return;
    }
    m_in_order.pop_front();
  }
}

}  // namespace cassiastile::host
