#include "router/internal/requestmetrics.h"

namespace geraniumlift::router {

auto RequestMetrics::onRequestEnded(const forwarding::RequestOutcome &Outcome) -> void {
  const auto Labels = std::vector<telemetry::Label>{
      {"kind", std::string(nameOf(forwarding::RequestKindNames, Outcome.m_Kind))},
      {"pool", std::string(Outcome.m_Pool)},
      {"result", std::string(Outcome.m_Result)}};
  m_Metrics.count("geraniumlift_requests_total", Labels, 1.0);
  m_Metrics.observe("geraniumlift_request_seconds", Labels, Outcome.m_Total);
  if (Outcome.m_HasFirstByte) {
    m_Metrics.observe("geraniumlift_first_byte_seconds", Labels, Outcome.m_FirstByte);
  }
}

auto RequestMetrics::onRetry(std::string_view Pool) -> void {
  m_Metrics.count("geraniumlift_repeated_sends_total", {{"pool", std::string(Pool)}}, 1.0);
}

} // namespace geraniumlift::router
