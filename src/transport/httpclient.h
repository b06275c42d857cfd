#pragma once

#include "base/itimers.h"
#include "http1/messageparser.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace geraniumlift::transport {

/// An answer to a call.
struct CallResponse {
  int m_Status = 0;
  std::string m_Body;
};

/// What is known of a call that got no answer.
enum class CallFailure {
  /// Nothing was sent.
  NotSent,
  /// The call may have been carried out.
  NoResponse,
};

struct CallResult {
  std::optional<CallResponse> m_Response;
  CallFailure m_Failure = CallFailure::NoResponse;
};

/// One call of an HTTP service.
struct CallRequest {
  std::string m_Method;
  std::string m_Target;

  /// Sent as JSON if not empty.
  std::string m_Body;

  /// Time from sending to the whole answer.
  std::chrono::milliseconds m_Timeout{1000};
};

/// Calls one HTTP service. Connections are kept between calls; one on which a call failed is
/// closed, since later answers on it could belong to that call.
class HttpClient {
public:
  using Callback = std::function<void(CallResult)>;

  HttpClient(boost::asio::io_context &Loop, base::ITimers &Timers, std::string Address,
             std::uint16_t Port);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  auto operator=(const HttpClient &) -> HttpClient & = delete;

  /// Sends the call. The callback runs once, later.
  auto call(CallRequest Request, Callback Done) -> void;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::transport
