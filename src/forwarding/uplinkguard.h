#pragma once

#include "base/iclock.h"

#include <deque>
#include <string>

namespace geraniumlift::forwarding {

/// Thresholds of an UplinkGuard.
struct UplinkGuardOptions {
  /// Time for which the results of connecting count.
  std::chrono::milliseconds m_Window{1000};

  /// Connects that must have timed out within the window, and at how many targets. Single targets
  /// are silent for reasons of their own.
  std::size_t m_MinTimeouts = 4;
  std::size_t m_MinTargets = 3;

  /// Connects that are in flight at a time while hardly any succeeds. They tell when that changes.
  std::size_t m_MaxTrials = 4;

  /// Average time of connecting at which the link counts as full.
  std::chrono::milliseconds m_FullConnectTime{200};
};

/// Tells when this router reaches hardly any target, because its own link is full or cut. Answers a
/// load that exceeds the link of a VM, such as that of a large workspace whose callers all use one
/// VM: requests that wait behind a full link reach their targets when their callers have left, and
/// delay all others. While it lasts, only a few requests are sent; the others can be refused at
/// once. Does no input or output.
class UplinkGuard {
public:
  explicit UplinkGuard(UplinkGuardOptions Options) : m_Options(Options) {}

  /// Whether a further request may be sent to a target.
  [[nodiscard]] auto mayConnect(base::SteadyTime Now) -> bool;

  /// How full the link is, judged by connecting alone: 1 if connects take half of the timeout on
  /// average, or half of them time out at several targets.
  [[nodiscard]] auto strain(base::SteadyTime Now) -> double;

  auto onConnecting() -> void { ++m_Connecting; }

  /// Records the result of connecting to a target. A refused connection is a success: the target's
  /// VM has answered.
  auto onConnectEnded(const std::string &TargetId, bool HasTimedOut, base::SteadyTime Now) -> void;

  /// Records that connecting was given up before there was a result.
  auto onConnectAbandoned() -> void { m_Connecting -= m_Connecting > 0 ? 1 : 0; }

private:
  struct Result {
    base::SteadyTime m_Time;
    std::string m_TargetId;
    bool m_HasTimedOut = false;
  };

  /// Forgets results that are older than the window.
  auto removeOld(base::SteadyTime Now) -> void;

  /// Whether connects have timed out at enough targets.
  [[nodiscard]] auto haveManyTimedOut() const -> bool;
  [[nodiscard]] auto isCongested(base::SteadyTime Now) -> bool;

  UplinkGuardOptions m_Options;
  std::deque<Result> m_Results;
  std::size_t m_Timeouts = 0;
  std::size_t m_Connecting = 0;
};

} // namespace geraniumlift::forwarding
