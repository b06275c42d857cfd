#include "telemetry/itracer.h"

#include <cstdlib>

using namespace geraniumlift::telemetry;

/// A header that is accepted gives IDs that are accepted again after formatting.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer sets the name.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) -> int {
  const auto Parsed = parseTraceParent({reinterpret_cast<const char *>(Data), Size});
  if (!Parsed) {
    return 0;
  }
  const auto Again = parseTraceParent(formatTraceParent(*Parsed));
  const auto Same = Again && Again->m_TraceId == Parsed->m_TraceId &&
                    Again->m_SpanId == Parsed->m_SpanId && Parsed->m_TraceId.size() == 32 &&
                    Parsed->m_SpanId.size() == 16;
  if (!Same || newSpanContext(Parsed).m_TraceId != Parsed->m_TraceId) {
    std::abort();
  }
  return 0;
}
