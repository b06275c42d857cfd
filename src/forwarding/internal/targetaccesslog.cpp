#include "forwarding/targetaccesslog.h"

namespace geraniumlift::forwarding {

auto TargetAccessLog::update(const TargetTable &Targets, const TargetGate &Gate,
                             base::SteadyTime Now) -> GateCounts {
  auto Counts = GateCounts();
  for (const auto &Item : GateReasonNames) {
    if (Item.m_Value != GateReason::None) {
      Counts[Item.m_Value] = 0;
    }
  }
  auto Reasons = std::map<std::string, GateReason>();
  for (const auto &[Id, Target] : Targets.all()) {
    const auto Decision = Gate.checkTarget(Target, Now);
    const auto Before = m_Reasons.find(Id);
    const auto ReasonBefore = Before == m_Reasons.end() ? GateReason::None : Before->second;
    if (Decision.m_Reason != ReasonBefore) {
      m_Log.record(base::LogLevel::Info, "target_access_changed",
                   {{"target", Id},
                    {"pool", Target.record().m_Pool},
                    {"reason", nameOf(GateReasonNames, Decision.m_Reason)},
                    {"before", nameOf(GateReasonNames, ReasonBefore)},
                    {"left_ms", Decision.m_RetryAfter ? Decision.m_RetryAfter->count() : -1}});
    }
    if (Decision.m_Reason != GateReason::None) {
      Reasons[Id] = Decision.m_Reason;
      ++Counts[Decision.m_Reason];
    }
  }
  m_Reasons = std::move(Reasons);
  return Counts;
}

} // namespace geraniumlift::forwarding
