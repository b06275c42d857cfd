#pragma once

#include "base/log.h"

#include <initializer_list>

namespace geraniumlift::base {

/// Where decisions are recorded, one line an event. Implementations never block.
class IEventLog {
public:
  virtual ~IEventLog() = default;

  /// Records an event at the level. Under load, lines of lower levels are left out first.
  virtual auto record(LogLevel Level, std::string_view Event,
                      std::initializer_list<LogField> Fields) -> void = 0;
};

} // namespace geraniumlift::base
