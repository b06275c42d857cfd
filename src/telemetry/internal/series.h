#pragma once

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <mutex>
#include <optional>

namespace geraniumlift::telemetry {

inline constexpr auto Quantiles = std::array{0.5, 0.95, 0.99};

/// Value or distribution of one metric with one set of labels. Thread-safe.
class Series {
public:
  /// Snapshot of a distribution.
  struct Summary {
    std::uint64_t m_Count = 0;
    double m_Sum = 0.0;

    /// In the order of Quantiles; nothing with fewer than MinimumCount values.
    std::optional<std::array<double, Quantiles.size()>> m_Quantiles;
  };

  auto add(double By) -> void { m_Value.fetch_add(By, std::memory_order_relaxed); }
  auto set(double Value) -> void { m_Value.store(Value, std::memory_order_relaxed); }
  [[nodiscard]] auto value() const -> double { return m_Value.load(std::memory_order_relaxed); }

  auto observe(double Value) -> void {
    const auto Lock = std::lock_guard(m_Mutex);
    if (!m_Distribution) {
      m_Distribution.emplace(boost::accumulators::extended_p_square_probabilities = Quantiles);
    }
    (*m_Distribution)(Value);
  }

  [[nodiscard]] auto summary() const -> Summary {
    const auto Lock = std::lock_guard(m_Mutex);
    if (!m_Distribution) {
      return {};
    }
    auto Result = Summary{boost::accumulators::count(*m_Distribution),
                          boost::accumulators::sum(*m_Distribution), std::nullopt};
    if (Result.m_Count >= MinimumCount) {
      const auto Estimates = boost::accumulators::extended_p_square(*m_Distribution);
      Result.m_Quantiles.emplace();
      std::copy(Estimates.begin(), Estimates.end(), Result.m_Quantiles->begin());
    }
    return Result;
  }

private:
  using Distribution = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;

  /// The P-square estimator fills its 2n + 3 markers with the first values, n being the number of
  /// quantiles.
  static constexpr std::uint64_t MinimumCount = 2 * Quantiles.size() + 3;

  std::atomic<double> m_Value = 0.0;
  mutable std::mutex m_Mutex;
  std::optional<Distribution> m_Distribution;
};

} // namespace geraniumlift::telemetry
