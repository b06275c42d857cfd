#pragma once

#include <atomic>
#include <memory>
#include <string>

namespace geraniumlift::keyvalue {

/// What the server does with the requests that reach it.
enum class ServerMode {
  /// Answers with an empty JSON object.
  Answer,
  /// Closes the connection once the request has arrived.
  Close,
  /// Connections that are open now never get an answer again; new ones do.
  SilenceOpenConnections,
};

/// An HTTP server that breaks connections in ways that the stand-in's library does not allow.
class ScriptedServer {
public:
  ScriptedServer();
  ~ScriptedServer();

  [[nodiscard]] auto url() const -> std::string;
  auto setMode(ServerMode Mode) -> void;

  /// Requests that arrived so far, answered or not.
  [[nodiscard]] auto requestCount() const -> int;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace geraniumlift::keyvalue
