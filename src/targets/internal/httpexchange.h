#pragma once

#include "base/asioscheduler.h"
#include "targets/internal/httptypes.h"
#include "targets/internal/ihttpreceiver.h"

#include <chrono>
#include <memory>

namespace geraniumlift::targets {

/// HTTP client for one base URL, which keeps its connections open for reuse. Used on the
/// scheduler's thread only.
struct HttpClient;

/// Creates a client without opening a connection. Throws if the URL is malformed.
auto makeHttpClient(const std::string &Url, std::chrono::milliseconds ConnectTimeout)
    -> std::shared_ptr<HttpClient>;

/// One request and its response. Used on the scheduler's thread only.
class HttpExchange {
  struct State;

public:
  /// Sends the request. The receiver is called on the scheduler, after this function has returned,
  /// while it exists. The exchange continues until the response ends or cancel is called, even if
  /// the returned pointer is destroyed. Throws if the request cannot be sent.
  static auto start(const std::shared_ptr<HttpClient> &Client, const HttpRequest &Request,
                    base::AsioScheduler &Scheduler, std::weak_ptr<IHttpReceiver> Receiver)
      -> std::shared_ptr<HttpExchange>;

  explicit HttpExchange(std::shared_ptr<State> Started);
  ~HttpExchange();

  /// Closes the connection; no call to the receiver follows.
  auto cancel() -> void;

private:
  std::shared_ptr<State> m_State;
};

/// Whether no header value contains a control character, which could not be sent.
auto hasValidHeaders(const HttpRequest &Request) -> bool;

} // namespace geraniumlift::targets
