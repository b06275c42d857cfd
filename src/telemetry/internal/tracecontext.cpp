#include "base/hashing.h"
#include "telemetry/itracer.h"

#include <algorithm>

namespace geraniumlift::telemetry {

namespace {

constexpr std::size_t TraceIdBytes = 16;
constexpr std::size_t SpanIdBytes = 8;

/// Length of a header of version 00: version, trace ID, span ID and flags, with hyphens between.
constexpr std::size_t HeaderLength = 2 + 1 + 2 * TraceIdBytes + 1 + 2 * SpanIdBytes + 1 + 2;

auto isLowerHex(std::string_view Text) -> bool {
  return std::ranges::all_of(Text, [](char Character) {
    return (Character >= '0' && Character <= '9') || (Character >= 'a' && Character <= 'f');
  });
}

auto isZero(std::string_view Text) -> bool {
  return Text.find_first_not_of('0') == std::string_view::npos;
}

/// Version 00 has a fixed length; later versions may append fields after a hyphen (W3C Trace
/// Context, section 3.2).
auto hasValidLength(std::string_view Header) -> bool {
  if (Header.size() <= HeaderLength) {
    return Header.size() == HeaderLength;
  }
  return !Header.starts_with("00") && Header[HeaderLength] == '-';
}

} // namespace

auto parseTraceParent(std::string_view Header) -> std::optional<TraceContext> {
  if (!hasValidLength(Header)) {
    return std::nullopt;
  }
  const auto Version = Header.substr(0, 2);
  const auto TraceId = Header.substr(3, 2 * TraceIdBytes);
  const auto SpanId = Header.substr(4 + 2 * TraceIdBytes, 2 * SpanIdBytes);
  const auto Flags = Header.substr(HeaderLength - 2, 2);
  const auto HasHyphens =
      Header[2] == '-' && Header[3 + 2 * TraceIdBytes] == '-' && Header[HeaderLength - 3] == '-';
  if (!HasHyphens || Version == "ff" || !isLowerHex(Version) || !isLowerHex(TraceId) ||
      !isLowerHex(SpanId) || !isLowerHex(Flags) || isZero(TraceId) || isZero(SpanId)) {
    return std::nullopt;
  }
  return TraceContext{std::string(TraceId), std::string(SpanId)};
}

auto formatTraceParent(const TraceContext &Context) -> std::string {
  return "00-" + Context.m_TraceId + "-" + Context.m_SpanId + "-01";
}

auto newSpanContext(const std::optional<TraceContext> &Parent) -> TraceContext {
  return {Parent ? Parent->m_TraceId : base::randomHex(TraceIdBytes), base::randomHex(SpanIdBytes)};
}

} // namespace geraniumlift::telemetry
