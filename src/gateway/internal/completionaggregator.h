#pragma once

#include "targets/targettypes.h"

#include <string>

namespace geraniumlift::gateway {

/// Combines the events of a stream into one chat.completion object, for callers that did not
/// request streaming.
class CompletionAggregator {
public:
  /// Adds the text of one event. Malformed events are logged and ignored.
  auto add(const std::string &EventJson) -> void;

  /// Returns the chat.completion object as JSON text.
  [[nodiscard]] auto finish(const base::RequestId &RequestId, const std::string &Model,
                            const targets::Usage &Usage) const -> std::string;

private:
  std::string m_Text;
  std::string m_FinishReason = "stop";
};

} // namespace geraniumlift::gateway
