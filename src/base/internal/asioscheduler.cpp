#include "base/asioscheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <utility>

namespace geraniumlift::base {

struct AsioScheduler::State {
  boost::asio::io_context m_Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_Work{
      m_Context.get_executor()};
  std::thread m_Thread{[this] { m_Context.run(); }};
};

AsioScheduler::AsioScheduler() : m_State(std::make_unique<State>()) {}

AsioScheduler::~AsioScheduler() {
  m_State->m_Context.stop();
  m_State->m_Thread.join();
}

auto AsioScheduler::context() -> boost::asio::io_context & { return m_State->m_Context; }

auto AsioScheduler::post(std::function<void()> Function) -> void {
  boost::asio::post(m_State->m_Context, std::move(Function));
}

auto AsioScheduler::after(std::chrono::milliseconds Delay, std::function<void()> Function) -> void {
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_State->m_Context, Delay);
  Timer->async_wait([Timer, Run = std::move(Function)](const boost::system::error_code &Error) {
    if (!Error) {
      Run();
    }
  });
}

} // namespace geraniumlift::base
