#pragma once

#include <chrono>

namespace geraniumlift::base {

using SteadyTime = std::chrono::steady_clock::time_point;
using SystemTime = std::chrono::system_clock::time_point;

/// Source of the time. Decision code never reads a clock of its own, so that tests can move time.
class IClock {
public:
  virtual ~IClock() = default;

  /// Monotonic time, for timeouts and intervals.
  [[nodiscard]] virtual auto steadyNow() const -> SteadyTime = 0;

  /// Wall-clock time, for values that other processes read.
  [[nodiscard]] virtual auto systemNow() const -> SystemTime = 0;
};

} // namespace geraniumlift::base
