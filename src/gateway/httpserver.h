#pragma once

#include "gateway/icallerexchange.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <string>

namespace geraniumlift::gateway {

struct HttpServerOptions {
  /// Base URL with an IP number and a port.
  std::string m_Url;
  std::int64_t m_BodyLimitBytes = 1'000'000;
};

/// An HTTP listener that turns requests into exchanges. Oversized requests are answered here.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<ICallerExchange>)>;

  HttpServer(HttpServerOptions Options, Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  /// Binds and listens. An address in use gives Unavailable.
  auto open() -> absl::Status;

  /// Stops listening and waits for running answers.
  auto close() -> void;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::gateway
