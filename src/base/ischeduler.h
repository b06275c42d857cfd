#pragma once

#include <chrono>
#include <functional>

namespace geraniumlift::base {

/// Runs functions on one thread, now or later. State that is touched only from scheduled functions
/// needs no lock.
class IScheduler {
public:
  virtual ~IScheduler() = default;

  /// Runs the function as soon as the thread is free. Callable from any thread.
  virtual auto post(std::function<void()> Function) -> void = 0;

  /// Runs the function once, not before the delay has passed. Callable from any thread.
  virtual auto after(std::chrono::milliseconds Delay, std::function<void()> Function) -> void = 0;
};

} // namespace geraniumlift::base
