#pragma once

#include "admission/dispatchtypes.h"

namespace geraniumlift::gateway {

/// A request that waits for a target. Called on the gateway's scheduler thread.
class IDispatchClient {
public:
  virtual ~IDispatchClient() = default;

  /// Tells the request to start on a target. May come again after a retry was queued.
  virtual auto onDispatch(const admission::Dispatch &Decision) -> void = 0;

  /// Tells that the request was given up. The last call.
  virtual auto onRejection(const base::Refusal &Refusal) -> void = 0;
};

} // namespace geraniumlift::gateway
