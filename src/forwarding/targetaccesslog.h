#pragma once

#include "base/ieventlog.h"
#include "forwarding/targetgate.h"

namespace geraniumlift::forwarding {

/// Number of targets that the gate keeps requests from, by reason.
using GateCounts = std::map<GateReason, std::int64_t>;

/// Tells operators what keeps requests from targets: logs each change and counts targets by reason.
class TargetAccessLog {
public:
  explicit TargetAccessLog(base::IEventLog &Log) : m_Log(Log) {}

  /// Logs which targets' reasons have changed since the last call and returns the counts now, with
  /// 0 for a reason that no target has.
  auto update(const TargetTable &Targets, const TargetGate &Gate, base::SteadyTime Now)
      -> GateCounts;

private:
  base::IEventLog &m_Log;

  /// Reasons other than None by target ID.
  std::map<std::string, GateReason> m_Reasons;
};

} // namespace geraniumlift::forwarding
