#pragma once

#include "targets/internal/httptypes.h"

#include <string_view>

namespace geraniumlift::targets {

/// Receives the response of one exchange. Calls run on the scheduler's thread and do not overlap.
class IHttpReceiver {
public:
  virtual ~IHttpReceiver() = default;

  virtual auto onHead(const HttpResponseHead &Head) -> void = 0;
  virtual auto onBytes(std::string_view Bytes) -> void = 0;

  /// Called last.
  virtual auto onEnd(const HttpEnd &End) -> void = 0;
};

} // namespace geraniumlift::targets
