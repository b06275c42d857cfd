#pragma once

#include "base/ischeduler.h"
#include "targets/internal/httptypes.h"
#include "targets/internal/ihttpreceiver.h"

#include <chrono>
#include <memory>

namespace geraniumlift::targets {

/// HTTP client for one base URL, which keeps its connections open for reuse.
struct HttpClient;

/// Creates a client without opening a connection. Throws if the URL is malformed.
auto makeHttpClient(const std::string &Url, std::chrono::milliseconds ConnectTimeout)
    -> std::shared_ptr<HttpClient>;

/// One request and its response.
class HttpExchange {
public:
  /// Sends the request. The receiver is called on the scheduler while both exist. The exchange
  /// continues until the response ends or cancel is called, even if the returned pointer is
  /// destroyed.
  static auto start(const std::shared_ptr<HttpClient> &Client, const HttpRequest &Request,
                    std::weak_ptr<base::IScheduler> Scheduler,
                    std::weak_ptr<IHttpReceiver> Receiver) -> std::shared_ptr<HttpExchange>;

  HttpExchange(std::weak_ptr<base::IScheduler> Scheduler, std::weak_ptr<IHttpReceiver> Receiver);
  ~HttpExchange();

  /// Closes the connection. Calls to the receiver that are already under way still arrive.
  auto cancel() -> void;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

/// Whether no header value contains a control character, which could not be sent.
auto hasValidHeaders(const HttpRequest &Request) -> bool;

} // namespace geraniumlift::targets
