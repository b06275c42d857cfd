#pragma once

#include "targets/ienginestream.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace geraniumlift::targets {

/// Sends HTTP requests to model engines and plain services. Thread-safe. Callbacks may run on any
/// thread and must not block.
class ITargetClient {
public:
  virtual ~ITargetClient() = default;

  /// Starts a completion. A connection without progress is replaced and the stream resumed from the
  /// next offset.
  virtual auto startStream(StreamRequest Request, std::shared_ptr<IStreamObserver> Observer)
      -> std::shared_ptr<IEngineStream> = 0;

  /// Calls a plain service once. Done receives the result, also after a failure.
  virtual auto callService(ServiceRequest Request, std::function<void(ServiceResult)> Done)
      -> void = 0;

  /// Reads an engine's load report.
  virtual auto readLoad(std::string Url, std::function<void(absl::StatusOr<EngineLoad>)> Done)
      -> void = 0;
};

} // namespace geraniumlift::targets
