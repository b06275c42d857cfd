#pragma once

#include <absl/status/status.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace geraniumlift::transport {

/// A UDP socket bound to one IPv4 address. Datagrams may be lost and are not retransmitted.
class DatagramSocket {
public:
  using Receiver = std::function<void(std::string_view Bytes)>;

  DatagramSocket(boost::asio::io_context &Loop, Receiver OnReceived);

  /// Binds the socket and starts to receive. Returns Unavailable if the address cannot be used.
  auto open(const std::string &Address, std::uint16_t Port) -> absl::Status;

  /// Sends without blocking. A datagram that does not fit into the socket's send buffer is dropped.
  auto send(const std::string &Address, std::uint16_t Port, std::string_view Bytes) -> void;

private:
  auto receive() -> void;

  boost::asio::ip::udp::socket m_Socket;
  Receiver m_OnReceived;
  boost::asio::ip::udp::endpoint m_Sender;
  std::array<char, 65536> m_Buffer;
};

} // namespace geraniumlift::transport
