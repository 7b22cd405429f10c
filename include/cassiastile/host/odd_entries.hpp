#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "cassiastile/host/event_log.hpp"

namespace cassiastile::host {

// Entries of lists that can't be used, such as those of another writer. Each is
// logged once with its reason, and again when the reason changes; the metric of
// the event counts each time that it is met. Of the entries beyond the first
// 200, only the number is known.
class OddEntries {
 public:
  // `log` must outlive it. `event` is the name of the log lines.
  OddEntries(EventLog& log, std::string event)
      : m_log(log), m_event(std::move(event)) {}

  // An entry of this key, in this list, was left out.
  void LeftOut(std::string_view list,
               const std::string& key,
               const std::string& reason);

 private:
  EventLog& m_log;
  std::string m_event;
  std::map<std::string, std::string> m_reasons;  // By list and key.
};

}  // namespace cassiastile::host
