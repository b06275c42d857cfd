#pragma once

#include "base/itimers.h"
#include "forwarding/forwardingcontext.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace geraniumlift::transport {

class CallerConnection;

/// An answer to a request that the server's owner gives at once.
struct DirectResponse {
  int m_Status = 200;
  std::string m_Reason = "OK";
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

/// Answers a request without forwarding it.
using DirectHandler = std::function<DirectResponse(const http1::RequestHead &)>;

/// Limits of the server.
struct ServerOptions {
  /// Connections beyond this are closed at once. Bounds descriptors.
  std::size_t m_MaxConnections = 3000;

  /// A body that takes longer than this to arrive ends the connection.
  std::chrono::milliseconds m_BodyTimeout{20000};

  /// A connection that reads nothing of its answer for this long is closed.
  std::chrono::milliseconds m_WriteTimeout{20000};
};

/// Accepts callers' connections on one address and serves their requests, either by sessions of the
/// forwarding path or by a handler that answers at once.
class CallerServer {
public:
  CallerServer(boost::asio::io_context &Loop, base::ITimers &Timers, ServerOptions Options);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  auto operator=(const CallerServer &) -> CallerServer & = delete;

  /// Listens and forwards requests. Unavailable if the address cannot be used.
  auto listen(const std::string &Address, std::uint16_t Port,
              forwarding::ForwardingContext &Context) -> absl::Status;

  /// Listens and answers requests at once.
  auto listen(const std::string &Address, std::uint16_t Port, DirectHandler Handler)
      -> absl::Status;

  /// From now on every answer tells the caller that the connection ends with it.
  auto closeAfterResponses() -> void;

  /// Closes the connections on which no request is being served.
  auto closeIdle() -> void;

  [[nodiscard]] auto connections() const -> std::size_t;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::transport
