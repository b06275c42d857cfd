#pragma once

#include <mutex>
#include <string>
#include <vector>

namespace geraniumlift::standins {

/// Keeps the spans that an OTLP exporter sent, for tests and the demo to read.
class SpanStore {
public:
  /// Takes the body of POST /v1/traces. Throws on malformed JSON.
  auto add(const std::string &OtlpJson) -> void;

  /// One line a span of the trace (of all traces if it is empty), in order of start time: name,
  /// span ID, parent span ID, VM.
  [[nodiscard]] auto list(const std::string &TraceId) const -> std::string;

private:
  struct StoredSpan {
    std::string m_TraceId;
    std::string m_StartNanoseconds;
    std::string m_Line;
  };

  mutable std::mutex m_Mutex;
  std::vector<StoredSpan> m_Spans;
};

} // namespace geraniumlift::standins
