#include "transport/listenercheck.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

namespace geraniumlift::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// State of one check. The pending operation keeps it alive.
struct Check {
  Check(asio::io_context &Loop, std::function<void(bool)> Done)
      : m_Socket(Loop), m_Done(std::move(Done)) {}

  tcp::socket m_Socket;
  std::function<void(bool)> m_Done;
  base::TimerId m_Timer = 0;
};

} // namespace

auto ListenerCheck::checkListener(const std::string &Ip, std::uint16_t Port,
                                  std::function<void(bool)> Done) -> void {
  auto Error = error_code();
  const auto State = std::make_shared<Check>(m_Loop, std::move(Done));
  const auto Address = asio::ip::make_address_v4(Ip, Error);
  if (!Error) {
    State->m_Socket.open(tcp::v4(), Error);
  }
  if (Error) {
    // Without a socket nothing is known; a process counts as gone only if its address says so.
    asio::post(m_Loop, [State] { State->m_Done(true); });
    return;
  }
  State->m_Timer = m_Timers.start(m_Clock.steadyNow() + m_Timeout, [State] {
    State->m_Timer = 0;
    auto Ignored = error_code();
    State->m_Socket.close(Ignored);
  });
  State->m_Socket.async_connect({Address, Port}, [this, State](const error_code &Failure) {
    m_Timers.cancel(std::exchange(State->m_Timer, 0));
    auto Ignored = error_code();
    State->m_Socket.close(Ignored);
    State->m_Done(!Failure);
  });
}

} // namespace geraniumlift::transport
