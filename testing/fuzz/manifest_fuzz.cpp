#include "configuration/manifest.h"
#include "expect.h"

using namespace geraniumlift;

/// Decodes the input as a manifest. What decodes must survive the codec, and so must its successor.
// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's
extern "C" auto LLVMFuzzerTestOneInput(const unsigned char *Data, std::size_t Size) -> int {
  const auto Text = std::string_view(reinterpret_cast<const char *>(Data), Size);
  const auto Content = configuration::decodeManifest(Text);
  if (!Content.ok()) {
    return 0;
  }
  const auto Again = configuration::decodeManifest(configuration::encodeManifest(*Content));
  fuzz::expect(Again.ok() && *Again == *Content, "the codec loses nothing");
  if (configuration::generationOf(*Content, "next")) {
    return 0;
  }
  const auto Next = configuration::nextManifest(*Content, "next", {});
  const auto NextAgain = configuration::decodeManifest(configuration::encodeManifest(Next));
  fuzz::expect(NextAgain.ok() && *NextAgain == Next, "a manifest can always be replaced");
  return 0;
}
