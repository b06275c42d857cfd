#pragma once

#include "base/ischeduler.h"
#include "targets/internal/httptypes.h"
#include "targets/internal/ihttpreceiver.h"

#include <chrono>
#include <memory>

namespace geraniumlift::targets {

/// A client of one base URL that keeps its connections for reuse.
struct HttpClient;

/// Opens no connection yet. Throws if the URL is malformed.
auto makeHttpClient(const std::string &Url, std::chrono::milliseconds ConnectTimeout)
    -> std::shared_ptr<HttpClient>;

/// One request and its response.
class HttpExchange {
public:
  /// Sends the request. The receiver is called on the scheduler while both exist. The exchange goes
  /// on until its end or until cancel, also if the returned pointer is dropped.
  static auto start(const std::shared_ptr<HttpClient> &Client, const HttpRequest &Request,
                    std::weak_ptr<base::IScheduler> Scheduler,
                    std::weak_ptr<IHttpReceiver> Receiver) -> std::shared_ptr<HttpExchange>;

  HttpExchange(std::weak_ptr<base::IScheduler> Scheduler, std::weak_ptr<IHttpReceiver> Receiver);
  ~HttpExchange();

  /// Closes the connection. Calls to the receiver that are under way still arrive.
  auto cancel() -> void;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

/// Whether every header value can be sent: no control characters.
auto hasValidHeaders(const HttpRequest &Request) -> bool;

} // namespace geraniumlift::targets
