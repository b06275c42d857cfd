#pragma once

#include "keyvalue/endpoint.h"

#include <absl/status/statusor.h>
#include <cpprest/http_client.h>
#include <functional>
#include <memory>
#include <string>

namespace geraniumlift::keyvalue {

/// Sends HTTP requests, each with a deadline, and parses JSON responses. Sends no request twice.
/// Thread-safe.
class JsonHttpClient {
public:
  /// Runs exactly once, with the body of a response with status 200 or with the error.
  using Callback = std::function<void(absl::StatusOr<web::json::value>)>;

  explicit JsonHttpClient(PlatformEndpoint Endpoint);

  /// Ends open calls with Cancelled.
  ~JsonHttpClient();

  auto get(const std::string &Path, Callback Done) -> void;
  auto post(const std::string &Path, const web::json::value &Body, Callback Done) -> void;

private:
  class Call;
  struct State;

  auto send(const web::http::http_request &Request, Callback Done) -> void;

  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::keyvalue
