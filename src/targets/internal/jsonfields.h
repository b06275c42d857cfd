#pragma once

#include "targets/targettypes.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace geraniumlift::targets {

/// Fields of an event's JSON text that StreamState uses.
struct EventFields {
  /// The "id" field: ID of the request that the event belongs to.
  std::string m_RequestId;

  /// Whether a choice has a textual "finish_reason".
  bool m_HasFinishReason = false;
  std::optional<Usage> m_Usage;
};

/// Parses an event. Returns an error if the text is not a JSON object with a string "id".
auto parseEventFields(std::string_view Json) -> absl::StatusOr<EventFields>;

/// Parses a load report. Returns an error if the text is not a JSON object with the numbers
/// "running" and "waiting".
auto parseEngineLoad(std::string_view Json) -> absl::StatusOr<EngineLoad>;

} // namespace geraniumlift::targets
