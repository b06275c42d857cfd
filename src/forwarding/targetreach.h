#pragma once

#include "base/iclock.h"

#include <map>
#include <optional>
#include <string>

namespace geraniumlift::forwarding {

/// Thresholds of a TargetReach.
struct TargetReachOptions {
  /// Targets that must have failed one after the other, with none reached in between.
  std::size_t m_MinTargets = 3;

  /// Time after which a failure no longer counts.
  std::chrono::milliseconds m_Memory{5000};

  /// Least time after which connecting counts as failed, and by how many times the usual time it
  /// must be exceeded: behind a full link all connects are slow.
  std::chrono::milliseconds m_MinSlowTime{120};
  double m_SlowFactor = 4.0;

  /// Interval at which it is tried whether targets can be reached again.
  std::chrono::milliseconds m_ProbeInterval{400};
};

/// Tells whether this router is cut off from all targets, judged by its own attempts to connect:
/// whether these hang, are reset or are refused makes no difference, and connections that are open
/// tell nothing. One target that is reached ends it. Does no input or output.
class TargetReach {
public:
  explicit TargetReach(TargetReachOptions Options) : m_Options(Options) {}

  /// Records the result of connecting to a target. Returns whether the judgement has changed.
  /// IsWholePool says that with this one all targets of a pool have failed, which suffices.
  auto onConnectEnded(const std::string &TargetId, bool IsReached, base::SteadyTime Now,
                      bool IsWholePool = false) -> bool;

  /// Learns from the time that connecting to a target took.
  auto recordConnectTime(std::chrono::milliseconds Time) -> void;

  /// Time after which connecting counts as failed.
  [[nodiscard]] auto slowConnectTime() const -> std::chrono::milliseconds;

  [[nodiscard]] auto isCutOff() const -> bool { return m_CutOffSince.has_value(); }

  /// Since when this router is cut off.
  [[nodiscard]] auto cutOffSince() const -> std::optional<base::SteadyTime> {
    return m_CutOffSince;
  }

  /// The targets that could not be reached since the last one that could.
  [[nodiscard]] auto failedTargets() const -> const std::map<std::string, base::SteadyTime> & {
    return m_Failures;
  }

  /// Whether it is time to try a target. If so, the next time is an interval later.
  auto startProbe(base::SteadyTime Now) -> bool;

private:
  TargetReachOptions m_Options;

  /// Time of the last failure by target.
  std::map<std::string, base::SteadyTime> m_Failures;
  std::optional<base::SteadyTime> m_CutOffSince;
  base::SteadyTime m_NextProbe;

  /// Moving average of the time that connecting takes, in milliseconds.
  double m_UsualTime = 0.0;
};

} // namespace geraniumlift::forwarding
