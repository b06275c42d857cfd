#pragma once

#include "base/iclock.h"

namespace geraniumlift::base {

/// A clock that only advance() moves, for tests and for the decision mode of the benchmark.
class ManualClock final : public IClock {
public:
  [[nodiscard]] auto steadyNow() const -> SteadyTime override { return m_Steady; }
  [[nodiscard]] auto systemNow() const -> SystemTime override { return m_System; }

  /// Moves both clocks forward by the given duration.
  auto advance(std::chrono::nanoseconds Duration) -> void {
    m_Steady += Duration;
    m_System += std::chrono::duration_cast<std::chrono::system_clock::duration>(Duration);
  }

private:
  SteadyTime m_Steady{std::chrono::hours{1}};
  SystemTime m_System{std::chrono::hours{24 * 365 * 50}};
};

} // namespace geraniumlift::base
