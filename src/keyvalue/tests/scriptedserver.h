#pragma once

#include <atomic>
#include <memory>
#include <string>

namespace geraniumlift::keyvalue {

/// How the server handles requests.
enum class ServerMode {
  /// Answers with an empty JSON object.
  Answer,
  /// Closes the connection once the request has arrived.
  Close,
  /// Leaves requests unanswered on connections that were open when the mode was set; answers on
  /// newer connections.
  SilenceOpenConnections,
};

/// An HTTP server that closes or ignores connections in ways that the stand-in's HTTP library
/// cannot.
class ScriptedServer {
public:
  ScriptedServer();
  ~ScriptedServer();

  [[nodiscard]] auto url() const -> std::string;
  auto setMode(ServerMode Mode) -> void;

  /// Number of requests received so far, answered or not.
  [[nodiscard]] auto requestCount() const -> int;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace geraniumlift::keyvalue
