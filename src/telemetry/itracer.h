#pragma once

#include "telemetry/telemetrytypes.h"

#include <optional>
#include <string_view>

namespace geraniumlift::telemetry {

/// Takes finished spans. Thread-safe; recording never blocks, and drops spans when its buffer is
/// full, counting them.
class ITracer {
public:
  virtual ~ITracer() = default;

  virtual auto record(Span Finished) -> void = 0;
};

/// Reads a traceparent header; nothing if it is malformed.
auto parseTraceParent(std::string_view Header) -> std::optional<TraceContext>;

/// Formats a traceparent header, sampled.
auto formatTraceParent(const TraceContext &Context) -> std::string;

/// A new span below the parent, or at the root of a new trace.
auto newSpanContext(const std::optional<TraceContext> &Parent) -> TraceContext;

} // namespace geraniumlift::telemetry
