#pragma once

#include "targets/internal/httptypes.h"

#include <string_view>

namespace geraniumlift::targets {

/// Receives one exchange, one call at a time on the scheduler's thread.
class IHttpReceiver {
public:
  virtual ~IHttpReceiver() = default;

  virtual auto onHead(const HttpResponseHead &Head) -> void = 0;
  virtual auto onBytes(std::string_view Bytes) -> void = 0;

  /// The last call.
  virtual auto onEnd(const HttpEnd &End) -> void = 0;
};

} // namespace geraniumlift::targets
