#include "transport/datagramsocket.h"

#include <boost/asio/buffer.hpp>
#include <fmt/format.h>

namespace geraniumlift::transport {

using boost::asio::ip::udp;
using boost::system::error_code;

DatagramSocket::DatagramSocket(boost::asio::io_context &Loop, Receiver OnReceived)
    : m_Socket(Loop), m_OnReceived(std::move(OnReceived)) {}

auto DatagramSocket::open(const std::string &Address, std::uint16_t Port) -> absl::Status {
  auto Error = error_code();
  const auto Ip = boost::asio::ip::make_address_v4(Address, Error);
  if (!Error) {
    m_Socket.open(udp::v4(), Error);
  }
  if (!Error) {
    m_Socket.bind({Ip, Port}, Error);
  }
  if (!Error) {
    m_Socket.non_blocking(true, Error);
  }
  if (Error) {
    return absl::UnavailableError(
        fmt::format("cannot use {}:{} for datagrams: {}", Address, Port, Error.message()));
  }
  receive();
  return absl::OkStatus();
}

auto DatagramSocket::send(const std::string &Address, std::uint16_t Port, std::string_view Bytes)
    -> void {
  auto Error = error_code();
  const auto Ip = boost::asio::ip::make_address_v4(Address, Error);
  if (!Error) {
    // The error is ignored: the protocol tolerates lost datagrams, and the next one replaces it.
    m_Socket.send_to(boost::asio::buffer(Bytes.data(), Bytes.size()), {Ip, Port}, 0, Error);
  }
}

auto DatagramSocket::receive() -> void {
  m_Socket.async_receive_from(boost::asio::buffer(m_Buffer), m_Sender,
                              [this](const error_code &Error, std::size_t Size) {
                                if (Error == boost::asio::error::operation_aborted) {
                                  return;
                                }
                                // Other errors report that an earlier datagram was not delivered.
                                if (!Error) {
                                  m_OnReceived(std::string_view(m_Buffer.data(), Size));
                                }
                                receive();
                              });
}

} // namespace geraniumlift::transport
