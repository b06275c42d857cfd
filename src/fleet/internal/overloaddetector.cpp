#include "fleet/overloaddetector.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::fleet {

auto OverloadDetector::observe(const LoadObservation &Observation, base::SteadyTime Now) -> bool {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  // One stall of the loop is no overload, however long it is.
  constexpr auto MaxStrain = 2.0;
  const auto Strain = std::min(
      MaxStrain, std::max({Observation.m_UplinkStrain,
                           Milliseconds(Observation.m_LoopDelay) / m_Options.m_FullLoopDelay,
                           Observation.m_SessionShare / m_Options.m_FullSessionShare}));
  const auto Passed = m_ObservedAt ? Milliseconds(Now - *m_ObservedAt) : Milliseconds(0);
  m_ObservedAt = Now;
  // A stall of the loop must not make its one observation count as many.
  constexpr auto MaxExponent = 0.5;
  const auto Weight = 1.0 - std::exp(-std::min(MaxExponent, Passed / m_Options.m_SmoothingTime));
  m_Strain += (Strain - m_Strain) * Weight;
  if (m_Strain >= m_Options.m_CalmStrain) {
    m_StrainedAt = Now;
  }
  const auto Before = m_IsOverloaded;
  m_IsOverloaded = m_IsOverloaded ? Now - m_StrainedAt < m_Options.m_CalmTime
                                  : m_Strain >= m_Options.m_OverloadedStrain;
  return m_IsOverloaded != Before;
}

} // namespace geraniumlift::fleet
