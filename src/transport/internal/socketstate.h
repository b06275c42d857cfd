#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace geraniumlift::transport {

/// Whether the peer has not acknowledged all that was written.
inline auto hasUnacknowledgedBytes(boost::asio::ip::tcp::socket &Socket) -> bool {
  auto Unacknowledged = 0;
  return ::ioctl(Socket.native_handle(), SIOCOUTQ, &Unacknowledged) == 0 && Unacknowledged > 0;
}

/// Whether the connection has failed and the error was not reported yet. The system reports a reset
/// only once, and if a write gets the error, the next read sees a regular end.
inline auto hasPendingError(boost::asio::ip::tcp::socket &Socket) -> bool {
  using PendingError = boost::asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR>;
  auto Pending = PendingError();
  auto Error = boost::system::error_code();
  Socket.get_option(Pending, Error);
  return Error.failed() || Pending.value() != 0;
}

} // namespace geraniumlift::transport
