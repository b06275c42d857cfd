#include "configuration/peersnapshot.h"
#include "expect.h"

using namespace geraniumlift;

/// Decodes the input as a peer's snapshot. What decodes must survive the codec.
// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's
extern "C" auto LLVMFuzzerTestOneInput(const unsigned char *Data, std::size_t Size) -> int {
  const auto Bytes = std::string_view(reinterpret_cast<const char *>(Data), Size);
  const auto Loaded = configuration::decodePeerSnapshot(Bytes, {});
  if (!Loaded.ok()) {
    return 0;
  }
  const auto Again =
      configuration::decodePeerSnapshot(configuration::encodePeerSnapshot(**Loaded, {}), {});
  fuzz::expect(Again.ok() && (*Again)->m_Manifest == (*Loaded)->m_Manifest,
               "the codec loses nothing");
  return 0;
}
