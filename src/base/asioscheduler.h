#pragma once

#include "base/ischeduler.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace geraniumlift::base {

/// Runs functions on a thread of its own. The destructor discards functions that have not started
/// and joins the thread.
class AsioScheduler final : public IScheduler {
public:
  AsioScheduler();
  ~AsioScheduler() override;

  auto post(std::function<void()> Function) -> void override;
  auto after(std::chrono::milliseconds Delay, std::function<void()> Function) -> void override;

  /// The event loop of the thread, for sockets whose operations end on it.
  [[nodiscard]] auto context() -> boost::asio::io_context &;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace geraniumlift::base
