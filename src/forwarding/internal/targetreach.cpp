#include "forwarding/targetreach.h"

#include <algorithm>
#include <utility>

namespace geraniumlift::forwarding {

auto TargetReach::onConnectEnded(const std::string &TargetId, bool IsReached, base::SteadyTime Now,
                                 bool IsWholePool) -> bool {
  if (IsReached) {
    m_Failures.clear();
    return std::exchange(m_CutOffSince, std::nullopt).has_value();
  }
  std::erase_if(m_Failures,
                [this, Now](const auto &Item) { return Now - Item.second > m_Options.m_Memory; });
  m_Failures[TargetId] = Now;
  if (m_CutOffSince || (m_Failures.size() < m_Options.m_MinTargets && !IsWholePool)) {
    return false;
  }
  m_CutOffSince = Now;
  m_NextProbe = Now;
  return true;
}

auto TargetReach::recordConnectTime(std::chrono::milliseconds Time) -> void {
  constexpr auto Smoothing = 0.2;
  m_UsualTime += (static_cast<double>(Time.count()) - m_UsualTime) * Smoothing;
}

auto TargetReach::slowConnectTime() const -> std::chrono::milliseconds {
  const auto Slow =
      std::chrono::milliseconds(static_cast<std::int64_t>(m_UsualTime * m_Options.m_SlowFactor));
  return std::max(m_Options.m_MinSlowTime, Slow);
}

auto TargetReach::startProbe(base::SteadyTime Now) -> bool {
  if (!m_CutOffSince || Now < m_NextProbe) {
    return false;
  }
  m_NextProbe = Now + m_Options.m_ProbeInterval;
  return true;
}

} // namespace geraniumlift::forwarding
