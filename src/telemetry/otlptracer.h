#pragma once

#include "telemetry/imetrics.h"
#include "telemetry/itracer.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace geraniumlift::telemetry {

/// Settings of an OtlpTracer.
struct OtlpOptions {
  /// Base URL of the collector; spans are discarded if it is empty.
  std::string m_CollectorUrl = {};

  /// Resource attributes: sent as service.name and host.name.
  std::string m_ServiceName = "geraniumliftd";
  std::string m_VmName = {};

  /// Maximum number of buffered spans; further spans are dropped.
  std::size_t m_BufferedSpans = 4096;
  std::size_t m_BatchSpans = 512;
  std::chrono::milliseconds m_FlushInterval{1000};
  std::chrono::milliseconds m_SendTimeout{2000};
};

/// Sends spans in batches as OTLP JSON over HTTP (POST /v1/traces), one batch at a time. Dropped
/// spans and the spans of failed batches are counted in geraniumlift_telemetry_dropped_spans_total;
/// failed batches are not sent again. Spans still buffered on destruction are lost.
class OtlpTracer final : public ITracer {
public:
  /// Throws if the URL is malformed. The metrics must outlive the tracer.
  OtlpTracer(OtlpOptions Options, IMetrics &Metrics);
  ~OtlpTracer() override;

  auto record(Span Finished) -> void override;

private:
  class Sender;
  std::shared_ptr<Sender> m_Sender;
};

} // namespace geraniumlift::telemetry
