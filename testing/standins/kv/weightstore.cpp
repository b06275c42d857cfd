#include "weightstore.h"

#include <algorithm>

namespace geraniumlift::standin {

WeightStore::WeightStore(double ReadsPerSecond)
    : m_ReadsPerSecond(ReadsPerSecond), m_Available(std::max(1.0, ReadsPerSecond)) {}

auto WeightStore::tryRead(base::SteadyTime Now) -> bool {
  const auto Elapsed = std::chrono::duration<double>(Now - m_LastRefill).count();
  m_LastRefill = Now;
  m_Available = std::min(std::max(1.0, m_ReadsPerSecond), m_Available + Elapsed * m_ReadsPerSecond);
  if (m_Available < 1.0) {
    return false;
  }
  m_Available -= 1.0;
  return true;
}

} // namespace geraniumlift::standin
