#include "forwarding/targetgate.h"

namespace geraniumlift::forwarding {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

auto TargetGate::checkTarget(const TargetState &Target, base::SteadyTime Now) const
    -> GateDecision {
  auto Decision = GateDecision();
  if (Target.record().m_IsLeaving) {
    Decision.m_Access = GateAccess::Closed;
    Decision.m_Reason = GateReason::Leaving;
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
