#include "cassiastile/host/odd_entries.hpp"

#include <nlohmann/json.hpp>

namespace cassiastile::host {

namespace {

constexpr std::size_t kMaxRemembered = 200;
// A reason may quote what the entry holds.
constexpr std::size_t kMaxReasonBytes = 200;

}  // namespace

void OddEntries::LeftOut(std::string_view list,
                         const std::string& key,
                         const std::string& reason) {
  const std::string name = std::string(list) + " " + key;
  const auto known = m_reasons.find(name);
  const bool is_new =
      known == m_reasons.end() && m_reasons.size() < kMaxRemembered;
  const bool has_changed = known != m_reasons.end() && known->second != reason;
  if (!is_new && !has_changed) {
    m_log.Metrics().Count(m_event, "");
    return;
  }
  m_reasons[name] = reason;
  m_log.Write(m_event, {{"list", list},
                        {"entry", key.substr(0, kMaxReasonBytes)},
                        {"error", reason.substr(0, kMaxReasonBytes)}});
}

}  // namespace cassiastile::host
