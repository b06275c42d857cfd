#include "standins/platform/byteserver.h"

#include <array>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace geraniumlift::standins {

using boost::asio::ip::tcp;
using boost::system::error_code;

class ByteServer::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(tcp::socket Socket, std::shared_ptr<Handler> OnRequest)
      : m_Socket(std::move(Socket)), m_Handler(std::move(OnRequest)) {}

  auto read() -> void {
    m_Socket.async_read_some(
        boost::asio::buffer(m_Buffer),
        [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
          if (!Error) {
            Self->take(std::string_view(Self->m_Buffer.data(), Size));
          }
        });
  }

  /// Resets the connection.
  auto abort() -> void {
    auto Ignored = error_code();
    m_Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    m_Socket.close(Ignored);
  }

private:
  auto take(std::string_view Bytes) -> void {
    const auto Used = m_Parser.feed(Bytes);
    if (!Used.ok()) {
      return;
    }
    if (!m_Parser.isDone()) {
      read();
      return;
    }
    const auto Answer = (*m_Handler)({m_Parser.head(), m_Parser.body()});
    m_Parser = http1::RequestParser(http1::MessageLimits());
    if (!m_Socket.is_open()) {
      return;
    }
    if (!Answer) {
      // Reading on notices the caller's close.
      read();
      return;
    }
    m_Out = Answer->m_Bytes;
    boost::asio::async_write(m_Socket, boost::asio::buffer(m_Out),
                             [Self = shared_from_this(),
                              Closes = Answer->m_Closes](const error_code &Error, std::size_t) {
                               if (!Error && !Closes) {
                                 Self->read();
                               }
                             });
  }

  tcp::socket m_Socket;
  std::shared_ptr<Handler> m_Handler;
  http1::RequestParser m_Parser{http1::MessageLimits()};
  std::string m_Out;
  std::array<char, 16384> m_Buffer;
};

ByteServer::ByteServer(boost::asio::io_context &Loop, int Port, Handler OnRequest)
    : m_Acceptor(Loop),
      m_Endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), static_cast<std::uint16_t>(Port)),
      m_RestartTimer(Loop), m_Handler(std::make_shared<Handler>(std::move(OnRequest))) {
  m_Acceptor = tcp::acceptor(Loop, m_Endpoint);
  accept();
}

auto ByteServer::accept() -> void {
  m_Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
    if (Error) {
      return;
    }
    const auto Accepted = std::make_shared<Connection>(std::move(Socket), m_Handler);
    std::erase_if(m_Connections, [](const auto &Item) { return Item.expired(); });
    m_Connections.push_back(Accepted);
    Accepted->read();
    accept();
  });
}

auto ByteServer::crash(std::chrono::milliseconds Pause, std::function<void()> Restarted) -> void {
  auto Ignored = error_code();
  m_Acceptor.close(Ignored);
  for (const auto &Item : m_Connections) {
    if (const auto Open = Item.lock()) {
      Open->abort();
    }
  }
  m_RestartTimer.expires_after(Pause);
  m_RestartTimer.async_wait([this, Restarted = std::move(Restarted)](const error_code &Error) {
    if (!Error) {
      m_Acceptor = tcp::acceptor(m_Acceptor.get_executor(), m_Endpoint);
      accept();
      Restarted();
    }
  });
}

auto jsonReply(int Status, const std::string &Body) -> Reply {
  return {
      fmt::format("HTTP/1.1 {} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                  Status, Body.size(), Body)};
}

auto queryValue(const std::string &Target, const std::string &Name) -> std::string {
  const auto Begin = Target.find_first_of("?&") == std::string::npos
                         ? std::string::npos
                         : std::min(Target.find("?" + Name + "="), Target.find("&" + Name + "="));
  if (Begin == std::string::npos) {
    return {};
  }
  const auto Encoded =
      Target.substr(Begin + Name.size() + 2, Target.find('&', Begin + 1) - Begin - Name.size() - 2);
  auto Text = std::string();
  for (std::size_t At = 0; At < Encoded.size(); ++At) {
    if (Encoded[At] == '%' && At + 2 < Encoded.size()) {
      Text += static_cast<char>(std::stoi(Encoded.substr(At + 1, 2), nullptr, 16));
      At += 2;
    } else {
      Text += Encoded[At];
    }
  }
  return Text;
}

} // namespace geraniumlift::standins
