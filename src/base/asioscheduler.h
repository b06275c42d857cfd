#pragma once

#include "base/ischeduler.h"

#include <memory>

namespace geraniumlift::base {

/// A scheduler with a thread of its own. The destructor drops what has not run yet and joins the
/// thread.
class AsioScheduler final : public IScheduler {
public:
  AsioScheduler();
  ~AsioScheduler() override;

  auto post(std::function<void()> Function) -> void override;
  auto after(std::chrono::milliseconds Delay, std::function<void()> Function) -> void override;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace geraniumlift::base
