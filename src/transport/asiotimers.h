#pragma once

#include "base/itimers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace geraniumlift::transport {

/// Timers that run on the event loop's thread. All of them share one Asio timer.
class AsioTimers final : public base::ITimers {
public:
  explicit AsioTimers(boost::asio::io_context &Loop) : m_Timer(Loop) {}

  auto start(base::SteadyTime When, std::function<void()> Function) -> base::TimerId override;
  auto cancel(base::TimerId Timer) -> void override;

private:
  using Key = std::pair<base::SteadyTime, base::TimerId>;

  auto arm() -> void;
  auto runDueTimers() -> void;

  boost::asio::steady_timer m_Timer;
  std::map<Key, std::function<void()>> m_PendingTimers;
  std::map<base::TimerId, base::SteadyTime> m_DueTimes;
  base::TimerId m_LastId = 0;

  /// Time for which m_Timer is set; max() if it is not set.
  base::SteadyTime m_ArmedTime = base::SteadyTime::max();
};

} // namespace geraniumlift::transport
