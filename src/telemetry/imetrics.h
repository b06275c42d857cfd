#pragma once

#include "telemetry/telemetrytypes.h"

#include <string_view>

namespace geraniumlift::telemetry {

/// Collects metrics of this process. Thread-safe.
class IMetrics {
public:
  virtual ~IMetrics() = default;

  /// Increases a counter.
  virtual auto count(std::string_view Name, const std::vector<Label> &Labels = {}, double By = 1.0)
      -> void = 0;

  /// Sets a gauge.
  virtual auto gauge(std::string_view Name, const std::vector<Label> &Labels, double Value)
      -> void = 0;

  /// Adds a duration to a summary, which is rendered in seconds with its sum, count and quantiles.
  virtual auto observe(std::string_view Name, const std::vector<Label> &Labels,
                       std::chrono::nanoseconds Value) -> void = 0;

  /// All metrics in the Prometheus text format.
  [[nodiscard]] virtual auto render() const -> std::string = 0;
};

} // namespace geraniumlift::telemetry
