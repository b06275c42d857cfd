#pragma once

#include "base/iclock.h"

#include <chrono>
#include <cmath>

namespace geraniumlift::budget::internal {

/// Exponentially weighted rate of an amount, per second.
class RateMeter {
public:
  /// Counts an amount at the given time.
  auto add(double Amount, base::SteadyTime Now) -> void {
    m_Rate = rate(Now) + Amount / TimeConstantSeconds;
    m_Updated = Now;
  }

  /// The rate as of the given time; it decays while nothing is counted.
  [[nodiscard]] auto rate(base::SteadyTime Now) const -> double {
    const auto Age = std::chrono::duration<double>(Now - m_Updated).count();
    return m_Rate * std::exp(-std::max(Age, 0.0) / TimeConstantSeconds);
  }

private:
  /// Demand changes within seconds; a longer time constant would lag behind a rise.
  static constexpr double TimeConstantSeconds = 5.0;

  double m_Rate = 0;
  base::SteadyTime m_Updated;
};

} // namespace geraniumlift::budget::internal
