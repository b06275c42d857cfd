#pragma once

#include "base/itimers.h"
#include "forwarding/forwardingtypes.h"
#include "forwarding/targettable.h"

#include <boost/asio/io_context.hpp>

namespace geraniumlift::transport {

/// Sends each request on a new connection. A reused connection may have gone silent or may carry
/// the response to an earlier request. A new one is known to reach the target before the request is
/// written, so that a failure to connect proves that the request did not run.
class TargetConnector final : public forwarding::ITargetConnector {
public:
  TargetConnector(boost::asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
                  std::chrono::milliseconds ConnectTimeout)
      : m_Loop(Loop), m_Timers(Timers), m_Clock(Clock), m_ConnectTimeout(ConnectTimeout) {}

  auto send(const forwarding::TargetRecord &Target, std::string Head,
            std::shared_ptr<const std::string> Body, bool IsHeadMethod,
            forwarding::ITargetEventHandler &Events)
      -> std::unique_ptr<forwarding::ITargetAttempt> override;

private:
  boost::asio::io_context &m_Loop;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  std::chrono::milliseconds m_ConnectTimeout;
};

} // namespace geraniumlift::transport
