#pragma once

#include "base/iclock.h"

#include <cstdint>
#include <functional>

namespace geraniumlift::base {

/// Names a started timer; 0 names none.
using TimerId = std::uint64_t;

/// Runs functions at given times on one thread. Unlike IScheduler, a timer can be cancelled, so
/// that one that is not needed any more costs no wake-up.
class ITimers {
public:
  virtual ~ITimers() = default;

  /// Runs the function once, not before the given time.
  virtual auto start(SteadyTime When, std::function<void()> Function) -> TimerId = 0;

  /// Forgets the timer. An unknown or past one is ignored.
  virtual auto cancel(TimerId Timer) -> void = 0;
};

} // namespace geraniumlift::base
