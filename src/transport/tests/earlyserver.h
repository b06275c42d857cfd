#pragma once

#include "base/itimers.h"
#include "transport/asiotimers.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace geraniumlift::transport::tests {

/// A server that answers as soon as it has read the head of an upload, and then ends the
/// connection.
class EarlyServer {
public:
  /// How the server ends the connection.
  enum class Ending {
    /// Closes with the rest of the upload unread, which resets the connection.
    Reset,
    /// As Reset, but a while after the answer.
    LateReset,
    /// Ends its side, reads the upload to its end and then closes.
    HalfClose,
    /// Ends its side and resets the connection a while later.
    HalfCloseAndReset,
    /// Keeps the connection open and reads the upload to its end.
    Stay,
  };

  EarlyServer(boost::asio::io_context &Loop, AsioTimers &Timers, std::string Answer, Ending How)
      : m_Timers(Timers), m_Acceptor(Loop), m_Socket(Loop), m_Answer(std::move(Answer)),
        m_How(How) {
    m_Acceptor.open(Tcp::v4());
    m_Acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    m_Acceptor.bind(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    m_Acceptor.listen();
    m_Acceptor.async_accept(m_Socket, [this](const boost::system::error_code &) { readHead(); });
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return m_Acceptor.local_endpoint().port(); }

  [[nodiscard]] auto isClosedByPeer() const -> bool { return m_IsClosedByPeer; }

private:
  using Tcp = boost::asio::ip::tcp;

  auto readHead() -> void {
    m_Socket.async_read_some(boost::asio::buffer(m_Buffer),
                             [this](const boost::system::error_code &, std::size_t) {
                               boost::asio::write(m_Socket, boost::asio::buffer(m_Answer));
                               end();
                             });
  }

  auto end() -> void {
    if (m_How == Ending::HalfClose || m_How == Ending::HalfCloseAndReset) {
      m_Socket.shutdown(Tcp::socket::shutdown_send);
    }
    if (m_How == Ending::Reset) {
      m_Socket.close();
    } else if (m_How == Ending::HalfClose || m_How == Ending::Stay) {
      readToEnd();
    } else {
      m_Timers.start(base::SteadyTime::clock::now() + std::chrono::milliseconds(50),
                     [this] { m_Socket.close(); });
    }
  }

  auto readToEnd() -> void {
    m_Socket.async_read_some(boost::asio::buffer(m_Buffer),
                             [this](const boost::system::error_code &Error, std::size_t) {
                               m_IsClosedByPeer = !!Error;
                               if (!Error) {
                                 readToEnd();
                               }
                             });
  }

  AsioTimers &m_Timers;
  Tcp::acceptor m_Acceptor;
  Tcp::socket m_Socket;
  std::string m_Answer;
  Ending m_How;
  bool m_IsClosedByPeer = false;
  std::array<char, 4096> m_Buffer;
};

/// Sizes of uploads, up to the limit of callers' bodies. The server's receive buffer takes none.
inline constexpr auto UploadBytes =
    std::array{std::size_t{128} * 1024, std::size_t{1024} * 1024, std::size_t{4} * 1024 * 1024};

} // namespace geraniumlift::transport::tests
