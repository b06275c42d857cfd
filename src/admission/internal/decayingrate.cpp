#include "admission/internal/decayingrate.h"

#include <cmath>

namespace geraniumlift::admission {

auto DecayingRate::add(double Amount, base::SteadyTime Now) -> void {
  m_Amount = perSecond(Now) * m_MeanAgeSeconds + Amount;
  m_UpdatedAt = Now;
}

auto DecayingRate::perSecond(base::SteadyTime Now) const -> double {
  const auto Age = std::chrono::duration<double>(Now - m_UpdatedAt).count();
  return m_Amount * std::exp(-Age / m_MeanAgeSeconds) / m_MeanAgeSeconds;
}

} // namespace geraniumlift::admission
