#pragma once

#include "base/nametable.h"

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace geraniumlift::base {

enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr auto LogLevelNames = std::array{
    NamedValue<LogLevel>{LogLevel::Debug, "debug"},
    NamedValue<LogLevel>{LogLevel::Info, "info"},
    NamedValue<LogLevel>{LogLevel::Warning, "warning"},
    NamedValue<LogLevel>{LogLevel::Error, "error"},
};

/// One key and its value in a log line. Values with spaces, quotes or line breaks are quoted.
struct LogField {
  template <typename Value>
  LogField(std::string_view Key, const Value &Content)
      : m_Key(Key), m_Value(fmt::format("{}", Content)) {}

  std::string m_Key;
  std::string m_Value;
};

/// Sets the process-wide minimum level of logEvent; the default is Info.
auto setLogLevel(LogLevel Level) -> void;

/// Formats an event as one line of key=value pairs, without time and line break.
auto formatEvent(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields)
    -> std::string;

/// Writes one line with time, level, event and fields to standard error.
auto logEvent(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields)
    -> void;

} // namespace geraniumlift::base
