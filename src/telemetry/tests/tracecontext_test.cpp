#include "telemetry/itracer.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace geraniumlift::telemetry;

namespace {

const auto Trace = std::string("0af7651916cd43dd8448eb211c80319c");
const auto SpanId = std::string("b7ad6b7169203331");

auto header(const std::string &Version, const std::string &TraceId, const std::string &Id,
            const std::string &Rest) -> std::string {
  return fmt::format("{}-{}-{}-{}", Version, TraceId, Id, Rest);
}

} // namespace

// Guards against a router that starts a new trace instead of continuing the caller's.
Test(tracecontext, preservesTraceIdInChildSpan) {
  const auto Parent = parseTraceParent(header("00", Trace, SpanId, "01"));
  cr_assert(Parent && Parent->m_TraceId == Trace && Parent->m_SpanId == SpanId);
  const auto Child = newSpanContext(Parent);
  cr_assert(Child.m_TraceId == Trace && Child.m_SpanId != SpanId);
  const auto Read = parseTraceParent(formatTraceParent(Child));
  cr_assert(Read && Read->m_TraceId == Trace && Read->m_SpanId == Child.m_SpanId);
  cr_assert(parseTraceParent(formatTraceParent(newSpanContext(std::nullopt))).has_value());
}

// Guards against parts of a caller's malformed header that reach the collector as IDs.
Test(tracecontext, rejectsMalformedHeaders) {
  for (const auto &Header : {
           std::string(),
           std::string("00"),
           header("00", Trace, SpanId, ""),
           header("00", Trace, SpanId, "01-extra"),
           header("00", Trace, SpanId, "010"),
           header("ff", Trace, SpanId, "01"),
           header("0x", Trace, SpanId, "01"),
           header("00_", Trace.substr(1), SpanId, "01"),
           header("00", Trace.substr(1) + "G", SpanId, "01"),
           header("00", "0AF7651916CD43DD8448EB211C80319C", SpanId, "01"),
           header("00", std::string(32, '0'), SpanId, "01"),
           header("00", Trace, std::string(16, '0'), "01"),
           header("00", Trace, SpanId, "0\n"),
           header("01", Trace, SpanId, "01extra"),
           std::string(100000, '-'),
       }) {
    cr_assert_not(parseTraceParent(Header).has_value(), "%s", Header.substr(0, 80).c_str());
  }
  cr_assert(parseTraceParent(header("01", Trace, SpanId, "01-extra")).has_value());
}
