#include "cassiastile/platform/decision_log.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiastile/platform/decision_json.hpp"

namespace cassiastile::platform {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "decisions/";

std::string ObjectName(const std::string& process, std::uint64_t first) {
  return fmt::format("{}{}/{:012}", kPrefix, process, first);
}

// The process part of an object's name.
std::string ProcessOf(const std::string& name) {
  const std::size_t end = name.rfind('/');
  return name.substr(kPrefix.size(), end - kPrefix.size());
}

base::Result<json> ReadBatch(ObjectStore& objects, const std::string& name) {
  const base::Result<std::string> content = objects.Get(name);
  if (!content) {
    return tl::unexpected(content.error());
  }
  json batch = json::parse(*content, nullptr, false);
  if (!batch.is_object() || !batch.contains("decisions")) {
    return base::Fail(base::ErrorCode::kInternal,
                      "The object " + name + " is not a batch of decisions.");
  }
  return batch;
}

std::optional<base::Decision> FindInBatch(const json& batch,
                                          const std::string& id) {
  for (const json& item : batch.at("decisions")) {
    if (item.value("id", "") == id) {
      return item.get<base::Decision>();
    }
  }
  return std::nullopt;
}

}  // namespace

std::unique_ptr<DecisionLog> DecisionLog::Create(ObjectStore& objects,
                                                 DecisionLogOptions options) {
  std::unique_ptr<DecisionLog> log(
      new DecisionLog(objects, std::move(options)));
  log->m_thread = std::thread([&log = *log] { log.Run(); });
  return log;
}

DecisionLog::DecisionLog(ObjectStore& objects, DecisionLogOptions options)
    : m_objects(objects), m_options(std::move(options)) {}

DecisionLog::~DecisionLog() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  m_thread.join();
  while (Flush()) {
  }
}

void DecisionLog::Record(base::Decision decision) {
  const std::lock_guard lock(m_mutex);
  ++m_counts.recorded;
  m_recent.push_back(decision);
  if (m_recent.size() > m_options.max_recent) {
    m_recent.pop_front();
  }
  m_unstored.push_back({m_next_number++, std::move(decision)});
  if (m_unstored.size() > m_options.max_unstored) {
    m_unstored.pop_front();
    ++m_counts.dropped;
  }
}

bool DecisionLog::Flush() {
  const std::lock_guard flush_lock(m_flush_mutex);
  const std::vector<Numbered> batch = NextBatch();
  if (batch.empty()) {
    return false;
  }
  json decisions = json::array();
  for (const Numbered& numbered : batch) {
    decisions.push_back(numbered.decision);
  }
  const std::uint64_t first = batch.front().number;
  const std::uint64_t last = batch.back().number;
  const json object{
      {"first", first}, {"last", last}, {"decisions", std::move(decisions)}};
  const std::string content =
      object.dump(-1, ' ', false, json::error_handler_t::replace);
  if (!m_objects.Put(ObjectName(m_options.process, first), content)) {
    return false;
  }
  MarkStored(last);
  return true;
}

std::optional<base::Decision> DecisionLog::FindRecent(
    const std::string& id) const {
  const std::lock_guard lock(m_mutex);
  const auto found =
      std::find_if(m_recent.rbegin(), m_recent.rend(),
                   [&id](const base::Decision& each) { return each.id == id; });
  if (found == m_recent.rend()) {
    return std::nullopt;
  }
  return *found;
}

DecisionLogCounts DecisionLog::Counts() const {
  const std::lock_guard lock(m_mutex);
  return m_counts;
}

void DecisionLog::Run() {
  while (true) {
    {
      std::unique_lock lock(m_mutex);
      m_wake.wait_for(lock, m_options.flush_interval,
                      [this] { return m_stopping; });
      if (m_stopping) {
        return;
      }
    }
    while (Flush()) {
    }
  }
}

// A batch has consecutive numbers, so that its first and last number tell
// exactly what it holds even when older decisions were dropped.
std::vector<DecisionLog::Numbered> DecisionLog::NextBatch() const {
  const std::lock_guard lock(m_mutex);
  const std::size_t count = std::min(m_unstored.size(), m_options.max_batch);
  return {m_unstored.begin(),
          m_unstored.begin() + static_cast<std::ptrdiff_t>(count)};
}

void DecisionLog::MarkStored(std::uint64_t last_number) {
  const std::lock_guard lock(m_mutex);
  while (!m_unstored.empty() && m_unstored.front().number <= last_number) {
    m_unstored.pop_front();
    ++m_counts.stored;
  }
}

base::Result<base::Decision> FindStoredDecision(ObjectStore& objects,
                                                const std::string& id) {
  const auto names = objects.List(std::string(kPrefix));
  if (!names) {
    return tl::unexpected(names.error());
  }
  for (auto name = names->rbegin(); name != names->rend(); ++name) {
    const base::Result<json> batch = ReadBatch(objects, *name);
    if (!batch) {
      return tl::unexpected(batch.error());
    }
    if (const auto found = FindInBatch(*batch, id)) {
      return *found;
    }
  }
  return base::Fail(base::ErrorCode::kNotFound,
                    "No stored decision has the id " + id + ".");
}

base::Result<std::vector<DecisionGap>> FindDecisionGaps(ObjectStore& objects) {
  const auto names = objects.List(std::string(kPrefix));
  if (!names) {
    return tl::unexpected(names.error());
  }
  std::map<std::string, std::uint64_t> next_numbers;
  std::vector<DecisionGap> gaps;
  for (const std::string& name : *names) {
    const base::Result<json> batch = ReadBatch(objects, name);
    if (!batch) {
      return tl::unexpected(batch.error());
    }
    const std::string process = ProcessOf(name);
    std::uint64_t& next = next_numbers.try_emplace(process, 1).first->second;
    const auto first = batch->at("first").get<std::uint64_t>();
    if (first > next) {
      gaps.push_back({process, next, first - 1});
    }
    next = batch->at("last").get<std::uint64_t>() + 1;
  }
  return gaps;
}

}  // namespace cassiastile::platform
