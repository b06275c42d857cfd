#pragma once

#include "targets/internal/sseparser.h"
#include "targets/targettypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace geraniumlift::targets {

/// What to do with an event of a stream.
enum class EventDecision {
  /// The next event in order: deliver it.
  Deliver,

  /// An event that was delivered before, or one after the last event: drop it.
  Repeat,

  /// An event of another request, or one without a readable request ID or offset: drop and count
  /// it.
  Foreign,

  /// An event beyond the next offset, as earlier ones are missing: resume from the next offset.
  Gap,

  /// The end marker after a complete stream.
  End,

  /// The end marker before the stream is complete: resume from the next offset.
  EarlyEnd,
};

/// Tracks which events of one stream were delivered, across all its connections. Performs no I/O.
class StreamState {
public:
  explicit StreamState(base::RequestId RequestId) : m_RequestId(std::move(RequestId)) {}

  /// Classifies the next event in the order of arrival and updates the state.
  auto accept(const SseEvent &Event) -> EventDecision;

  /// Offset of the next event to deliver, at which a stream is resumed.
  [[nodiscard]] auto nextOffset() const -> std::uint64_t { return m_NextOffset; }

  /// Whether the last event, which carries the finish reason, was delivered. Only the end marker
  /// may follow it.
  [[nodiscard]] auto isComplete() const -> bool { return m_IsComplete; }
  [[nodiscard]] auto usage() const -> const std::optional<Usage> & { return m_Usage; }
  [[nodiscard]] auto foreignEvents() const -> std::uint64_t { return m_ForeignEvents; }

private:
  base::RequestId m_RequestId;
  std::uint64_t m_NextOffset = 0;
  std::uint64_t m_ForeignEvents = 0;
  bool m_IsComplete = false;
  std::optional<Usage> m_Usage;
};

} // namespace geraniumlift::targets
