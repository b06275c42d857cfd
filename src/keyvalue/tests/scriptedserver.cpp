#include "scriptedserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <utility>

namespace geraniumlift::keyvalue {

using boost::asio::ip::tcp;

struct ScriptedServer::State {
  struct Connection {
    Connection(tcp::socket Socket, int Number) : m_Socket(std::move(Socket)), m_Number(Number) {}

    tcp::socket m_Socket;
    int m_Number;
    boost::asio::streambuf m_Input;
  };

  State() {
    accept();
    m_Thread = std::thread([this] { m_Context.run(); });
  }

  ~State() {
    m_Context.stop();
    m_Thread.join();
  }

  auto accept() -> void {
    m_Acceptor.async_accept([this](const boost::system::error_code &Error, tcp::socket Socket) {
      if (!Error) {
        read(std::make_shared<Connection>(std::move(Socket), ++m_AcceptedConnections));
        accept();
      }
    });
  }

  /// Reads until the end of a request, recognised by the end of its JSON body.
  auto read(const std::shared_ptr<Connection> &From) -> void {
    boost::asio::async_read_until(
        From->m_Socket, From->m_Input, "\"}",
        [this, From](const boost::system::error_code &Error, std::size_t) {
          if (!Error) {
            From->m_Input.consume(From->m_Input.size());
            ++m_RequestCount;
            respond(From);
          }
        });
  }

  auto respond(const std::shared_ptr<Connection> &To) -> void {
    const auto Mode = m_Mode.load();
    if (Mode == ServerMode::Close) {
      return;
    }
    if (Mode == ServerMode::Answer || To->m_Number > m_LastSilencedConnection) {
      static const auto Response = std::string(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
      boost::asio::write(To->m_Socket, boost::asio::buffer(Response));
    }
    read(To);
  }

  boost::asio::io_context m_Context{1};
  tcp::acceptor m_Acceptor{m_Context, {boost::asio::ip::address_v4::loopback(), 0}};
  std::atomic<ServerMode> m_Mode{ServerMode::Answer};
  std::atomic<int> m_AcceptedConnections{0};
  std::atomic<int> m_LastSilencedConnection{0};
  std::atomic<int> m_RequestCount{0};
  std::thread m_Thread;
};

ScriptedServer::ScriptedServer() : m_State(std::make_unique<State>()) {}
ScriptedServer::~ScriptedServer() = default;

auto ScriptedServer::url() const -> std::string {
  return "http://127.0.0.1:" + std::to_string(m_State->m_Acceptor.local_endpoint().port());
}

auto ScriptedServer::setMode(ServerMode Mode) -> void {
  m_State->m_LastSilencedConnection = m_State->m_AcceptedConnections.load();
  m_State->m_Mode = Mode;
}

auto ScriptedServer::requestCount() const -> int { return m_State->m_RequestCount; }

} // namespace geraniumlift::keyvalue
