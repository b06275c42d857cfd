#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace geraniumlift::standins {

/// What a BrokenServer sends in answer to each request.
struct BrokenAnswer {
  /// How the connection ends. A close with bytes of the request unread resets the connection.
  enum class Ending { Close, Stay };

  /// Sent as it is; "{id}" stands for the ID of the request.
  std::string m_Start;

  /// Sent after m_Start again and again, until the caller closes the connection.
  std::string m_Endless;
  Ending m_Ending = Ending::Stay;

  /// Whether the answer begins when the head of the request has arrived, not at its end.
  bool m_IsEarly = false;

  /// How long the server works on a request before it answers.
  std::chrono::milliseconds m_Delay{0};
};

/// A server in trouble on a loopback port: its answers are broken. Runs on a thread of its own.
class BrokenServer {
public:
  explicit BrokenServer(BrokenAnswer Answer);
  ~BrokenServer();
  BrokenServer(const BrokenServer &) = delete;
  auto operator=(const BrokenServer &) -> BrokenServer & = delete;

  [[nodiscard]] auto port() const -> int { return m_Acceptor.local_endpoint().port(); }

  /// Sets the answer of the connections to come.
  auto answerWith(BrokenAnswer Answer) -> void;

  /// Requests that have arrived.
  [[nodiscard]] auto requests() const -> int { return m_Requests; }

  /// Whether a request with this ID has arrived.
  [[nodiscard]] auto hasReceived(const std::string &RequestId) -> bool;

private:
  class Connection;

  auto accept() -> void;
  auto record(const std::string &RequestId) -> void;

  std::mutex m_Mutex;
  BrokenAnswer m_Answer;
  boost::asio::io_context m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::atomic<int> m_Requests{0};
  std::set<std::string> m_Received;
  std::thread m_Thread;
};

} // namespace geraniumlift::standins
