#pragma once

#include "telemetry/telemetrytypes.h"

#include <string>
#include <vector>

namespace geraniumlift::telemetry {

/// Attributes of the OTLP resource that the spans belong to.
struct OtlpResource {
  std::string m_ServiceName;
  std::string m_VmName;
};

/// Encodes an ExportTraceServiceRequest as OTLP JSON: protobuf JSON names, hexadecimal IDs, times
/// as strings in nanoseconds. Bytes other than printable ASCII in texts become question marks.
auto encodeSpans(const OtlpResource &Resource, const std::vector<Span> &Spans) -> std::string;

} // namespace geraniumlift::telemetry
