#pragma once

#include "base/itimers.h"
#include "http1/messageparser.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace geraniumlift::transport {

/// The response to a call.
struct CallResponse {
  int m_Status = 0;
  std::string m_Body;
  http1::HeaderFields m_Fields = {};
};

/// Why a call got no response.
enum class CallFailure {
  /// The request was not sent, so the service has not executed it.
  NotSent,
  /// The request was sent; the service may have executed it.
  NoResponse,
};

/// The outcome of a call. m_Failure is valid only without a response.
struct CallResult {
  std::optional<CallResponse> m_Response;
  CallFailure m_Failure = CallFailure::NoResponse;
};

/// One request to an HTTP service.
struct CallRequest {
  std::string m_Method;
  std::string m_Target;

  /// Sent as JSON if not empty.
  std::string m_Body;

  /// Time without progress after which the call fails: from its start until the response begins,
  /// connecting included, and then from one part of the response to the next. A large response
  /// behind a slow link takes its time.
  std::chrono::milliseconds m_Timeout{1000};

  /// Time from the start of the call after which it fails whatever arrives.
  std::chrono::milliseconds m_MaxTime{10000};
};

/// Client of one HTTP service. Connections are reused between calls. A connection on which a call
/// failed is closed, since a later response on it could belong to that call.
class HttpClient {
public:
  using Callback = std::function<void(CallResult)>;

  /// The address is an IPv4 address. The event loop and the timers must outlive the client.
  HttpClient(boost::asio::io_context &Loop, base::ITimers &Timers, std::string Address,
             std::uint16_t Port);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  auto operator=(const HttpClient &) -> HttpClient & = delete;

  /// Sends the request. The callback runs exactly once, after this function has returned.
  auto call(CallRequest Request, Callback Done) -> void;

  /// When the last part of a successful response arrived; nothing before the first one.
  [[nodiscard]] auto lastHeardAt() const -> std::optional<base::SteadyTime>;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::transport
