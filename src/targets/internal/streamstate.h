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

  /// An event that was delivered before: drop it.
  Repeat,

  /// An event of another request, or one that cannot be attributed: drop and count it.
  Foreign,

  /// An event that comes too early: the connection lost some, resume from the next offset.
  Gap,

  /// The end marker after a whole stream.
  End,

  /// The end marker although the stream is not whole: resume from the next offset.
  EarlyEnd,
};

/// Follows one stream across its connections. Pure.
class StreamState {
public:
  explicit StreamState(base::RequestId RequestId) : m_RequestId(std::move(RequestId)) {}

  /// Takes an event in the order of arrival.
  auto accept(const SseEvent &Event) -> EventDecision;

  /// Offset of the next event to deliver, at which a stream is resumed.
  [[nodiscard]] auto nextOffset() const -> std::uint64_t { return m_NextOffset; }

  /// Whether the last event was delivered. Only the end marker can follow.
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
