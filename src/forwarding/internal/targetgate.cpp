#include "forwarding/targetgate.h"

namespace geraniumlift::forwarding {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

auto TargetGate::checkStatements(const TargetState &Target, base::SteadyTime Now) const
    -> GateDecision {
  const auto &Said = Target.statements();
  if (Said.m_LeavingSince && Now - *Said.m_LeavingSince > m_Options.m_LeavingGrace) {
    return {GateAccess::Closed, false, GateReason::SaidLeaving, std::nullopt};
  }
  if (Now < Said.m_PausedUntil) {
    return {GateAccess::Closed, false, GateReason::Paused,
            std::chrono::ceil<milliseconds>(Said.m_PausedUntil - Now)};
  }
  if (Said.m_LeavingSince) {
    return {GateAccess::Open, true, GateReason::SaidLeaving, std::nullopt};
  }
  if (Said.m_MustProbe && Said.m_Probes > 0) {
    return {GateAccess::Open, true, GateReason::Paused, std::nullopt};
  }
  return {};
}

auto TargetGate::checkTarget(const TargetState &Target, base::SteadyTime Now) const
    -> GateDecision {
  if (Target.record().m_IsLeaving) {
    return {GateAccess::Closed, false, GateReason::Leaving, std::nullopt};
  }
  auto Decision = checkStatements(Target, Now);
  if (Decision.m_Access == GateAccess::Closed) {
    return Decision;
  }
  if (Target.isEjected(Now)) {
    Decision.m_IsLastResort = true;
    Decision.m_Reason = GateReason::Ejected;
    Decision.m_RetryAfter = duration_cast<milliseconds>(Target.ejectedUntil() - Now);
  }
  if (!m_Limits.maySend(Target.limitKey())) {
    Decision.m_Reason = GateReason::Limited;
    Decision.m_RetryAfter = m_Limits.retryAfter(Target.limitKey());
    Decision.m_Access = Decision.m_RetryAfter ? GateAccess::Closed : GateAccess::NeedsPermit;
  }
  return Decision;
}

} // namespace geraniumlift::forwarding
