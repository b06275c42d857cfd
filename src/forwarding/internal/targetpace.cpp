#include "forwarding/targetpace.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::forwarding {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

auto TargetPace::begin(base::SteadyTime From) -> void {
  m_From = From;
  m_Window = 1;
  m_Unanswered = 0;
}

auto TargetPace::onAnswered() -> void {
  m_Unanswered = std::max<std::int64_t>(0, m_Unanswered - 1);
  m_Window = std::min(m_Window * 2, MaxWindow);
}

auto TargetPace::onUnansweredEnd() -> void {
  m_Unanswered = std::max<std::int64_t>(0, m_Unanswered - 1);
}

auto TargetPace::onSuccess() -> void { m_Window = std::max<std::int64_t>(m_Window, 2); }

auto TargetPace::isPaced(std::int64_t Routers) const -> bool {
  return m_Window < std::max(MinFinalWindow, FleetWindow / std::max<std::int64_t>(1, Routers));
}

auto TargetPace::maySend(const PaceFleet &Fleet, base::SteadyTime Now) const -> bool {
  return !isPaced(Fleet.m_Routers) ||
         (m_Unanswered < m_Window && untilTurn(Fleet, Now) == milliseconds(0));
}

auto TargetPace::untilTurn(const PaceFleet &Fleet, base::SteadyTime Now) const -> milliseconds {
  // A router that has an answer need not wait.
  if (m_Window > 1) {
    return 0ms;
  }
  const auto Before = Fleet.m_Place * static_cast<double>(Fleet.m_Routers);
  const auto Steps = Before <= 1.0 ? 0.0 : std::log2(Before);
  const auto StepTime = Fleet.m_PeerRequests > 0 ? Step : QuietStep;
  const auto Delay =
      milliseconds(static_cast<std::int64_t>(Steps * static_cast<double>(StepTime.count())));
  return std::max(0ms, std::chrono::ceil<milliseconds>(m_From + Delay - Now));
}

} // namespace geraniumlift::forwarding
