#include "cassiastile/base/log.hpp"

#include <array>
#include <utility>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "cassiastile/base/enum_names.hpp"

namespace cassiastile::base {

namespace {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };

constexpr std::array<EnumName<LogLevel>, 4> kLevelNames{{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarn, "warn"},
    {LogLevel::kError, "error"},
}};

log4cxx::LevelPtr ToLog4cxxLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

void Write(LogLevel level,
           const std::string& prefix,
           std::string_view message) {
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("cassiastile");
  const log4cxx::LevelPtr log4cxx_level = ToLog4cxxLevel(level);
  if (!logger->isEnabledFor(log4cxx_level)) {
    return;
  }
  logger->forcedLog(log4cxx_level, prefix + ": " + std::string(message),
                    log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace

Log::Log(std::string prefix) : m_prefix(std::move(prefix)) {}

void Log::Debug(std::string_view message) const {
  Write(LogLevel::kDebug, m_prefix, message);
}

void Log::Info(std::string_view message) const {
  Write(LogLevel::kInfo, m_prefix, message);
}

void Log::Warn(std::string_view message) const {
  Write(LogLevel::kWarn, m_prefix, message);
}

void Log::Error(std::string_view message) const {
  Write(LogLevel::kError, m_prefix, message);
}

bool StartLogging(std::string_view level) {
  const auto found = FindValue(kLevelNames, level);
  if (!found) {
    return false;
  }
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %p %m%n");
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(ToLog4cxxLevel(*found));
  return true;
}

}  // namespace cassiastile::base
