#pragma once

#include "http1/messageparser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumlift::standins {

/// What a stand-in sends in answer to a request.
struct Reply {
  /// Sent as it is, at once.
  std::string m_Bytes;

  /// Whether the connection is closed afterwards; with no bytes, the answer is lost.
  bool m_Closes = false;
};

/// One request as a stand-in gets it.
struct Received {
  http1::RequestHead m_Head;
  std::string m_Body;
};

/// Serves requests on one loopback port, one after the other on each connection. A handler that
/// returns nothing leaves the caller without an answer on an open connection.
class ByteServer {
public:
  using Handler = std::function<std::optional<Reply>(const Received &)>;

  ByteServer(boost::asio::io_context &Loop, int Port, Handler OnRequest);

  /// Closes all connections and refuses new ones until the pause is over, then runs the callback.
  /// May be called from the handler, whose reply is then not sent.
  auto crash(std::chrono::milliseconds Pause, std::function<void()> Restarted) -> void;

private:
  class Connection;

  auto accept() -> void;

  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::ip::tcp::endpoint m_Endpoint;
  boost::asio::steady_timer m_RestartTimer;
  std::shared_ptr<Handler> m_Handler;
  std::vector<std::weak_ptr<Connection>> m_Connections;
};

/// A whole answer with a JSON body.
auto jsonReply(int Status, const std::string &Body) -> Reply;

/// The value of a query field in a request target, percent-decoded; empty if absent.
auto queryValue(const std::string &Target, const std::string &Name) -> std::string;

} // namespace geraniumlift::standins
