#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::targets {

/// One server-sent event.
struct SseEvent {
  /// The number in the "id" field; empty if the field is absent or not a number.
  std::optional<std::uint64_t> m_Id;

  /// The "data" lines, joined by line feeds.
  std::string m_Data;
};

/// Incremental parser of an event stream (WHATWG HTML, "Server-sent events"). The result does not
/// depend on how the bytes are split into chunks. Any input is accepted; unknown fields are
/// skipped.
class SseParser {
public:
  /// Maximum size in bytes of a line and of the data of one event. An engine event with log
  /// probabilities takes a few KB.
  static constexpr std::size_t MaxLineBytes = std::size_t{256} * 1024;

  /// Parses the next bytes and returns the events that they complete.
  auto feed(std::string_view Bytes) -> std::vector<SseEvent>;

  /// Bytes of the event that is not complete yet.
  [[nodiscard]] auto heldBytes() const -> std::size_t {
    return m_Line.size() + m_Event.m_Data.size();
  }

  /// Whether a line or an event exceeded MaxLineBytes. Nothing is parsed after that.
  [[nodiscard]] auto overflowed() const -> bool { return m_Overflowed; }

private:
  auto consumeCharacter(char Character, std::vector<SseEvent> &Completed) -> void;
  auto parseLine(std::vector<SseEvent> &Completed) -> void;
  auto parseField(std::string_view Name, std::string_view Value) -> void;
  auto appendData(std::string_view Value) -> void;

  std::string m_Line;
  SseEvent m_Event;
  bool m_HasData = false;
  bool m_AfterCarriageReturn = false;
  bool m_IsFirstLine = true;
  bool m_Overflowed = false;
};

} // namespace geraniumlift::targets
