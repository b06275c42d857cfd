#pragma once

#include "base/ieventlog.h"

#include <string>
#include <vector>

namespace geraniumlift::fakes {

/// Keeps the lines that would have been logged.
class MemoryEventLog final : public base::IEventLog {
public:
  auto record(base::LogLevel Level, std::string_view Event,
              std::initializer_list<base::LogField> Fields) -> void override {
    m_Lines.push_back(base::formatEvent(Level, Event, Fields));
  }

  /// Whether a line of this event has all the texts.
  [[nodiscard]] auto has(std::string_view Event, const std::vector<std::string> &Texts = {}) const
      -> bool {
    for (const auto &Line : m_Lines) {
      auto Found = Line.find("event=" + std::string(Event)) != std::string::npos;
      for (const auto &Text : Texts) {
        Found = Found && Line.find(Text) != std::string::npos;
      }
      if (Found) {
        return true;
      }
    }
    return false;
  }

  std::vector<std::string> m_Lines;
};

} // namespace geraniumlift::fakes
