#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/base/decision.hpp"
#include "cassiastile/config/diff.hpp"
#include "cassiastile/member/config_store.hpp"
#include "cassiastile/member/member.hpp"
#include "cassiastile/platform/table.hpp"
#include "cassiastile/wire/router.hpp"

namespace cassiastile::control {

// The objects that the service uses. All must outlive it.
struct ConfigServiceDependencies {
  member::ConfigStore& store;
  member::Member& member;
  platform::Table& table;
  const base::Clock& clock;
  base::DecisionSink* decisions = nullptr;  // May be null.
  // Returns what teams are running, to tell which of them an edit's limits
  // affect. Called for each edit, on the service's thread; may be empty.
  std::function<std::vector<config::TeamUsage>()> team_usage;
};

// Serves the configuration, audit and member routes to operators. Calls that
// read or write the table run on the service's own threads.
class ConfigService {
 public:
  static std::unique_ptr<ConfigService> Create(
      ConfigServiceDependencies dependencies);
  // Waits for the calls in progress.
  ~ConfigService();
  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  // Adds the routes under /v1/config, /v1/audit and /v1/members. The service
  // must outlive the router.
  void Register(wire::Router& router);

 private:
  class Impl;
  explicit ConfigService(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cassiastile::control
