#pragma once

#include "base/itimers.h"
#include "forwarding/forwardingcontext.h"
#include "transport/memoryaccount.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace geraniumlift::transport {

class CallerConnection;

/// A response that a DirectHandler returns.
struct DirectResponse {
  int m_Status = 200;
  std::string m_Reason = "OK";
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

/// Handles a request synchronously, without forwarding it.
using DirectHandler = std::function<DirectResponse(const http1::RequestHead &)>;

/// Limits of the server.
struct ServerOptions {
  /// Maximum number of open connections; a further one takes the place of one that has not moved
  /// for long and is not being served. Limits the use of file descriptors.
  std::size_t m_MaxConnections = 3000;

  /// Time for a request body to arrive, counted from the end of its header. After that the request
  /// is refused and the connection closed.
  std::chrono::milliseconds m_BodyTimeout{20000};

  /// Time for one write to complete. If the caller does not read that fast, the connection is
  /// closed.
  std::chrono::milliseconds m_WriteTimeout{20000};

  /// Limits of what the connections hold.
  MemoryOptions m_Memory;
};

/// Accepts callers' connections on one address. Requests are either forwarded, each by a
/// ForwardSession, or handled synchronously by a DirectHandler.
class CallerServer {
public:
  CallerServer(boost::asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
               ServerOptions Options);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  auto operator=(const CallerServer &) -> CallerServer & = delete;

  /// Listens and forwards requests. Returns Unavailable if the address cannot be used. The context
  /// must outlive the server.
  auto listen(const std::string &Address, std::uint16_t Port,
              forwarding::ForwardingContext &Context) -> absl::Status;

  /// Listens and passes requests to the handler. Returns Unavailable if the address cannot be used.
  auto listen(const std::string &Address, std::uint16_t Port, DirectHandler Handler)
      -> absl::Status;

  /// From now on closes each connection after its current or next response. The response carries
  /// `Connection: close` unless its header has already been sent.
  auto closeAfterResponses() -> void;

  /// Closes the connections on which no request is being read or served.
  auto closeIdle() -> void;

  /// Answers the requests that are being served and whose responses have not begun, because the
  /// process ends.
  auto answerBeforeStop() -> void;

  [[nodiscard]] auto connections() const -> std::size_t;

  /// The account of what the connections hold.
  [[nodiscard]] auto memory() -> MemoryAccount &;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::transport
