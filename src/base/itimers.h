#pragma once

#include "base/iclock.h"

#include <cstdint>
#include <functional>

namespace geraniumlift::base {

/// Identifies a started timer; 0 means no timer.
using TimerId = std::uint64_t;

/// Runs functions at given times on one thread. Unlike functions of IScheduler, a timer can be
/// cancelled, so that a timer that is no longer needed causes no wake-up.
class ITimers {
public:
  virtual ~ITimers() = default;

  /// Runs the function once, not before the given time.
  virtual auto start(SteadyTime When, std::function<void()> Function) -> TimerId = 0;

  /// Cancels the timer. Has no effect if the timer is unknown or has already fired.
  virtual auto cancel(TimerId Timer) -> void = 0;
};

} // namespace geraniumlift::base
