#pragma once

#include "base/asioscheduler.h"
#include "base/bufferlimit.h"
#include "base/iclock.h"
#include "targets/httptargetclient.h"
#include "telemetry/imetrics.h"

#include <memory>

namespace geraniumlift::targets {

/// Dependencies that streams and calls share with their HttpTargetClient, which outlives them.
struct TargetContext {
  HttpTargetOptions m_Options;
  const base::IClock &m_Clock;
  telemetry::IMetrics &m_Metrics;

  /// Runs all state changes of streams and calls, and their callbacks.
  std::shared_ptr<base::AsioScheduler> m_Scheduler;

  /// Counts the bodies and events that are incomplete. Used on the scheduler's thread only.
  base::BufferLimit &m_Buffers;
};

/// Time left until a deadline, rounded down, at least 0.
inline auto timeLeft(const base::IClock &Clock, base::SteadyTime Deadline)
    -> std::chrono::milliseconds {
  const auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Deadline - Clock.steadyNow());
  return std::max(Left, std::chrono::milliseconds{0});
}

} // namespace geraniumlift::targets
