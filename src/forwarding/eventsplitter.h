#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumlift::forwarding {

/// Cuts an event stream into whole events, so that a stream that breaks in the middle of an event
/// can go on at another target without a torn one.
class EventSplitter {
public:
  /// Adds bytes of the stream and returns those that end the events completed by them, as received.
  auto add(std::string_view Bytes) -> std::string;

  /// Bytes after the last complete event.
  [[nodiscard]] auto hasPartialEvent() const -> bool { return !m_Pending.empty(); }

  /// Returns what follows the last complete event and forgets it.
  auto takePartialEvent() -> std::string;

  /// ID of the last complete event that had one.
  [[nodiscard]] auto lastEventId() const -> std::optional<std::uint64_t> { return m_LastEventId; }

  /// Complete events so far.
  [[nodiscard]] auto count() const -> std::int64_t { return m_Count; }

private:
  std::string m_Pending;
  std::size_t m_SearchFrom = 0;
  std::optional<std::uint64_t> m_LastEventId;
  std::int64_t m_Count = 0;
};

} // namespace geraniumlift::forwarding
