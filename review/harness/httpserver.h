#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

/// One HTTP/1.1 message with its whole body. The names of the fields are in lower case.
struct Message {
  std::string m_Start;
  std::map<std::string, std::string> m_Fields;
  std::string m_Body;

  /// The value of a field; empty if it is absent.
  [[nodiscard]] auto field(const std::string &Name) const -> std::string;

  /// The request target of a request, or the status of a response.
  [[nodiscard]] auto secondWord() const -> std::string;
};

/// A connected TCP socket on loopback with blocking functions.
class Connection {
public:
  explicit Connection(int Socket) : m_Socket(Socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  auto operator=(const Connection &) -> Connection & = delete;

  /// Connects to a loopback port.
  static auto connectTo(int Port) -> int;

  /// Reads the next message. Returns false if the connection ends or the time is over before the
  /// message is complete; what has arrived is in the message all the same.
  auto read(Message &Into, std::chrono::milliseconds Timeout) -> bool;

  auto write(const std::string &Bytes) const -> bool;
  auto shutDown() const -> void;

private:
  auto fill(std::chrono::steady_clock::time_point Until) -> bool;
  auto readChunks(Message &Into, std::chrono::steady_clock::time_point Until) -> bool;

  int m_Socket;
  std::string m_Buffer;
};

/// Serves requests on one free loopback port, each connection on a thread of its own.
class HttpServer {
public:
  /// Answers one request; returns false if the connection is to be closed.
  using Handler = std::function<bool(Connection &, const Message &)>;

  explicit HttpServer(Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  [[nodiscard]] auto port() const -> int { return m_Port; }

private:
  auto accept() -> void;
  auto serve(int Socket) -> void;

  Handler m_Handler;
  int m_Listener = -1;
  int m_Port = 0;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<int> m_Threads{0};
  std::mutex m_Mutex;
  std::set<Connection *> m_Connections;
  std::thread m_Acceptor;
};

/// A response with a JSON body.
auto jsonResponse(int Status, const std::string &Body) -> std::string;

/// A free TCP and UDP port on loopback, another one at each call.
auto freePort() -> int;

} // namespace review
