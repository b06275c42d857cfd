#include "forwarding/uplinkguard.h"

#include <set>

namespace geraniumlift::forwarding {

auto UplinkGuard::onConnectEnded(const std::string &TargetId, bool HasTimedOut,
                                 base::SteadyTime Now) -> void {
  onConnectAbandoned();
  m_Results.push_back({Now, TargetId, HasTimedOut});
  m_Timeouts += HasTimedOut ? 1 : 0;
}

auto UplinkGuard::isCongested(base::SteadyTime Now) -> bool {
  while (!m_Results.empty() && Now - m_Results.front().m_Time > m_Options.m_Window) {
    m_Timeouts -= m_Results.front().m_HasTimedOut ? 1 : 0;
    m_Results.pop_front();
  }
  if (m_Timeouts < m_Options.m_MinTimeouts || 2 * m_Timeouts <= m_Results.size()) {
    return false;
  }
  auto Targets = std::set<std::string_view>();
  for (const auto &Item : m_Results) {
    if (Item.m_HasTimedOut) {
      Targets.insert(Item.m_TargetId);
    }
  }
  return Targets.size() >= m_Options.m_MinTargets;
}

auto UplinkGuard::mayConnect(base::SteadyTime Now) -> bool {
  return m_Connecting < m_Options.m_MaxTrials || !isCongested(Now);
}

} // namespace geraniumlift::forwarding
