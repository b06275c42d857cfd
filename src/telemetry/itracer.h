#pragma once

#include "telemetry/telemetrytypes.h"

#include <optional>
#include <string_view>

namespace geraniumlift::telemetry {

/// Receives finished spans. Thread-safe. Recording never waits for the collector; spans are dropped
/// and counted while the buffer is full.
class ITracer {
public:
  virtual ~ITracer() = default;

  virtual auto record(Span Finished) -> void = 0;
};

/// Parses a W3C traceparent header; nothing if it is malformed.
auto parseTraceParent(std::string_view Header) -> std::optional<TraceContext>;

/// Formats a W3C traceparent header of version 00 with the sampled flag set.
auto formatTraceParent(const TraceContext &Context) -> std::string;

/// Context with a random span ID, in the trace of the parent or, without a parent, in a new trace.
auto newSpanContext(const std::optional<TraceContext> &Parent) -> TraceContext;

} // namespace geraniumlift::telemetry
