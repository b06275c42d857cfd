#include "expect.h"
#include "objects/objectcheck.h"
#include "objects/objectcodec.h"

using namespace geraniumlift;

/// Decodes the input as a chunk. A set that checks must survive the codec.
// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's
extern "C" auto LLVMFuzzerTestOneInput(const unsigned char *Data, std::size_t Size) -> int {
  auto Objects = objects::ObjectSet();
  const auto Text = std::string_view(reinterpret_cast<const char *>(Data), Size);
  if (!objects::decodeChunk(Text, Objects).ok() || !objects::checkObjects(Objects).empty()) {
    return 0;
  }
  const auto Chunks = objects::encodeChunks(Objects);
  fuzz::expect(Chunks.ok(), "a set that checks encodes");
  auto Decoded = objects::ObjectSet();
  for (const auto &Part : *Chunks) {
    fuzz::expect(objects::decodeChunk(Part.m_Text, Decoded).ok(), "an encoded chunk decodes");
  }
  fuzz::expect(Decoded == Objects, "the codec loses nothing");
  return 0;
}
