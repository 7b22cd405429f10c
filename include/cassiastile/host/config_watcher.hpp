#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cassiastile/host/dispatcher.hpp"

namespace cassiastile::host {

// Follows what operators write to the table: the configuration and the waves of
// upkeep. Versions only go forward; they also come from other hosts.
class ConfigWatcher {
 public:
  struct Listener {
    std::function<void(const std::shared_ptr<const jobs::FleetConfig>&)>
        on_config;
    std::function<void()> on_waves;
  };

  ConfigWatcher(HostPorts& ports, Loop& loop, EventLog& log, Listener listener);

  void Begin();
  // Takes the text of a configuration; older versions than the one known are
  // left out.
  void Offer(const std::string& text, std::string_view source);

  std::uint64_t Version() const;
  const std::string& Text() const { return m_text; }
  std::shared_ptr<const jobs::FleetConfig> Config() const { return m_config; }
  // Waves by number, with the time at which each was first seen.
  const std::map<std::uint64_t, WaveRequest>& Waves() const { return m_waves; }
  // Whether the table has answered lately.
  bool IsStoreReachable() const;

 private:
  void ReadAll();
  void Follow();
  void TakeRows(const std::vector<Row>& rows);

  HostPorts& m_ports;
  Loop& m_loop;
  EventLog& m_log;
  Listener m_listener;
  std::shared_ptr<const jobs::FleetConfig> m_config;
  std::string m_text;
  std::map<std::uint64_t, WaveRequest> m_waves;
  std::uint64_t m_position = 0;
  base::TimePoint m_answered_at{};
  bool m_failing = false;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
