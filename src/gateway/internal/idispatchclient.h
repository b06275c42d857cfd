#pragma once

#include "admission/dispatchtypes.h"

namespace geraniumlift::gateway {

/// A request that waits for a target. Called on the gateway's scheduler thread.
class IDispatchClient {
public:
  virtual ~IDispatchClient() = default;

  /// Starts the request on a target. Called again if a retry was queued.
  virtual auto onDispatch(const admission::Dispatch &Decision) -> void = 0;

  /// Reports that the dispatcher rejected the request. No call follows unless the request is queued
  /// again, for example for a fallback pool.
  virtual auto onRejection(const base::Refusal &Refusal) -> void = 0;
};

} // namespace geraniumlift::gateway
