#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumlift::forwarding {

/// Splits a stream of server-sent events into complete events, so that a stream that breaks within
/// an event can resume at another target without the caller receiving a partial event.
class EventSplitter {
public:
  /// Appends received bytes and returns the events that are now complete, byte for byte as
  /// received; empty if none is.
  auto add(std::string_view Bytes) -> std::string;

  /// Whether bytes follow the last complete event, and how many.
  [[nodiscard]] auto hasPartialEvent() const -> bool { return !m_Pending.empty(); }
  [[nodiscard]] auto partialEventBytes() const -> std::size_t { return m_Pending.size(); }

  /// Returns the bytes after the last complete event and removes them from the splitter.
  auto takePartialEvent() -> std::string;

  /// ID of the last complete event that had a numeric ID.
  [[nodiscard]] auto lastEventId() const -> std::optional<std::uint64_t> { return m_LastEventId; }

  /// Number of complete events so far.
  [[nodiscard]] auto count() const -> std::int64_t { return m_Count; }

private:
  std::string m_Pending;
  std::size_t m_SearchFrom = 0;
  std::optional<std::uint64_t> m_LastEventId;
  std::int64_t m_Count = 0;
};

} // namespace geraniumlift::forwarding
