#pragma once

#include "forwarding/iforwardingmetrics.h"
#include "telemetry/metrics.h"

namespace geraniumlift::router {

/// Counts requests by kind, pool and result, and records their durations.
class RequestMetrics final : public forwarding::IForwardingMetrics {
public:
  explicit RequestMetrics(telemetry::IMetrics &Metrics) : m_Metrics(Metrics) {}

  auto onRequestEnded(const forwarding::RequestOutcome &Outcome) -> void override;
  auto onRetry(std::string_view Pool) -> void override;

private:
  telemetry::IMetrics &m_Metrics;
};

} // namespace geraniumlift::router
