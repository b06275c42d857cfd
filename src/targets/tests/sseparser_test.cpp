#include "targets/internal/sseparser.h"

#include <criterion/criterion.h>

using namespace geraniumlift::targets;

namespace {

constexpr auto Stream = std::string_view{"\xEF\xBB\xBFid: 0\r\ndata: a\r\ndata:b\r\n\r\n"
                                         ": comment\n\nid: 1\rdata: c\r\revent: x\n\n"
                                         "id: minus\ndata\n\n"};

auto feedInChunks(std::string_view Bytes, std::size_t ChunkBytes) -> std::vector<SseEvent> {
  auto Parser = SseParser();
  auto Events = std::vector<SseEvent>();
  for (std::size_t At = 0; At < Bytes.size(); At += ChunkBytes) {
    for (auto &Event : Parser.feed(Bytes.substr(At, ChunkBytes))) {
      Events.push_back(std::move(Event));
    }
  }
  return Events;
}

} // namespace

// Guards against results that depend on how the bytes are split into chunks, among others between
// the two characters of a CRLF line end.
Test(sseparser, resultDoesNotDependOnChunks) {
  for (std::size_t ChunkBytes = 1; ChunkBytes <= Stream.size(); ++ChunkBytes) {
    const auto Events = feedInChunks(Stream, ChunkBytes);
    cr_assert_eq(Events.size(), 3U);
    cr_assert(Events[0].m_Id == 0U && Events[0].m_Data == "a\nb");
    cr_assert(Events[1].m_Id == 1U && Events[1].m_Data == "c");
    cr_assert(!Events[2].m_Id && Events[2].m_Data.empty());
  }
}

// Guards against unbounded memory use for a line or an event that does not end.
Test(sseparser, boundsLineAndEvent) {
  auto Parser = SseParser();
  Parser.feed(std::string(SseParser::MaxLineBytes + 1, 'x'));
  cr_assert(Parser.overflowed());
  auto LongEvent = SseParser();
  const auto Line = "data: " + std::string(SseParser::MaxLineBytes / 2, 'x') + "\n";
  LongEvent.feed(Line + Line);
  cr_assert(LongEvent.overflowed());
  cr_assert(LongEvent.feed("\n\ndata: y\n\n").empty());
}

// Guards against empty data lines, which each add one line feed to an event without limit.
Test(sseparser, boundsEmptyDataLines) {
  auto Parser = SseParser();
  auto Lines = std::string();
  for (std::size_t Count = 0; Count <= SseParser::MaxLineBytes + 1; ++Count) {
    Lines += "data\n";
  }
  Parser.feed(Lines);
  cr_assert(Parser.overflowed());
}
