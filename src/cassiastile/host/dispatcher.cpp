#include "cassiastile/host/dispatcher.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/host/worker_lease.hpp"

namespace cassiastile::host {

namespace {

// Events that arrive within this time for each worker are planned together: a
// plan looks at all waiting tasks and workers, however few have changed.
constexpr std::chrono::microseconds kPlanDelayPerWorker{20};
constexpr std::chrono::microseconds kMinPlanDelay{5000};
constexpr std::chrono::microseconds kMaxPlanDelay{25000};
// While the next two commits are full, what is placed now waits for a later one
// and holds its worker; a round then waits for commits, up to this long.
constexpr std::chrono::milliseconds kMaxPlanPause{100};
constexpr std::size_t kFullCommits = 2;
constexpr std::chrono::milliseconds kTickInterval{20};
// Rows that no caller waits for are written together after this time for each
// worker: at peak load every running job changes several times in it, and its
// row is written once.
constexpr std::chrono::milliseconds kDeferredCommitDelayPerWorker{2};
constexpr std::chrono::milliseconds kMinDeferredCommitDelay{40};
constexpr std::chrono::milliseconds kMaxDeferredCommitDelay{300};
// An idle leader still rewrites its record, so that other hosts see that it is
// alive.
constexpr std::chrono::milliseconds kRenewalInterval{500};
// Commits that fail for longer than this count as an outage of the store.
constexpr std::chrono::milliseconds kOutageAfter{400};
// A commit that has had no answer for this long, after four attempts.
constexpr std::chrono::milliseconds kOverdueCommit{1000};
// How long a caller waits at most until the store has confirmed the term.
constexpr std::chrono::milliseconds kMaxConfirmation{1500};
constexpr std::chrono::milliseconds kMaxConfirmationInOutage{100};
// A leader that can't confirm its term keeps extending worker leases for this
// long. A new leader waits this long, and then for one lease, before it gives
// up silent workers.
constexpr std::chrono::milliseconds kUnconfirmedTerm{8000};
constexpr std::chrono::milliseconds kReadRetryDelay{200};
// Without changes, the list of workers is confirmed this often. Twice this and
// the pause stay below SchedulerOptions::max_list_age.
constexpr std::chrono::milliseconds kWorkerFeedWait{200};
constexpr std::chrono::milliseconds kWorkerFeedPause{200};
// Heartbeats that tell nothing new make the list of workers known to the
// scheduler anew this often at most, for what depends on time.
constexpr std::chrono::milliseconds kListInterval{500};
// A page of the feed with this many rows or more may be cut: the store holds
// back what does not fit. Each heartbeat of a worker is a row.
constexpr std::size_t kMaybeCutPage = 100;
// How long a start may be on its way through a relay.
constexpr std::chrono::milliseconds kStartDelivery{1000};
// A commit that takes longer, or a placed run that waits longer for one, is
// logged, at most once in kSlowLogInterval.
constexpr std::chrono::milliseconds kSlowCommit{300};
constexpr std::chrono::milliseconds kSlowLogInterval{1000};
constexpr std::chrono::milliseconds kLoadLogInterval{1000};
constexpr std::chrono::milliseconds kStalledAfter{2000};
constexpr std::size_t kMaxLoggedStalls = 5;
// Learnt durations change slowly, so they are stored rarely.
constexpr std::chrono::milliseconds kDurationsInterval{3000};
constexpr char kDurationsKey[] = "durations";
constexpr char kRecordSuffix[] = ".r";
constexpr char kProgressSuffix[] = ".p";
constexpr std::size_t kSuffixLength = 2;

jobs::SchedulerOptions MakeSchedulerOptions(const HostSettings& settings) {
  jobs::SchedulerOptions options;
  options.keep_finished = settings.keep_finished;
  options.max_worker_lease = settings.max_worker_lease;
  options.max_reserved_starts = settings.max_reserved_starts;
  options.share_by_weight = settings.share_by_weight;
  options.avoid_slow_workers = settings.avoid_slow_workers;
  options.max_list_age =
      std::max(options.max_list_age, settings.drain_time - kStartDelivery);
  if (settings.evacuation_time.count() > 0) {
    options.max_evacuations_age = settings.evacuation_time - kStartDelivery;
  }
  return options;
}

// The key of a row of a job. Those of a segment sort by its number, then by
// their place in it.
std::string KeyOf(const jobs::JobRow& row) {
  if (row.segment) {
    return fmt::format("{}.{:016x}.{:04x}", row.job, *row.segment, row.place);
  }
  return row.job + (row.is_record ? kRecordSuffix : kProgressSuffix);
}

struct SegmentKey {
  std::string job;
  jobs::SegmentNumber segment = 0;
};

// Fails with kInvalid for a key that KeyOf does not make.
base::Result<SegmentKey> DecodeSegmentKey(const std::string& key) {
  constexpr std::size_t kSegmentDigits = 16;
  constexpr std::size_t kSuffix = kSegmentDigits + 6;
  constexpr int kHexadecimal = 16;
  SegmentKey decoded;
  if (key.size() > kSuffix) {
    decoded.job = key.substr(0, key.size() - kSuffix);
    const char* first = key.data() + decoded.job.size() + 1;
    const char* last = first + kSegmentDigits;
    const auto read =
        std::from_chars(first, last, decoded.segment, kHexadecimal);
    if (read.ec == std::errc() && read.ptr == last) {
      return decoded;
    }
  }
  return base::Fail(base::ErrorCode::kInvalid,
                    fmt::format("key of a segment: {}", key));
}

}  // namespace

Dispatcher::Dispatcher(HostDependencies& dependencies,
                       PeerPort& peers,
                       Loop& loop,
                       EventLog& log,
                       const HostSettings& settings,
                       std::unique_ptr<LeaderTransactions> transactions,
                       std::function<void()> on_leadership_lost)
    : m_dependencies(dependencies),
      m_loop(loop),
      m_log(log),
      m_settings(settings),
      m_transactions(std::move(transactions)),
      m_on_leadership_lost(std::move(on_leadership_lost)),
      m_config(std::make_shared<jobs::FleetConfig>()),
      m_odd_workers(log, "worker.bad_entry"),
      m_scheduler(MakeSchedulerOptions(settings)),
      m_workers(dependencies.workers,
                peers,
                loop,
                log,
                settings.address + ":" + std::to_string(settings.peer_port),
                {.min_workers = settings.min_relayed_workers}),
      m_machine_controller(
          dependencies.machines,
          dependencies.store,
          loop,
          log,
          m_scheduler,
          {.leader = settings.host,
           .machine_order_lease = settings.machine_order_lease},
          [this](Row row, std::function<void()> stored) {
            m_pending_rows.emplace_back(std::move(row), std::move(stored));
            RequestPlan();
          },
          dependencies.status_table,
          dependencies.wave_prefix,
          dependencies.encode_wave_state),
      m_term_confirmation(dependencies.store,
                          loop,
                          *m_transactions,
                          [this] { HandleOtherLeader(); }),
      m_cancel_markers({.keep = settings.keep_finished}) {}

Dispatcher::~Dispatcher() {
  // Answers callers that would otherwise wait for a leader that is gone.
  RefuseUnstored({.kind = JobAnswerKind::kNotLeader});
  m_term_confirmation.EndTerm();
  for (auto* waiting : {&m_await_accept, &m_await_cancel}) {
    for (auto& [job, responders] : *waiting) {
      for (const Responder& respond : responders) {
        respond({.kind = JobAnswerKind::kOutcomeUnknown});
      }
    }
  }
  for (const auto& [key, responders] : m_await_marker) {
    for (const Responder& respond : responders) {
      respond({.kind = JobAnswerKind::kOutcomeUnknown});
    }
  }
}

void Dispatcher::Begin() {
  m_last_commit_at = m_loop.GetClock().Now();
  ReadJobs();
}

void Dispatcher::ReadUntilAnswered(
    const std::string& table,
    const std::string& part,
    const std::function<void(RowPage)>& on_rows) {
  ReadAllRows(m_dependencies.store, table, part,
              m_lifetime.Guard(
                  [this, table, part, on_rows](base::Result<RowPage> page) {
                    if (page) {
                      on_rows(std::move(*page));
                      return;
                    }
                    m_log.Write(
                        "office.read_failed",
                        {{"table", table}, {"error", page.error().message}});
                    m_loop.After(kReadRetryDelay,
                                 m_lifetime.Guard([this, table, part, on_rows] {
                                   ReadUntilAnswered(table, part, on_rows);
                                 }));
                  }));
}

void Dispatcher::ReadSegments() {
  ReadUntilAnswered(kSegmentTable, kLeaderPart, [this](const RowPage& page) {
    for (const Row& row : page.rows) {
      const auto key = DecodeSegmentKey(row.key);
      if (!key) {
        m_log.Write("office.bad_row", {{"error", key.error().message}});
        continue;
      }
      // Rows come in the order of their keys.
      jobs::StoredSegment& segment =
          m_recovered[key->job].segments[key->segment];
      segment.bytes += row.value;
      ++segment.rows;
    }
    ReadMachineRows();
  });
}

void Dispatcher::ReadJobs() {
  ReadUntilAnswered(kJobTable, kLeaderPart, [this](const RowPage& page) {
    for (const Row& row : page.rows) {
      const std::string id = row.key.substr(0, row.key.size() - kSuffixLength);
      StoredJob& job = m_recovered[id];
      (row.key.ends_with(kRecordSuffix) ? job.record : job.progress) =
          row.value;
    }
    ReadSegments();
  });
}

void Dispatcher::ReadMachineRows() {
  ReadUntilAnswered(kMachineTable, kLeaderPart, [this](const RowPage& page) {
    for (const Row& row : page.rows) {
      m_machine_controller.Recover(row);
    }
    ReadDurations();
  });
}

void Dispatcher::ReadDurations() {
  ReadUntilAnswered(kLearntTable, kLeaderPart, [this](const RowPage& page) {
    for (const Row& row : page.rows) {
      auto durations = jobs::DurationModel::Decode(row.value);
      if (durations) {
        m_scheduler.SetDurations(std::move(*durations));
      } else {
        m_log.Write("office.bad_row", {{"error", durations.error().message}});
      }
    }
    ReadCancelMarkers();
  });
}

void Dispatcher::ReadCancelMarkers() {
  ReadUntilAnswered(kCancelTable, kLeaderPart, [this](const RowPage& page) {
    for (const Row& row : page.rows) {
      const auto read = m_cancel_markers.Recover(row.key, row.value,
                                                 m_transactions->StoreNow());
      if (!read) {
        m_log.Write("office.bad_row", {{"error", read.error().message}});
      }
    }
    ReadIncarnations();
  });
}

void Dispatcher::ReadIncarnations() {
  ReadUntilAnswered(
      kIncarnationTable, kLeaderPart, [this](const RowPage& page) {
        for (const Row& row : page.rows) {
          const auto read =
              m_scheduler.Incarnations().Recover(row.key, row.value);
          if (!read) {
            m_log.Write("office.bad_row", {{"error", read.error().message}});
          }
        }
        ReadWorkers();
      });
}

void Dispatcher::StoreDurations() {
  const base::TimePoint now = m_loop.GetClock().Now();
  const std::uint64_t revision = m_scheduler.Durations().Revision();
  if (!m_serving || revision == m_stored_durations_revision ||
      now - m_durations_stored_at < kDurationsInterval) {
    return;
  }
  m_stored_durations_revision = revision;
  m_durations_stored_at = now;
  m_pending_rows.emplace_back(Row{kLearntTable, kLeaderPart, kDurationsKey,
                                  m_scheduler.Durations().Encode(), 0, false},
                              [] {});
}

void Dispatcher::ReadWorkers() {
  ReadUntilAnswered(
      m_dependencies.worker_table, "",
      [this, asked_at = m_loop.GetClock().Now()](const RowPage& page) {
        m_worker_entries.clear();
        m_workers_listed_at = {};
        m_worker_feed_version = page.version;
        ApplyWorkerRows(page.rows);
        m_scheduler.ListConfirmed(asked_at);
        if (!m_serving) {
          StartServing();
        }
        FeedWorkers();
      });
}

void Dispatcher::FeedWorkers() {
  m_dependencies.store.Feed(
      m_dependencies.worker_table, m_worker_feed_version, kWorkerFeedWait,
      m_lifetime.Guard([this, asked_at = m_loop.GetClock().Now()](
                           base::Result<FeedPage> page) {
        if (page && page->history_compacted) {
          ReadWorkers();
          return;
        }
        if (page) {
          m_worker_feed_version =
              std::max(m_worker_feed_version, page->version);
          ApplyWorkerRows(page->rows);
          if (page->rows.size() >= kMaybeCutPage) {
            FeedWorkers();
            return;
          }
          m_scheduler.ListConfirmed(asked_at);
        }
        m_loop.After(kWorkerFeedPause,
                     m_lifetime.Guard([this] { FeedWorkers(); }));
      }));
}

void Dispatcher::ApplyWorkerRows(const std::vector<Row>& rows) {
  bool is_changed = false;
  for (const Row& row : rows) {
    if (!row.part.empty()) {
      // The workers write to the table's unnamed part; another writer may use
      // one of their ids.
      m_odd_workers.LeftOut(row.table, row.part + "/" + row.key,
                            "not in the part of the workers");
      continue;
    }
    if (row.deleted) {
      m_worker_entries.erase(row.key);
      is_changed = true;
      m_log.Write("worker.left_list", {{"worker", row.key}});
      continue;
    }
    auto entry = m_dependencies.decode_worker(row.key, row.value);
    if (!entry) {
      m_odd_workers.LeftOut(row.table, row.key, entry.error().message);
      if (m_worker_entries.erase(row.key) > 0) {
        is_changed = true;
      }
      continue;
    }
    if (!m_config->IsServiceKnown(entry->service)) {
      m_odd_workers.LeftOut(row.table, row.key,
                            "no configuration has its service");
    }
    const auto known = m_worker_entries.find(row.key);
    if (known == m_worker_entries.end() || known->second.id != entry->id ||
        known->second.draining != entry->draining) {
      m_log.Write("worker.listed", {{"worker", row.key},
                                    {"born", entry->id.incarnation_ms},
                                    {"service", entry->service},
                                    {"machine", entry->machine},
                                    {"draining", entry->draining},
                                    {"row_version", row.version}});
    }
    if (known == m_worker_entries.end() || known->second != *entry) {
      is_changed = true;
      m_worker_entries[row.key] = std::move(*entry);
    }
  }
  const base::TimePoint now = m_loop.GetClock().Now();
  if (is_changed || !m_serving || now - m_workers_listed_at >= kListInterval) {
    ListWorkers();
  }
}

void Dispatcher::ListWorkers() {
  const base::TimePoint now = m_loop.GetClock().Now();
  m_workers_listed_at = now;
  std::vector<jobs::WorkerEntry> entries;
  entries.reserve(m_worker_entries.size());
  for (const auto& [id, entry] : m_worker_entries) {
    if (m_config->IsServiceKnown(entry.service) ||
        m_scheduler.IsServiceInUse(entry.service) || HoldsRuns(id)) {
      entries.push_back(entry);
    }
  }
  m_scheduler.WorkersListed(entries, now);
  RequestPlan();
}

bool Dispatcher::HoldsRuns(const std::string& worker) const {
  const auto found = m_scheduler.Workers().find(worker);
  return found != m_scheduler.Workers().end() &&
         !(found->second.runs.empty() && found->second.withdrawn.empty());
}

std::vector<jobs::Job> Dispatcher::DecodeRecovered() {
  std::vector<jobs::Job> recovered;
  for (const auto& [id, rows] : m_recovered) {
    jobs::Job job;
    job.id = id;
    if (rows.progress.empty()) {
      m_scheduler.RemoveSegments(id, rows.segments);
    }
    // A finished job's record is deleted; its progress is kept for a while.
    base::Result<void> read;
    if (!rows.record.empty()) {
      auto record = jobs::DecodeRecord(id, rows.record);
      if (record) {
        job = std::move(*record);
      } else {
        read = tl::unexpected(record.error());
      }
    }
    if (read) {
      read = jobs::DecodeProgress(job, rows.progress, rows.segments);
    }
    if (read) {
      recovered.push_back(std::move(job));
    } else {
      m_log.Write("office.bad_row", {{"error", read.error().message}});
    }
  }
  m_recovered.clear();
  return recovered;
}

void Dispatcher::StartServing() {
  const base::TimePoint now = m_loop.GetClock().Now();
  std::vector<jobs::Job> recovered = DecodeRecovered();
  const std::size_t count = recovered.size();
  // The previous leader may extend leases until its unconfirmed term ends.
  const base::TimePoint latest_lease_end = LeaseEnd(now + kUnconfirmedTerm);
  m_scheduler.SetStoreClock(m_transactions->StoreNow(),
                            m_transactions->LatestStoreNow(), now);
  m_scheduler.Recover(std::move(recovered), now, m_loop.GetClock().WallNow(),
                      latest_lease_end);
  m_serving = true;
  // The jobs may name services that no configuration has.
  ListWorkers();
  m_machine_controller.Begin(FencingToken(),
                             [this] { return m_transactions->StoreNow(); });
  m_log.Write("office.serving", {{"fence", FencingToken()},
                                 {"jobs", count},
                                 {"workers", m_worker_entries.size()},
                                 {"config_version", m_config->version}});
  Tick();
}

void Dispatcher::ApplyConfig(std::shared_ptr<const jobs::FleetConfig> config) {
  m_config = std::move(config);
  m_scheduler.ApplyConfig(m_config);
  m_machine_controller.ApplyConfig(m_config);
  if (m_serving) {
    // The version may be the first to name the service of a worker.
    ListWorkers();
  }
}

void Dispatcher::ApplyWaves(const std::map<std::uint64_t, WaveRequest>& waves) {
  m_machine_controller.ApplyWaves(waves);
}

void Dispatcher::ApplyEvacuations(const std::set<std::string>& zones,
                                  base::TimePoint as_of) {
  if (m_scheduler.Evacuations().Update(zones, as_of)) {
    RequestPlan();
  }
}

bool Dispatcher::IsStoreUnavailable() const {
  const auto since = m_transactions->FailingSince();
  return since && m_loop.GetClock().Now() - *since > kOutageAfter;
}

bool Dispatcher::IsCommitOverdue() const {
  const auto since = m_transactions->BusySince();
  return since && m_loop.GetClock().Now() - *since > kOverdueCommit;
}

bool Dispatcher::MayGiveOrders() const {
  return !m_term_over &&
         m_loop.GetClock().Now() - m_transactions->ConfirmedAt() <
             kUnconfirmedTerm;
}

void Dispatcher::RequestPlan() {
  if (m_plan_requested || !m_serving) {
    return;
  }
  m_plan_requested = true;
  const auto delay = std::clamp<std::chrono::microseconds>(
      kPlanDelayPerWorker *
          static_cast<std::int64_t>(m_scheduler.Workers().size()),
      kMinPlanDelay, kMaxPlanDelay);
  m_loop.After(delay, m_lifetime.Guard([this] {
    m_plan_requested = false;
    Plan();
  }));
}

void Dispatcher::Plan() {
  if (m_term_over) {
    return;
  }
  const base::Clock& clock = m_loop.GetClock();
  const base::TimePoint began = clock.Now();
  if (m_scheduler.UrgentRows() >= kFullCommits * kMaxJobRows &&
      began - m_planned_at < kMaxPlanPause) {
    CommitPending();
    RequestPlan();
    return;
  }
  m_planned_at = began;
  m_scheduler.SetStoreClock(m_transactions->StoreNow(),
                            m_transactions->LatestStoreNow(), began);
  m_scheduler.Plan(began, clock.WallNow());
  ++m_load.plans;
  m_load.planning += clock.Now() - began;
  SendOrders(m_scheduler.TakeOrders());
  CommitPending();
}

void Dispatcher::Tick() {
  if (m_term_over) {
    return;
  }
  const base::TimePoint now = m_loop.GetClock().Now();
  if (m_tick_due_at != base::TimePoint{}) {
    m_load.longest_delay = std::max(m_load.longest_delay, now - m_tick_due_at);
  }
  PollWorkers();
  if (IsStoreUnavailable() || IsCommitOverdue()) {
    RefuseUnstored(RefuseForOutage());
    m_term_confirmation.GiveUp(now - kMaxConfirmationInOutage);
  }
  m_term_confirmation.GiveUp(now - kMaxConfirmation);
  m_machine_controller.Tick(!IsStoreUnavailable() && MayGiveOrders());
  StoreDurations();
  LogStalledTasks();
  LogLoad();
  CommitPending();
  m_tick_due_at = m_loop.GetClock().Now() + kTickInterval;
  m_loop.After(kTickInterval, m_lifetime.Guard([this] { Tick(); }));
}

void Dispatcher::CommitPending() {
  if (m_transactions->IsBusy() || m_term_over || !m_serving) {
    return;
  }
  const base::TimePoint now = m_loop.GetClock().Now();
  const auto idle = now - m_last_commit_at;
  const auto delay = std::clamp<std::chrono::milliseconds>(
      kDeferredCommitDelayPerWorker *
          static_cast<std::int64_t>(m_scheduler.Workers().size()),
      kMinDeferredCommitDelay, kMaxDeferredCommitDelay);
  const bool writes_all = now - m_last_full_commit_at >= delay;
  const std::chrono::milliseconds store_now = m_transactions->StoreNow();
  const bool due = m_scheduler.HasUrgentRows() || !m_pending_rows.empty() ||
                   m_cancel_markers.HasRows(store_now) ||
                   (m_scheduler.HasRows() && writes_all) ||
                   idle >= kRenewalInterval;
  if (!due) {
    return;
  }
  m_last_commit_at = now;
  ++m_load.commits;
  std::vector<Row> puts;
  for (auto& [key, bytes] : m_scheduler.Incarnations().TakeRows()) {
    puts.push_back(
        {kIncarnationTable, kLeaderPart, key, std::move(bytes), 0, false});
  }
  jobs::Batch batch =
      m_scheduler.TakeBatch(kMaxJobRows - puts.size(), now,
                            writes_all ? jobs::Scheduler::RowChoice::kAll
                                       : jobs::Scheduler::RowChoice::kUrgent);
  if (writes_all && !m_scheduler.HasRows()) {
    m_last_full_commit_at = now;
  }
  m_load.rows += batch.rows.size();
  std::vector<Row> deletes;
  const std::size_t rows = batch.rows.size();
  for (jobs::JobRow& row : std::exchange(batch.rows, {})) {
    const bool is_put = row.bytes.has_value();
    Row put{row.segment ? kSegmentTable : kJobTable, kLeaderPart, KeyOf(row),
            is_put ? std::move(*row.bytes) : "",     0,           false};
    (is_put ? puts : deletes).push_back(std::move(put));
  }
  // With the keys of their rows.
  std::vector<std::pair<std::string, std::function<void()>>> stored;
  std::map<std::string, Row> newest;  // The last row of each key.
  auto other = m_pending_rows.begin();
  for (; other != m_pending_rows.end(); ++other) {
    auto& [row, done] = *other;
    if (newest.size() == kMaxOtherRows && !newest.contains(row.key)) {
      break;
    }
    const std::string key = row.key;
    newest[key] = std::move(row);
    stored.emplace_back(key, std::move(done));
  }
  m_pending_rows.erase(m_pending_rows.begin(), other);
  for (auto& [key, row] : newest) {
    puts.push_back(std::move(row));
  }
  jobs::CancelMarkers::Batch markers = m_cancel_markers.TakeBatch(store_now);
  for (auto& [key, bytes] : std::exchange(markers.rows, {})) {
    const bool is_put = bytes.has_value();
    Row row{kCancelTable, kLeaderPart, key, is_put ? std::move(*bytes) : "", 0,
            false};
    (is_put ? puts : deletes).push_back(std::move(row));
  }
  m_transactions->Commit(
      std::move(puts), std::move(deletes),
      m_lifetime.Guard(
          [this, batch = std::move(batch), markers = std::move(markers),
           stored = std::move(stored), rows, now](bool applied) mutable {
            if (applied) {
              const base::TimePoint confirmed_at =
                  m_transactions->ConfirmedAt();
              LogSlowCommit(rows, now);
              const std::set<std::string> refused = HandleRefusedRows(batch);
              for (const auto& [key, done] : stored) {
                if (!refused.contains(key)) {
                  done();
                }
              }
              HandleMarkersStored(markers);
              HandleCommitted(batch);
              m_term_confirmation.Confirmed(confirmed_at);
            } else {
              LoseLeadership();
            }
          }));
}

std::set<std::string> Dispatcher::HandleRefusedRows(jobs::Batch& batch) {
  std::set<std::string> other_rows;
  for (const auto& [table, key] : m_transactions->Refused()) {
    std::string job;
    if (table == kJobTable) {
      job = key.substr(0, key.size() - kSuffixLength);
    } else if (const auto segment = DecodeSegmentKey(key);
               table == kSegmentTable && segment) {
      job = segment->job;
    } else {
      other_rows.insert(key);
      continue;
    }
    m_log.Write("job.set_aside", {{"job", job}, {"fence", FencingToken()}});
    if (m_scheduler.SetAside(job, batch, m_loop.GetClock().Now())) {
      continue;
    }
    m_commit_queue.Remove(job);
    const auto waiting = m_await_accept.extract(job);
    if (!waiting.empty()) {
      for (const Responder& respond : waiting.mapped()) {
        respond({.kind = JobAnswerKind::kInvalid,
                 .detail = "the store does not take the job"});
      }
    }
  }
  return other_rows;
}

void Dispatcher::HandleMarkersStored(const jobs::CancelMarkers::Batch& batch) {
  m_cancel_markers.Confirm(batch);
  for (const jobs::CancelMarkers::Key& key : batch.markers) {
    const auto waiting = m_await_marker.extract(key);
    if (waiting.empty()) {
      continue;
    }
    for (const Responder& respond : waiting.mapped()) {
      respond({.kind = JobAnswerKind::kOk});
    }
  }
}

void Dispatcher::LogSlowCommit(std::size_t rows, base::TimePoint taken_at) {
  const base::TimePoint now = m_loop.GetClock().Now();
  const auto backlog = m_scheduler.GetRowBacklog(now);
  if ((now - taken_at < kSlowCommit && backlog.oldest_start < kSlowCommit) ||
      now - m_slow_commit_logged_at < kSlowLogInterval) {
    return;
  }
  m_slow_commit_logged_at = now;
  m_log.Write("commit.slow",
              {{"after_ms", base::Milliseconds(now - taken_at)},
               {"rows", rows},
               {"urgent_jobs", backlog.urgent},
               {"deferred_jobs", backlog.deferred},
               {"waiting_starts", backlog.starts},
               {"oldest_start_ms", base::Milliseconds(backlog.oldest_start)}});
}

void Dispatcher::LogStalledTasks() {
  const base::TimePoint now = m_loop.GetClock().Now();
  if (!m_serving || now - m_stalls_logged_at < kSlowLogInterval) {
    return;
  }
  m_stalls_logged_at = now;
  std::size_t logged = 0;
  for (const jobs::StalledTask& task :
       m_scheduler.FindStalledTasks(kStalledAfter, now)) {
    if (++logged > kMaxLoggedStalls) {
      break;
    }
    m_log.Write(
        "task.stalled",
        {{"job", task.task.job},
         {"task", {task.task.occurrence, task.task.step, task.task.index}},
         {"reason", base::FindName(jobs::kStallReasonNames, task.reason)},
         {"stalled_ms", base::Milliseconds(task.stalled)},
         {"worker", task.worker}});
  }
}

void Dispatcher::LogLoad() {
  const base::TimePoint now = m_loop.GetClock().Now();
  if (now - m_load_logged_at < kLoadLogInterval) {
    return;
  }
  const base::Duration processor_time = ProcessorTime();
  const std::uint64_t resends = m_transactions->Resends();
  const std::size_t direct_calls = m_workers.TakeDirectCalls();
  if (m_load_logged_at != base::TimePoint{}) {
    m_log.Write("office.load",
                {{"over_ms", base::Milliseconds(now - m_load_logged_at)},
                 {"processor_ms",
                  base::Milliseconds(processor_time - m_logged_processor_time)},
                 {"late_ms", base::Milliseconds(m_load.longest_delay)},
                 {"plans", m_load.plans},
                 {"plan_ms", base::Milliseconds(m_load.planning)},
                 {"commits", m_load.commits},
                 {"resent", resends - m_logged_resends},
                 {"rows", m_load.rows},
                 {"submissions", m_load.submissions},
                 {"starts", m_load.starts},
                 {"reports", m_load.reports},
                 {"direct_calls", direct_calls},
                 {"confirmation_waits",
                  m_term_confirmation.Waits() - m_logged_confirmation_waits},
                 {"confirmation_reads",
                  m_term_confirmation.Reads() - m_logged_confirmation_reads},
                 {"jobs", m_scheduler.JobCount()}});
  }
  m_load = {};
  m_load_logged_at = now;
  m_logged_processor_time = processor_time;
  m_logged_resends = resends;
  m_logged_confirmation_waits = m_term_confirmation.Waits();
  m_logged_confirmation_reads = m_term_confirmation.Reads();
}

void Dispatcher::HandleCommitted(const jobs::Batch& batch) {
  m_scheduler.Confirm(batch, m_loop.GetClock().Now());
  for (const std::string& job : batch.accepted) {
    LogAccepted(job);
    m_commit_queue.Stored(job, m_loop.GetClock().Now());
    const auto waiting = m_await_accept.extract(job);
    if (!waiting.empty()) {
      for (const Responder& respond : waiting.mapped()) {
        respond({.kind = JobAnswerKind::kOk});
      }
    }
  }
  for (const auto& [job, phase] : batch.phases) {
    if (!jobs::IsFinished(phase)) {
      continue;
    }
    LogFinished(job, phase);
    const auto waiting = m_await_cancel.extract(job);
    if (!waiting.empty()) {
      for (const Responder& respond : waiting.mapped()) {
        respond({.kind = JobAnswerKind::kOk});
      }
    }
  }
  SendOrders(m_scheduler.TakeOrders());
  if (m_after_commit) {
    std::exchange(m_after_commit, nullptr)();
    return;
  }
  CommitPending();
}

void Dispatcher::LogAccepted(const std::string& id) {
  const jobs::Job* job = m_scheduler.FindJob(id);
  if (job == nullptr) {
    return;
  }
  const base::TimePoint now = m_loop.GetClock().Now();
  m_log.Write(
      "job.accepted",
      {{"job", id},
       {"queue", job->queue},
       {"service", job->service},
       {"customer", job->customer},
       {"age_ms", base::Milliseconds(now - job->arrived_at)},
       {"allowed_ms", base::Milliseconds(job->objective - job->arrived_at)},
       {"fence", FencingToken()}});
}

void Dispatcher::LogFinished(const std::string& id, jobs::JobPhase phase) {
  const jobs::Job* job = m_scheduler.FindJob(id);
  if (job == nullptr) {
    return;
  }
  const auto age = job->finished_at - job->arrived_at;
  m_log.Metrics().Observe(Latency::kJob, age);
  m_log.Write(
      "job.finished",
      {{"job", id},
       {"phase", base::FindName(jobs::kJobPhaseNames, phase)},
       {"age_ms", base::Milliseconds(age)},
       {"allowed_ms", base::Milliseconds(job->objective - job->arrived_at)},
       {"late", job->finished_at > job->objective}});
}

void Dispatcher::HandleOtherLeader() {
  // A term that resigns ends with the commit that stores this.
  if (!m_term_over) {
    LoseLeadership();
  }
}

void Dispatcher::LoseLeadership() {
  m_term_over = true;
  m_log.Write("office.lost", {{"fence", FencingToken()}});
  m_on_leadership_lost();
}

void Dispatcher::Resign(std::function<void()> done) {
  const auto resign = [this, done = std::move(done)] {
    m_term_over = true;
    m_log.Write("office.resigned", {{"fence", FencingToken()}});
    m_transactions->Resign([done](bool) { done(); });
  };
  if (m_transactions->IsBusy()) {
    m_after_commit = resign;
  } else {
    resign();
  }
}

}  // namespace cassiastile::host
