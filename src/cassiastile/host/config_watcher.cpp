#include "cassiastile/host/config_watcher.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cassiastile::host {

namespace {

// Short because a connection may silently stop working, and a change must be in
// force on all hosts within two seconds.
constexpr std::chrono::milliseconds kFeedWait{900};
constexpr std::chrono::milliseconds kRetryDelay{150};
constexpr std::chrono::milliseconds kReachableFor{2500};
// The store cuts a page of the feed at 1 MB of base64, or at 500 rows. One that
// is well below both has all changes.
constexpr std::size_t kMaybeCutBytes = 500000;
constexpr std::size_t kMaybeCutRows = 400;

bool IsWhole(const std::vector<Row>& rows) {
  std::size_t bytes = 0;
  for (const Row& row : rows) {
    bytes += row.value.size();
  }
  return bytes < kMaybeCutBytes && rows.size() < kMaybeCutRows;
}

}  // namespace

ConfigWatcher::ConfigWatcher(HostDependencies& dependencies,
                             Loop& loop,
                             EventLog& log,
                             Listener listener)
    : m_dependencies(dependencies),
      m_loop(loop),
      m_log(log),
      m_odd_members(log, "config.bad_entry"),
      m_odd_waves(log, "wave.bad"),
      m_listener(std::move(listener)) {}

void ConfigWatcher::Begin() {
  ReadAll();
}

std::uint64_t ConfigWatcher::Version() const {
  return m_config == nullptr ? 0 : m_config->version;
}

bool ConfigWatcher::IsStoreReachable() const {
  return m_store_answered_at != base::TimePoint{} &&
         m_loop.GetClock().Now() - m_store_answered_at < kReachableFor;
}

void ConfigWatcher::ReadAll() {
  ReadAllRows(m_dependencies.store, m_dependencies.operator_table, "",
              m_lifetime.Guard([this, asked_at = m_loop.GetClock().Now()](
                                   base::Result<RowPage> page) {
                if (!page) {
                  m_loop.After(kRetryDelay,
                               m_lifetime.Guard([this] { ReadAll(); }));
                  return;
                }
                m_store_answered_at = m_loop.GetClock().Now();
                m_feed_version = page->version;
                m_evacuated_zones.clear();
                ApplyRows(page->rows);
                HandleRead(asked_at);
                FollowFeed();
              }));
}

void ConfigWatcher::FollowFeed() {
  m_dependencies.store.Feed(
      m_dependencies.operator_table, m_feed_version, kFeedWait,
      m_lifetime.Guard([this, asked_at = m_loop.GetClock().Now()](
                           base::Result<FeedPage> page) {
        if (!page) {
          if (!std::exchange(m_feed_failing, true)) {
            m_log.Write("config.feed_lost", {{"error", page.error().message}});
          }
          m_loop.After(kRetryDelay, m_lifetime.Guard([this] { FollowFeed(); }));
          return;
        }
        if (std::exchange(m_feed_failing, false)) {
          m_log.Write("config.feed_regained", {{"position", m_feed_version}});
        }
        m_store_answered_at = m_loop.GetClock().Now();
        if (page->history_compacted) {
          m_log.Write("config.feed_forgotten", {{"position", m_feed_version}});
          ReadAll();
          return;
        }
        m_feed_version = std::max(m_feed_version, page->version);
        ApplyRows(page->rows);
        if (IsWhole(page->rows)) {
          HandleRead(asked_at);
        }
        FollowFeed();
      }));
}

void ConfigWatcher::ApplyRows(const std::vector<Row>& rows) {
  bool waves_changed = false;
  for (const Row& row : rows) {
    // Operators write to the table's unnamed part.
    if (!row.part.empty() || ApplyEvacuation(row) || row.deleted) {
      continue;
    }
    if (row.key == m_dependencies.config_key) {
      ApplyConfigText(row.value, "table");
    } else if (row.key.starts_with(m_dependencies.wave_prefix)) {
      auto wave = m_dependencies.decode_wave(
          row.value,
          [this, &row](const std::string& member, const std::string& reason) {
            m_odd_waves.LeftOut(row.table, row.key + " " + member, reason);
          });
      if (!wave) {
        m_odd_waves.LeftOut(row.table, row.key, wave.error().message);
        continue;
      }
      m_waves[wave->wave] = std::move(*wave);
      waves_changed = true;
    }
  }
  if (waves_changed) {
    m_listener.on_waves();
  }
}

bool ConfigWatcher::ApplyEvacuation(const Row& row) {
  const std::string& prefix = m_dependencies.evacuation_prefix;
  if (prefix.empty() || !row.key.starts_with(prefix)) {
    return false;
  }
  const std::string zone = row.key.substr(prefix.size());
  if (row.deleted) {
    m_evacuated_zones.erase(zone);
  } else {
    m_evacuated_zones.insert(zone);
  }
  return true;
}

void ConfigWatcher::HandleRead(base::TimePoint asked_at) {
  m_read_as_of = std::max(m_read_as_of, asked_at);
  if (m_logged_zones != m_evacuated_zones) {
    m_logged_zones = m_evacuated_zones;
    m_log.Write("zone.evacuations", {{"availability_zones", m_logged_zones},
                                     {"position", m_feed_version}});
  }
  m_listener.on_evacuations_read();
}

void ConfigWatcher::ApplyConfigText(const std::string& text,
                                    std::string_view source) {
  auto config = m_dependencies.decode_config(
      text, [this](const std::string& member, const std::string& reason) {
        m_odd_members.LeftOut(m_dependencies.config_key, member, reason);
      });
  if (!config) {
    m_log.Write("config.bad",
                {{"source", source}, {"error", config.error().message}});
    return;
  }
  if (m_config != nullptr && config->version <= m_config->version) {
    return;
  }
  m_log.Write("config.in_force", {{"version", config->version},
                                  {"source", source},
                                  {"queues", config->queues.size()},
                                  {"before", Version()}});
  if (m_config != nullptr) {
    config->InheritFrom(*m_config);
  }
  m_config = std::make_shared<const jobs::FleetConfig>(std::move(*config));
  m_text = text;
  m_listener.on_config(m_config);
}

}  // namespace cassiastile::host
