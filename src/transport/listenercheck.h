#pragma once

#include "base/itimers.h"
#include "quarantine/ipromptquarantine.h"

#include <boost/asio/io_context.hpp>

namespace geraniumlift::transport {

/// Checks by connecting whether a process listens. The connection is closed at once.
class ListenerCheck final : public quarantine::IListenerCheck {
public:
  ListenerCheck(boost::asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
                std::chrono::milliseconds Timeout)
      : m_Loop(Loop), m_Timers(Timers), m_Clock(Clock), m_Timeout(Timeout) {}

  auto checkListener(const std::string &Ip, std::uint16_t Port, std::function<void(bool)> Done)
      -> void override;

private:
  boost::asio::io_context &m_Loop;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  std::chrono::milliseconds m_Timeout;
};

} // namespace geraniumlift::transport
