#pragma once

#include "base/iclock.h"

namespace geraniumlift::base {

/// Reads the clocks of the operating system.
class SystemClock final : public IClock {
public:
  [[nodiscard]] auto steadyNow() const -> SteadyTime override {
    return std::chrono::steady_clock::now();
  }

  [[nodiscard]] auto systemNow() const -> SystemTime override {
    return std::chrono::system_clock::now();
  }
};

} // namespace geraniumlift::base
