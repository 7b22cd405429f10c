#pragma once

#include <string>
#include <string_view>

namespace cassiastile::base {

// Writes a component's log lines, each with the component's fixed prefix. Lines
// are short sentences and must never contain API keys or other secrets.
// Thread-safe.
class Log {
 public:
  explicit Log(std::string prefix);

  void Debug(std::string_view message) const;
  void Info(std::string_view message) const;
  void Warn(std::string_view message) const;
  void Error(std::string_view message) const;

 private:
  std::string m_prefix;
};

// Starts logging to standard error, from the given level up (debug, info, warn
// or error), or returns false if the level is unknown. Call it once, when the
// process starts: nothing is logged before it, and each call adds an appender.
bool StartLogging(std::string_view level);

}  // namespace cassiastile::base
