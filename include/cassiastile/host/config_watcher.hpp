#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cassiastile/host/dispatcher.hpp"
#include "cassiastile/host/odd_entries.hpp"

namespace cassiastile::host {

// Follows the operators' table: the fleet configuration, the maintenance waves
// and the evacuations of zones. The configuration's version never decreases;
// newer ones may also come from other hosts.
class ConfigWatcher {
 public:
  // Called on the loop after a new configuration or changed waves, and whenever
  // the evacuations were read, also if they have not changed.
  struct Listener {
    std::function<void(const std::shared_ptr<const jobs::FleetConfig>&)>
        on_config;
    std::function<void()> on_waves;
    std::function<void()> on_evacuations_read;
  };

  // `dependencies`, `loop` and `log` must outlive the watcher.
  ConfigWatcher(HostDependencies& dependencies,
                Loop& loop,
                EventLog& log,
                Listener listener);

  // Reads the whole operators' table, then follows its feed; both are retried
  // until the store answers.
  void Begin();
  // Decodes a configuration and puts it in force if its version is newer than
  // the current one. Logs `config.bad` if it can't be decoded, and
  // `config.bad_entry` for what of it is not taken as it stands. `source` is
  // logged: "table" or the name of the sending host.
  void ApplyConfigText(const std::string& text, std::string_view source);

  // Version of the configuration in force; 0 while there is none.
  std::uint64_t Version() const;
  // The configuration in force as the operators wrote it; empty while there is
  // none.
  const std::string& Text() const { return m_text; }
  // Null until the first configuration has been read.
  std::shared_ptr<const jobs::FleetConfig> Config() const { return m_config; }
  // Requested maintenance waves by number.
  const std::map<std::uint64_t, WaveRequest>& Waves() const { return m_waves; }
  // Zones to evacuate.
  const std::set<std::string>& EvacuatedZones() const {
    return m_evacuated_zones;
  }
  // A time before which all that the operators wrote has been read.
  base::TimePoint ReadAsOf() const { return m_read_as_of; }
  // Whether the store answered a read or a feed within the last 2.5 seconds.
  bool IsStoreReachable() const;

 private:
  void ReadAll();
  void FollowFeed();
  void ApplyRows(const std::vector<Row>& rows);
  // Adds or removes the zone of a row; returns false if the row is not about a
  // zone.
  bool ApplyEvacuation(const Row& row);
  // Rows that were requested at `asked_at` have been applied; no later change
  // was left out.
  void HandleRead(base::TimePoint asked_at);

  HostDependencies& m_dependencies;
  Loop& m_loop;
  EventLog& m_log;
  OddEntries m_odd_members;
  OddEntries m_odd_waves;
  Listener m_listener;
  std::shared_ptr<const jobs::FleetConfig> m_config;
  std::string m_text;
  std::map<std::uint64_t, WaveRequest> m_waves;
  std::set<std::string> m_evacuated_zones;
  std::set<std::string> m_logged_zones;
  base::TimePoint m_read_as_of{};
  std::uint64_t m_feed_version = 0;
  base::TimePoint m_store_answered_at{};
  bool m_feed_failing = false;
  Lifetime m_lifetime;
};

}  // namespace cassiastile::host
