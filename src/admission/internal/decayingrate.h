#pragma once

#include "base/iclock.h"

namespace geraniumlift::admission {

/// Rate of amounts that arrive at irregular times, as a mean whose weight falls exponentially with
/// age.
class DecayingRate {
public:
  explicit DecayingRate(double MeanAgeSeconds) : m_MeanAgeSeconds(MeanAgeSeconds) {}

  /// Adds an amount at the given time.
  auto add(double Amount, base::SteadyTime Now) -> void;

  /// Amount per second.
  [[nodiscard]] auto perSecond(base::SteadyTime Now) const -> double;

private:
  double m_MeanAgeSeconds;
  double m_Amount = 0.0;
  base::SteadyTime m_UpdatedAt;
};

} // namespace geraniumlift::admission
