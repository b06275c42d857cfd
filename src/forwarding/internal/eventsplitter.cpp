#include "forwarding/eventsplitter.h"

#include <absl/strings/numbers.h>
#include <utility>

namespace geraniumlift::forwarding {

namespace {

/// Returns the value of the event's first numeric `id` line, or nothing.
auto eventId(std::string_view Event) -> std::optional<std::uint64_t> {
  while (!Event.empty()) {
    const auto End = Event.find('\n');
    auto Line = Event.substr(0, End);
    Event = End == std::string_view::npos ? std::string_view() : Event.substr(End + 1);
    if (!Line.starts_with("id:")) {
      continue;
    }
    const auto Text = std::string(Line.substr(3));
    auto Value = std::uint64_t{0};
    if (absl::SimpleAtoi(Text, &Value)) {
      return Value;
    }
  }
  return std::nullopt;
}

/// Returns the offset after the first blank line at or after From, or npos.
auto eventEnd(std::string_view Bytes, std::size_t From) -> std::size_t {
  const auto LfEnd = Bytes.find("\n\n", From);
  const auto CrLfEnd = Bytes.find("\r\n\r\n", From);
  if (LfEnd == std::string_view::npos && CrLfEnd == std::string_view::npos) {
    return std::string_view::npos;
  }
  return LfEnd < CrLfEnd ? LfEnd + 2 : CrLfEnd + 4;
}

} // namespace

auto EventSplitter::add(std::string_view Bytes) -> std::string {
  m_Pending.append(Bytes);
  const auto View = std::string_view(m_Pending);
  auto Done = std::size_t{0};
  auto From = m_SearchFrom;
  while (true) {
    const auto End = eventEnd(View, From);
    if (End == std::string_view::npos) {
      break;
    }
    if (const auto Id = eventId(View.substr(Done, End - Done))) {
      m_LastEventId = Id;
    }
    ++m_Count;
    Done = End;
    From = End;
  }
  auto Complete = m_Pending.substr(0, Done);
  m_Pending.erase(0, Done);
  // The blank line takes up to four bytes, of which up to three may have arrived already.
  m_SearchFrom = m_Pending.size() > 3 ? m_Pending.size() - 3 : 0;
  return Complete;
}

auto EventSplitter::takePartialEvent() -> std::string {
  m_SearchFrom = 0;
  return std::exchange(m_Pending, {});
}

} // namespace geraniumlift::forwarding
