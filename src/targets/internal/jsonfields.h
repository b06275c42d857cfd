#pragma once

#include "targets/targettypes.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace geraniumlift::targets {

/// What the stream state needs of an event's JSON text.
struct EventFields {
  /// The "id" field: the request that the event belongs to.
  std::string m_RequestId;

  /// Whether a choice carries a "finish_reason".
  bool m_HasFinishReason = false;
  std::optional<Usage> m_Usage;
};

/// Reads an event; an error if the text is no JSON object with a textual "id".
auto parseEventFields(std::string_view Json) -> absl::StatusOr<EventFields>;

/// Reads a load report; an error if the text is no JSON object with the expected fields.
auto parseEngineLoad(std::string_view Json) -> absl::StatusOr<EngineLoad>;

} // namespace geraniumlift::targets
