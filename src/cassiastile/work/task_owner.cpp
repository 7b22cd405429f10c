#include "cassiastile/work/task_owner.hpp"

#include <algorithm>
#include <array>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::work {

namespace {

constexpr std::array<base::EnumName<Effect>, 3> kEffectNames{{
    {Effect::kCommitted, "committed"},
    {Effect::kNotRun, "not-run"},
    {Effect::kUnknown, "unknown"},
}};

// Whether an event with this reply takes effect only with the batch's rows.
bool NeedsRows(const TaskReply& reply) {
  return reply.verdict == Verdict::kDone || reply.verdict == Verdict::kSame;
}

}  // namespace

std::string_view NameOf(Effect effect) {
  return base::FindName(kEffectNames, effect);
}

TaskOwner::TaskOwner(const std::string& pool,
                     TaskOwnerOptions options,
                     platform::Table& table,
                     base::DecisionSink& decisions,
                     base::Random random)
    : m_options(options),
      m_decisions(decisions),
      m_shard(pool, options.shard, base::Random(random())),
      m_store(table, pool, base::Random(random())) {}

void TaskOwner::SetFleet(const config::AcceptedFleet& accepted) {
  m_limits.clear();
  for (const config::Limit& limit : accepted.fleet.limits) {
    m_limits[limit.team] = limit.tasks;
  }
  m_shard.SetFleet(accepted);
  m_last_credit_exchange = {};
}

void TaskOwner::SetHosts(const std::vector<fleet::HostView>& hosts) {
  m_shard.SetHosts(hosts);
}

std::vector<TaskResult> TaskOwner::ProcessEvents(
    const std::vector<TaskEvent>& events,
    Moment moment,
    const OwnerLease& owner_lease) {
  if (!Prepare(moment, owner_lease)) {
    return RejectAll(events, moment.now);
  }
  if (m_must_read) {
    return HandleWhileReading(events, moment);
  }
  ExchangeCredits(moment);
  TaskBatch batch = m_shard.Propose(events, moment);
  const Effect effect = WriteBatch(batch);
  if (effect != Effect::kCommitted) {
    StartBackoff(moment.now);
  }
  std::vector<TaskResult> results(events.size());
  for (std::size_t index = 0; index < events.size(); ++index) {
    results[index].reply = std::move(batch.replies[index]);
    if (NeedsRows(results[index].reply)) {
      results[index].effect = effect;
    }
    const auto* poll = std::get_if<WorkerPoll>(&events[index]);
    if (poll != nullptr && results[index].reply.verdict == Verdict::kDone) {
      results[index].answer =
          effect == Effect::kUnknown ? MakeRenewal() : m_shard.Answer(*poll);
      results[index].answer->shard_epoch =
          effect == Effect::kUnknown ? 0 : m_owner_lease.epoch;
    }
  }
  return results;
}

bool TaskOwner::IsSettled() const {
  return !m_must_read && !m_store.IsPending();
}

std::uint64_t TaskOwner::BatchesWritten() const {
  return m_batches_written;
}

const TaskShard& TaskOwner::Shard() const {
  return m_shard;
}

TaskShard& TaskOwner::Shard() {
  return m_shard;
}

bool TaskOwner::Prepare(Moment moment, const OwnerLease& owner_lease) {
  if (owner_lease.epoch != m_owner_lease.epoch ||
      owner_lease.fence.version != m_owner_lease.fence.version) {
    m_owner_lease = owner_lease;
    BeginRead();
    m_retry_at = {};
  }
  if (moment.now < m_retry_at) {
    return false;
  }
  if (!ResolvePending() || !ReadIfNeeded(moment)) {
    StartBackoff(moment.now);
    return false;
  }
  return true;
}

bool TaskOwner::ResolvePending() {
  if (!m_store.IsPending()) {
    return true;
  }
  const auto resolved = m_store.Resolve();
  if (resolved) {
    Record(std::move(m_pending_decisions));
    Record(m_shard.Confirm());
    return true;
  }
  if (resolved.error().code == base::ErrorCode::kUnknown) {
    return false;
  }
  RecordRefusals(std::move(m_pending_decisions));
  m_shard.RollBack();
  BeginRead();
  return true;
}

std::vector<TaskResult> TaskOwner::HandleWhileReading(
    const std::vector<TaskEvent>& events,
    Moment moment) {
  std::vector<TaskResult> results = RejectAll(events, moment.now);
  if (!m_options.accept_submissions_while_reading) {
    return results;
  }
  std::vector<TaskEvent> submissions;
  std::vector<std::size_t> positions;
  for (std::size_t index = 0; index < events.size(); ++index) {
    if (std::holds_alternative<SubmitEvent>(events[index])) {
      submissions.push_back(events[index]);
      positions.push_back(index);
    }
  }
  TaskBatch batch = m_shard.Propose(submissions, moment);
  const Effect effect = WriteBatch(batch);
  for (std::size_t index = 0; index < positions.size(); ++index) {
    TaskResult& result = results[positions[index]];
    result.reply = std::move(batch.replies[index]);
    result.effect = NeedsRows(result.reply) ? effect : Effect::kCommitted;
  }
  return results;
}

