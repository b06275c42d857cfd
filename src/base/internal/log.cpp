#include "base/log.h"

#include <absl/strings/escaping.h>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>

namespace geraniumlift::base {

namespace {

auto minimumLevel() -> std::atomic<LogLevel> & {
  static auto Level = std::atomic<LogLevel>{LogLevel::Info};
  return Level;
}

auto quoteIfNeeded(const std::string &Value) -> std::string {
  const auto NeedsQuotes =
      Value.empty() || Value.find_first_of(" \"=\\\n\r\t") != std::string::npos;
  return NeedsQuotes ? fmt::format("\"{}\"", absl::CEscape(Value)) : Value;
}

} // namespace

auto setLogLevel(LogLevel Level) -> void { minimumLevel() = Level; }

auto formatEvent(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields)
    -> std::string {
  auto Line = fmt::format("level={} event={}", nameOf(LogLevelNames, Level), Event);
  for (const auto &Field : Fields) {
    Line += fmt::format(" {}={}", Field.m_Key, quoteIfNeeded(Field.m_Value));
  }
  return Line;
}

auto logEvent(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields)
    -> void {
  if (Level < minimumLevel().load(std::memory_order_relaxed)) {
    return;
  }
  const auto Now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  fmt::print(stderr, "time={:%FT%T}Z {}\n", fmt::gmtime(Now), formatEvent(Level, Event, Fields));
}

} // namespace geraniumlift::base
