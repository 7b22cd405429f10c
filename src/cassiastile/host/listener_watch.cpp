#include "cassiastile/host/listener_watch.hpp"

#include <nlohmann/json.hpp>

namespace cassiastile::host {

void ListenerWatch::Report(const Usages& usages) {
  nlohmann::json listeners = nlohmann::json::array();
  for (const auto& [listener, usage] : usages) {
    wire::ConnectionUsage& last = m_last[static_cast<std::size_t>(listener)];
    m_log.Metrics().SetUsage(listener, last, usage);
    if (usage.closed != last.closed) {
      nlohmann::json row{{"listener", base::FindName(kListenerNames, listener)},
                         {"connections", usage.connections},
                         {"held_bytes", usage.held_bytes}};
      for (const auto& [reason, name] : wire::kCloseReasonNames) {
        const auto index = static_cast<std::size_t>(reason);
        row["closed"][name] = usage.closed[index] - last.closed[index];
      }
      listeners.push_back(std::move(row));
    }
    last = usage;
  }
  if (!listeners.empty()) {
    m_log.Write("clients.closed", {{"listeners", std::move(listeners)}});
  }
}

}  // namespace cassiastile::host