void TaskOwner::BeginRead() {
  m_must_read = true;
  m_read_after.reset();
}

bool TaskOwner::ReadIfNeeded(Moment moment) {
  if (!m_must_read) {
    return true;
  }
  if (!m_read_after) {
    m_shard.BeginLoad();
    m_read_after = "";
  }
  auto page = m_store.ReadPage(*m_read_after);
  if (!page) {
    return false;
  }
  for (StoredTask& stored : page->tasks) {
    m_shard.Load(std::move(stored.task), stored.version);
  }
  m_read_after = page->last_key;
  if (!page->is_last) {
    return true;
  }
  m_shard.EndLoad(moment);
  m_read_after.reset();
  m_shard.SetGrants({});
  m_grants.clear();
  m_last_credit_exchange = {};
  m_must_read = false;
  return true;
}

void TaskOwner::ExchangeCredits(Moment moment) {
  const base::Duration every = WaitsForCredit()
                                   ? m_options.credit_fetch_interval
                                   : m_options.credit_return_interval;
  if (m_limits.empty() || (m_last_credit_exchange != base::TimePoint{} &&
                           moment.now - m_last_credit_exchange < every)) {
    return;
  }
  m_last_credit_exchange = moment.now;
  const auto grants =
      m_store.ExchangeCredits(LimitNeeds(), m_grants, m_owner_lease.fence);
  if (!grants) {
    return;
  }
  m_grants = *grants;
  m_shard.SetGrants(m_grants);
}

std::map<std::string, LimitNeed> TaskOwner::LimitNeeds() const {
  std::map<std::string, LimitNeed> needs;
  for (const auto& [team, limit] : m_limits) {
    const LimitNeed need{limit, m_shard.InUse(team),
                         std::min(m_shard.Wanted(team), limit)};
    const auto held = m_grants.find(team);
    const bool holds = held != m_grants.end() && held->second > 0;
    if (need.in_use > 0 || need.wanted > 0 || holds ||
        m_last_credit_exchange == base::TimePoint{}) {
      needs[team] = need;
    }
  }
  return needs;
}

bool TaskOwner::WaitsForCredit() const {
  for (const auto& [team, limit] : m_limits) {
    const auto held = m_grants.find(team);
    const std::uint32_t granted = held == m_grants.end() ? 0 : held->second;
    if (granted < std::min(m_shard.Wanted(team), limit)) {
      return true;
    }
  }
  return false;
}

Effect TaskOwner::WriteBatch(TaskBatch& batch) {
  if (batch.rows.empty()) {
    Record(std::move(batch.decisions));
    Record(m_shard.Confirm());
    return Effect::kCommitted;
  }
  ++m_batches_written;
  const auto written = m_store.Write(batch.rows, m_owner_lease.fence);
  if (written) {
    m_backoff = {};
    Record(std::move(batch.decisions));
    Record(m_shard.Confirm());
    return Effect::kCommitted;
  }
  if (written.error().code == base::ErrorCode::kUnknown) {
    m_pending_decisions = std::move(batch.decisions);
    return Effect::kUnknown;
  }
  RecordRefusals(std::move(batch.decisions));
  m_shard.RollBack();
  // A conflict while reading may only mean that a resubmitted id is in a page
  // that was not read yet.
  if (written.error().code == base::ErrorCode::kConflict && !m_must_read) {
    BeginRead();
  }
  return Effect::kNotRun;
}

void TaskOwner::StartBackoff(base::TimePoint now) {
  m_backoff = m_backoff == base::Duration{}
                  ? m_options.first_backoff
                  : std::min(m_backoff * 2, m_options.max_backoff);
  m_retry_at = now + m_backoff;
}

std::vector<TaskResult> TaskOwner::RejectAll(
    const std::vector<TaskEvent>& events,
    base::TimePoint now) {
  std::vector<TaskResult> results(events.size());
  for (std::size_t index = 0; index < events.size(); ++index) {
    results[index].effect = Effect::kNotRun;
    if (const auto* poll = std::get_if<WorkerPoll>(&events[index])) {
      m_shard.RecordPoll(*poll, now);
      results[index].answer = MakeRenewal();
    }
  }
  return results;
}

PollAnswer TaskOwner::MakeRenewal() const {
  PollAnswer answer;
  answer.pool = m_shard.Pool();
  answer.lease = m_options.shard.lease;
  answer.poll_after = m_options.shard.poll_after;
  return answer;
}

void TaskOwner::RecordRefusals(std::vector<base::Decision> decisions) {
  std::erase_if(decisions, [](const base::Decision& decision) {
    return decision.kind != base::DecisionKind::kRefusal;
  });
  Record(std::move(decisions));
}

void TaskOwner::Record(std::vector<base::Decision> decisions) {
  for (base::Decision& decision : decisions) {
    m_decisions.Record(std::move(decision));
  }
}

}  // namespace cassiastile::work
