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

  /// Time limit for opening a connection, enforced by the kernel through TCP_USER_TIMEOUT. The
  /// kernel also drops a connection whose sent bytes stay unacknowledged for this long.
  std::chrono::milliseconds m_ConnectTimeout{1000};

  /// Time limit for reading a load report or for cancelling a request.
  std::chrono::milliseconds m_ControlTimeout{1000};

  /// Number of consecutive resumptions without an event after which a stream fails.
  std::int64_t m_ResumeAttempts = 3;

  /// Maximum total size in bytes of the responses and events that are incomplete. If there is more,
  /// the call or stream that holds most fails, so that a target that sends without end uses up no
  /// memory of others.
  std::size_t m_MaxResponseBytes = std::size_t{32} * 1024 * 1024;
};

/// ITargetClient on top of plain sockets. All callbacks run on one thread that this object owns.
/// The destructor closes open streams and calls without further callbacks; it must not run in a
/// callback.
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
