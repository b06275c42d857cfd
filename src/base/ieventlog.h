#pragma once

#include "base/log.h"

#include <initializer_list>

namespace geraniumlift::base {

/// Log of decisions, with one line per event. Implementations never block.
class IEventLog {
public:
  virtual ~IEventLog() = default;

  /// Records an event at the level. Under load, lines of lower levels are dropped first.
  virtual auto record(LogLevel Level, std::string_view Event,
                      std::initializer_list<LogField> Fields) -> void = 0;
};

} // namespace geraniumlift::base
