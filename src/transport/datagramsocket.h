#pragma once

#include <absl/status/status.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace geraniumlift::transport {

/// Sends and receives datagrams at one address. Datagrams may be lost; nothing is sent again.
class DatagramSocket {
public:
  using Receiver = std::function<void(std::string_view Bytes)>;

  DatagramSocket(boost::asio::io_context &Loop, Receiver OnReceived);

  /// Unavailable if the address cannot be used.
  auto open(const std::string &Address, std::uint16_t Port) -> absl::Status;

  /// Sends without waiting; a datagram that does not fit into the socket's buffer is lost.
  auto send(const std::string &Address, std::uint16_t Port, std::string_view Bytes) -> void;

private:
  auto receive() -> void;

  boost::asio::ip::udp::socket m_Socket;
  Receiver m_OnReceived;
  boost::asio::ip::udp::endpoint m_Sender;
  std::array<char, 65536> m_Buffer;
};

} // namespace geraniumlift::transport
