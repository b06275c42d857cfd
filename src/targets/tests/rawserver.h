#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

namespace geraniumlift::targets {

/// Accepts one connection, reads once, writes fixed bytes and closes the connection.
class RawServer {
public:
  explicit RawServer(std::string Bytes, int Requests = 1)
      : m_Thread([this, Moved = std::move(Bytes), Requests] { serve(Moved, Requests); }) {}
  ~RawServer() { m_Thread.join(); }

  auto url() -> std::string {
    return "http://127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }

private:
  using Tcp = boost::asio::ip::tcp;

  auto serve(const std::string &Bytes, int Requests) -> void {
    auto Error = boost::system::error_code();
    auto Socket = m_Acceptor.accept(Error);
    auto Buffer = std::array<char, 4096>();
    for (auto Number = 0; Number < Requests && !Error; ++Number) {
      Socket.read_some(boost::asio::buffer(Buffer), Error);
      boost::asio::write(Socket, boost::asio::buffer(Bytes), Error);
    }
  }

  boost::asio::io_context m_Context;
  Tcp::acceptor m_Acceptor{m_Context, {boost::asio::ip::address_v4::loopback(), 0}};
  std::thread m_Thread;
};

} // namespace geraniumlift::targets
