#pragma once

#include "gateway/gatewaytypes.h"

#include <functional>

namespace geraniumlift::gateway {

/// One request of a caller and the means to respond to it: either respond() once, or beginStream(),
/// any number of write() and one of endStream() and abortStream(). Thread-safe.
class ICallerExchange {
public:
  virtual ~ICallerExchange() = default;

  [[nodiscard]] virtual auto request() const -> const CallerRequest & = 0;

  virtual auto respond(CallerResponse Answer) -> void = 0;

  /// Sends the headers of a streamed response.
  virtual auto beginStream(std::string ContentType, std::map<std::string, std::string> Headers)
      -> void = 0;
  virtual auto write(std::string Bytes) -> void = 0;
  virtual auto endStream() -> void = 0;

  /// Closes the connection without the end of the body, so that the caller sees a truncated
  /// response.
  virtual auto abortStream() -> void = 0;

  /// Sets the function that runs, at most once and on any thread, when the caller has disconnected.
  virtual auto setDisconnectHandler(std::function<void()> OnDisconnect) -> void = 0;
};

} // namespace geraniumlift::gateway
