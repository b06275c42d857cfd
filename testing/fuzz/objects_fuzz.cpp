#include "expect.h"
#include "objects/objectcodec.h"
#include "objects/objectparser.h"

using namespace geraniumlift;

/// Parses the input as an operators' file. A set without mistakes must survive the codec.
// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's
extern "C" auto LLVMFuzzerTestOneInput(const unsigned char *Data, std::size_t Size) -> int {
  const auto Result = objects::parseObjects(
      {{.m_Name = "input", .m_Text = std::string(reinterpret_cast<const char *>(Data), Size)}});
  if (!Result.m_Errors.empty()) {
    return 0;
  }
  const auto Chunks = objects::encodeChunks(Result.m_Objects);
  fuzz::expect(Chunks.ok(), "a set without mistakes encodes");
  auto Decoded = objects::ObjectSet();
  for (const auto &Part : *Chunks) {
    fuzz::expect(objects::decodeChunk(Part.m_Text, Decoded).ok(), "an encoded chunk decodes");
  }
  fuzz::expect(Decoded == Result.m_Objects, "the codec loses nothing");
  return 0;
}
