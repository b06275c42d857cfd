#pragma once

#include "telemetry/imetrics.h"

#include <memory>

namespace geraniumlift::telemetry {

/// Metrics in memory. Characters that the text format does not allow in names become underscores,
/// and bytes other than printable ASCII in label values become question marks. Updates of
/// series beyond MaxSeries are dropped and counted in geraniumlift_telemetry_dropped_series_total,
/// as are those whose name is in use with another type. Quantiles are estimates over all values
/// since the object was created.
class Metrics final : public IMetrics {
public:
  /// Limits the memory: the distribution of a summary takes about 1 KB.
  static constexpr std::size_t MaxSeries = 10000;

  Metrics();
  ~Metrics() override;

  auto count(std::string_view Name, const std::vector<Label> &Labels, double By) -> void override;
  auto gauge(std::string_view Name, const std::vector<Label> &Labels, double Value)
      -> void override;
  auto observe(std::string_view Name, const std::vector<Label> &Labels,
               std::chrono::nanoseconds Value) -> void override;
  [[nodiscard]] auto render() const -> std::string override;

private:
  class Registry;
  std::unique_ptr<Registry> m_Registry;
};

} // namespace geraniumlift::telemetry
