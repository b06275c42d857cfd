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

/// An HTTP listener that passes each request to the handler as an exchange. Oversized requests are
/// refused without calling the handler.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<ICallerExchange>)>;

  HttpServer(HttpServerOptions Options, Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  /// Binds and listens. Returns Unavailable if that fails, for example if the address is in use.
  auto open() -> absl::Status;

  /// Stops listening and waits for responses in progress.
  auto close() -> void;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::gateway
