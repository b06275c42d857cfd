#pragma once

#include "base/iclock.h"
#include "targets/itargetclient.h"
#include "telemetry/imetrics.h"

#include <chrono>
#include <memory>

namespace geraniumlift::targets {

/// Timeouts of an HttpTargetClient.
struct HttpTargetOptions {
  /// A stream that receives neither an event nor a comment for this long is resumed on a fresh
  /// connection.
  std::chrono::milliseconds m_ProgressTimeout{5000};

  /// Time to open a connection. The kernel enforces it, and also drops a connection whose sent
  /// bytes stay unacknowledged for this long.
  std::chrono::milliseconds m_ConnectTimeout{1000};

  /// Time to read a load report or to cancel a request.
  std::chrono::milliseconds m_ControlTimeout{1000};

  /// Resumptions in a row that bring no event, after which a stream fails.
  std::int64_t m_ResumeAttempts = 3;
};

/// Talks HTTP to targets through cpprestsdk. Callbacks run on one thread of this object. The
/// destructor drops what is still open without further callbacks; it must not run in a callback.
class HttpTargetClient final : public ITargetClient {
public:
  HttpTargetClient(HttpTargetOptions Options, const base::IClock &Clock,
                   telemetry::IMetrics &Metrics);
  ~HttpTargetClient() override;

  auto startStream(StreamRequest Request, std::shared_ptr<IStreamObserver> Observer)
      -> std::shared_ptr<IEngineStream> override;
  auto callService(ServiceRequest Request, std::function<void(ServiceResult)> Done)
      -> void override;
  auto readLoad(std::string Url, std::function<void(absl::StatusOr<EngineLoad>)> Done)
      -> void override;

private:
  class Implementation;
  HttpTargetOptions m_Options;
  const base::IClock &m_Clock;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::targets
