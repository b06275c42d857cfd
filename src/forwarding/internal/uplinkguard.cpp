#include "forwarding/uplinkguard.h"

#include <algorithm>
#include <set>

namespace geraniumlift::forwarding {

auto UplinkGuard::onConnectEnded(const std::string &TargetId, bool HasTimedOut,
                                 base::SteadyTime Now) -> void {
  onConnectAbandoned();
  m_Results.push_back({Now, TargetId, HasTimedOut});
  m_Timeouts += HasTimedOut ? 1 : 0;
}

auto UplinkGuard::removeOld(base::SteadyTime Now) -> void {
  while (!m_Results.empty() && Now - m_Results.front().m_Time > m_Options.m_Window) {
    m_Timeouts -= m_Results.front().m_HasTimedOut ? 1 : 0;
    m_Results.pop_front();
  }
}

auto UplinkGuard::haveManyTimedOut() const -> bool {
  if (m_Timeouts < m_Options.m_MinTimeouts) {
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

auto UplinkGuard::isCongested(base::SteadyTime Now) -> bool {
  removeOld(Now);
  return 2 * m_Timeouts > m_Results.size() && haveManyTimedOut();
}

auto UplinkGuard::strain(base::SteadyTime Now) -> double {
  removeOld(Now);
  const auto Ended = static_cast<double>(m_Results.size());
  auto Strain = haveManyTimedOut() ? 2.0 * static_cast<double>(m_Timeouts) / Ended : 0.0;
  if (m_Connecting > m_Options.m_MaxTrials) {
    // By Little's law the time of connecting is the number in flight over their rate.
    const auto Time =
        m_Options.m_Window * (static_cast<double>(m_Connecting) / std::max(1.0, Ended));
    Strain = std::max(Strain, Time / m_Options.m_FullConnectTime);
  }
  return Strain;
}

auto UplinkGuard::mayConnect(base::SteadyTime Now) -> bool {
  return m_Connecting < m_Options.m_MaxTrials || !isCongested(Now);
}

} // namespace geraniumlift::forwarding
