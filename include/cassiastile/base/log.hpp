#pragma once

#include <string>
#include <string_view>

namespace cassiastile::base {

// Writes a component's log lines, each with the component's fixed prefix. Lines
// are short sentences and must never contain keys. Thread-safe.
class Log {
 public:
  explicit Log(std::string prefix);

  void Debug(std::string_view sentence) const;
  void Info(std::string_view sentence) const;
  void Warn(std::string_view sentence) const;
  void Error(std::string_view sentence) const;

 private:
  std::string m_prefix;
};

// Starts logging to standard error, from the given level up (debug, info, warn
// or error). Nothing is logged before this call. Returns false if the level is
// unknown.
bool StartLogging(std::string_view level);

}  // namespace cassiastile::base
