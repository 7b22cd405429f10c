#include "cassiastile/entry/holder_watch.hpp"

#include <charconv>
#include <utility>

namespace cassiastile::entry {

namespace {

struct HolderParts {
  std::string host;
  std::uint64_t incarnation = 0;
};

// Reverses MakeHolderName; returns nothing for names of another form.
std::optional<HolderParts> SplitHolderName(const work::HolderName& holder) {
  const std::size_t separator = holder.rfind('#');
  if (separator == std::string::npos) {
    return std::nullopt;
  }
  HolderParts parts;
  parts.host = holder.substr(0, separator);
  const char* begin = holder.data() + separator + 1;
  const char* end = holder.data() + holder.size();
  const auto [stop, error] = std::from_chars(begin, end, parts.incarnation);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return parts;
}

}  // namespace

work::HolderName MakeHolderName(const std::string& host,
                                std::uint64_t incarnation) {
  return host + "#" + std::to_string(incarnation);
}

HolderWatch::HolderWatch(std::string own_name, HolderWatchOptions options)
    : m_own_name(std::move(own_name)), m_options(options) {}

void HolderWatch::ObserveHostList(
    const std::vector<platform::ListedHost>& listed,
    base::TimePoint now) {
  std::set<std::string> present;
  for (const platform::ListedHost& host : listed) {
    if (host.role != platform::ListedRole::kEntry) {
      continue;
    }
    present.insert(host.name);
    m_hosts[host.name].missing_since.reset();
  }
  m_self_listed = present.contains(m_own_name);
  m_self_last_listed = m_self_listed ? now : m_self_last_listed;
  for (auto& [name, seen] : m_hosts) {
    if (!present.contains(name) && !seen.missing_since) {
      seen.missing_since = now;
    }
  }
}

void HolderWatch::ObserveIncarnation(const std::string& host,
                                     std::uint64_t incarnation,
                                     base::TimePoint now) {
  ObservedHost& seen = m_hosts[host];
  if (incarnation > seen.incarnation) {
    seen.incarnation = incarnation;
    seen.incarnation_since = now;
  }
}

bool HolderWatch::IsGone(const work::HolderName& holder, base::TimePoint now) {
  const auto parts = SplitHolderName(holder);
  if (!parts) {
    return false;
  }
  const auto [found, added] = m_hosts.try_emplace(parts->host);
  ObservedHost& seen = found->second;
  if (added) {
    seen.missing_since = now;
  }
  if (seen.incarnation > parts->incarnation) {
    return now - seen.incarnation_since >= m_options.longest_request;
  }
  return m_self_listed && seen.missing_since &&
         now - *seen.missing_since >= m_options.max_absence;
}

std::set<work::HolderName> HolderWatch::FindGoneHolders(
    const std::set<work::HolderName>& holders,
    base::TimePoint now) {
  std::set<work::HolderName> gone;
  for (const work::HolderName& holder : holders) {
    if (IsGone(holder, now)) {
      gone.insert(holder);
    }
  }
  return gone;
}

bool HolderWatch::MayBeForfeited(base::TimePoint last_table_answer,
                                 base::TimePoint now) const {
  const base::TimePoint last_contact =
      std::max(last_table_answer, m_self_last_listed);
  return now - last_contact >=
         m_options.max_absence - 2 * m_options.longest_request;
}

}  // namespace cassiastile::entry
