#pragma once

#include <string>

namespace geraniumlift::standins {

/// The sending side of one open connection.
class IEventSink {
public:
  virtual ~IEventSink() = default;

  /// Sends bytes of the event stream. False once the receiver has gone.
  virtual auto send(const std::string &Bytes) -> bool = 0;

  /// Ends the response.
  virtual auto close() -> void = 0;
};

} // namespace geraniumlift::standins
