#include "pool_status.hpp"

#include <nlohmann/json.hpp>

#include "cassiastile/base/clock.hpp"
#include "cassiastile/fleet/budget.hpp"
#include "cassiastile/fleet/fleet_index.hpp"
#include "cassiastile/fleet/schedule.hpp"
#include "cassiastile/fleet/window.hpp"

namespace cassiastile::control {

namespace {

using nlohmann::json;

std::string FormatSince(std::int64_t since_ms) {
  return base::FormatWallTime(
      base::WallTime(std::chrono::milliseconds(since_ms)));
}

json MakeHostJson(const PoolSnapshot& snapshot, const fleet::HostRecord& host) {
  json row{{"host", host.host},
           {"state", fleet::NameOf(host.state)},
           {"since", FormatSince(host.since_ms)},
           {"detail", host.detail}};
  if (host.reason) {
    row["reason"] = fleet::NameOf(*host.reason);
  }
  if (!host.wave.empty()) {
    row["wave"] = host.wave;
  }
  if (!host.bound_for.empty()) {
    row["bound_for"] = host.bound_for;
  }
  const auto overdue = snapshot.overdue.find(host.host);
  if (overdue != snapshot.overdue.end()) {
    row["overdue"] = overdue->second;
  }
  return row;
}

json MakeHostsOutJson(const PoolSnapshot& snapshot, const config::Wave& wave) {
  json out = json::array();
  for (const auto& [name, stored] : snapshot.state.hosts) {
    if (stored.record.wave == wave.name) {
      out.push_back(MakeHostJson(snapshot, stored.record));
    }
  }
  return out;
}

json MakeFailuresJson(const fleet::WaveRecord& record) {
  json failures = json::array();
  for (const fleet::WaveFailure& failure : record.failures) {
    failures.push_back(
        {{"host", failure.host}, {"evidence", failure.evidence}});
  }
  return failures;
}

// The actions on a wave that are valid in its state.
std::vector<std::string> PossibleActions(fleet::WaveState state) {
  switch (state) {
    case fleet::WaveState::kPlanned:
    case fleet::WaveState::kFinished:
    case fleet::WaveState::kAborted:
      return {"start"};
    case fleet::WaveState::kRunning:
      return {"pause", "abort"};
    case fleet::WaveState::kPaused:
    case fleet::WaveState::kHalted:
      return {"resume", "abort"};
  }
  return {};
}

}  // namespace

std::map<std::string, std::vector<fleet::HostView>> MakeHostViews(
    const PoolSnapshot& snapshot) {
  std::map<std::string, std::vector<fleet::HostView>> views;
  const fleet::FleetIndex index =
      fleet::MakeFleetIndex(snapshot.document->fleet);
  for (const auto& [name, stored] : snapshot.state.hosts) {
    const fleet::DeclaredHost* declared = fleet::FindHost(index, name);
    fleet::HostView view;
    view.host.name = name;
    if (declared != nullptr) {
      view.host = *declared->host;
    }
    view.pool = stored.record.pool;
    view.state = stored.record.state;
    const auto expected = snapshot.drain_times.find(name);
    if (expected != snapshot.drain_times.end()) {
      view.drain_expected = expected->second;
    }
    views[view.pool].push_back(std::move(view));
  }
  return views;
}

json MakePoolJson(const PoolSnapshot& snapshot, const config::Pool& pool) {
  const fleet::PoolRecord record =
      fleet::FindPoolRecord(snapshot.state, pool.name).record;
  const fleet::BudgetCount count = fleet::CountBudget(&pool, record, {});
  json out = json::array();
  for (const auto& [host, entry] : record.out) {
    const auto found = snapshot.state.hosts.find(host);
    if (found != snapshot.state.hosts.end()) {
      json row = MakeHostJson(snapshot, found->second.record);
      row["replaced_by"] = entry.replaced_by;
      out.push_back(std::move(row));
    }
  }
  const auto views = snapshot.views.find(pool.name);
  const std::size_t hosts =
      views == snapshot.views.end() ? 0 : views->second.size();
  return {{"pool", pool.name},
          {"spare", pool.spare},
          {"hosts", hosts},
          {"max_out", count.max_out},
          {"counted_out", count.Out()},
          {"budget", fleet::Describe(count)},
          {"out", std::move(out)}};
}

json MakeWaveJson(const PoolSnapshot& snapshot, const config::Wave& wave) {
  const fleet::WaveRecord record =
      fleet::FindWaveRecord(snapshot.state, wave.name).record;
  json body{{"wave", wave.name},
            {"state", fleet::NameOf(record.state)},
            {"since", FormatSince(record.since_ms)},
            {"changed_by", record.changed_by},
            {"detail", record.detail},
            {"run", record.run},
            {"pools", wave.pools},
            {"window", fleet::Describe(wave.window)},
            {"canary", record.canary},
            {"canaries_done", record.canaries_done},
            {"failures", MakeFailuresJson(record)},
            {"accepted_failures", record.accepted_failures},
            {"out", MakeHostsOutJson(snapshot, wave)},
            {"acts", PossibleActions(record.state)}};
  const auto forecast = snapshot.forecasts.find(wave.name);
  if (forecast != snapshot.forecasts.end()) {
    body["hosts"] = forecast->second.total;
    body["done"] = forecast->second.done;
    body["left_out"] = forecast->second.left_out;
    body["forecast"]["basis"] = forecast->second.basis;
    if (forecast->second.finish) {
      body["forecast"]["finish"] =
          base::FormatWallTime(*forecast->second.finish);
    }
  }
  const auto limits = snapshot.limits.find(wave.name);
  if (limits != snapshot.limits.end()) {
    body["limits"] = limits->second;
  }
  body["obstacles"] = fleet::FindWaveObstacles(snapshot.document->fleet, wave,
                                               snapshot.wall_time, {});
  return body;
}

}  // namespace cassiastile::control
