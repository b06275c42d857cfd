#include "targets/internal/sseparser.h"

#include <charconv>
#include <utility>

namespace geraniumlift::targets {

namespace {

constexpr auto ByteOrderMark = std::string_view{"\xEF\xBB\xBF"};

auto parseId(std::string_view Value) -> std::optional<std::uint64_t> {
  std::uint64_t Number = 0;
  const auto *End = Value.data() + Value.size();
  const auto Result = std::from_chars(Value.data(), End, Number);
  return Result.ec == std::errc() && Result.ptr == End ? std::optional(Number) : std::nullopt;
}

} // namespace

auto SseParser::feed(std::string_view Bytes) -> std::vector<SseEvent> {
  auto Completed = std::vector<SseEvent>();
  for (const auto Character : Bytes) {
    if (m_Overflowed) {
      break;
    }
    consumeCharacter(Character, Completed);
  }
  return Completed;
}

auto SseParser::consumeCharacter(char Character, std::vector<SseEvent> &Completed) -> void {
  const auto IsSecondHalfOfLineEnd = m_AfterCarriageReturn && Character == '\n';
  m_AfterCarriageReturn = Character == '\r';
  if (IsSecondHalfOfLineEnd) {
    return;
  }
  if (Character == '\n' || Character == '\r') {
    parseLine(Completed);
    return;
  }
  if (m_Line.size() >= MaxLineBytes) {
    m_Overflowed = true;
    return;
  }
  m_Line += Character;
}

auto SseParser::parseLine(std::vector<SseEvent> &Completed) -> void {
  auto Line = std::string_view(m_Line);
  if (std::exchange(m_IsFirstLine, false) && Line.starts_with(ByteOrderMark)) {
    Line.remove_prefix(ByteOrderMark.size());
  }
  if (Line.empty()) {
    if (m_HasData) {
      Completed.push_back(std::move(m_Event));
    }
    m_Event = SseEvent();
    m_HasData = false;
  } else if (!Line.starts_with(':')) {
    const auto Colon = Line.find(':');
    auto Value = Colon == std::string_view::npos ? std::string_view() : Line.substr(Colon + 1);
    if (Value.starts_with(' ')) {
      Value.remove_prefix(1);
    }
    parseField(Line.substr(0, Colon), Value);
  }
  m_Line.clear();
}

auto SseParser::parseField(std::string_view Name, std::string_view Value) -> void {
  if (Name == "data") {
    appendData(Value);
  } else if (Name == "id") {
    m_Event.m_Id = parseId(Value);
  }
}

auto SseParser::appendData(std::string_view Value) -> void {
  if (m_Event.m_Data.size() + Value.size() >= MaxLineBytes) {
    m_Overflowed = true;
    return;
  }
  if (std::exchange(m_HasData, true)) {
    m_Event.m_Data += '\n';
  }
  m_Event.m_Data += Value;
}

} // namespace geraniumlift::targets
