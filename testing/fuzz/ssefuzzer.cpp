#include "targets/internal/sseparser.h"
#include "targets/internal/streamstate.h"

#include <cstdlib>

using namespace geraniumlift::targets;

namespace {

auto require(bool Condition) -> void {
  if (!Condition) {
    std::abort();
  }
}

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

/// The offset rises by one with each delivered event, and nothing is delivered after the last one.
auto checkState(const std::vector<SseEvent> &Events) -> void {
  auto State = StreamState("mine");
  for (const auto &Event : Events) {
    const auto Offset = State.nextOffset();
    const auto WasComplete = State.isComplete();
    const auto Delivered = State.accept(Event) == EventDecision::Deliver;
    require(State.nextOffset() == Offset + (Delivered ? 1 : 0));
    require(!Delivered || (!WasComplete && Event.m_Id == Offset));
  }
}

} // namespace

/// The first byte sets the size of the chunks; the events must not depend on it.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer sets the name.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) -> int {
  if (Size == 0) {
    return 0;
  }
  const auto Bytes = std::string_view(reinterpret_cast<const char *>(Data) + 1, Size - 1);
  const auto Whole = feedInChunks(Bytes, Bytes.size() + 1);
  const auto Chunked = feedInChunks(Bytes, Data[0] % 32 + 1);
  require(Whole.size() == Chunked.size());
  for (std::size_t At = 0; At < Whole.size(); ++At) {
    require(Whole[At].m_Id == Chunked[At].m_Id && Whole[At].m_Data == Chunked[At].m_Data);
  }
  checkState(Whole);
  return 0;
}
