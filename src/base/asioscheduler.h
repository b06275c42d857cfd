#pragma once

#include "base/ischeduler.h"

#include <memory>

namespace geraniumlift::base {

/// Runs functions on a thread of its own. The destructor discards functions that have not started
/// and joins the thread.
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
