#include "orders/orderplanner.h"

#include <algorithm>
#include <utility>

namespace geraniumlift::orders {

namespace {

/// Maximum number of loads that accrue for later use while none start. With a maximum of one, what
/// accrues while a load waits for the next plan would be lost, and the rate would stay below the
/// limit.
constexpr auto LoadBurst = 2.0;

auto missingModels(const EngineState &Desired, const EngineState &Observed) -> std::int64_t {
  return std::count_if(
      Desired.m_Models.begin(), Desired.m_Models.end(),
      [&](const std::string &Model) { return !Observed.m_Models.contains(Model); });
}

} // namespace

auto OrderPlanner::setDesiredTargets(std::vector<DesiredTarget> Desired) -> void {
  m_DesiredTargets = std::move(Desired);
}

auto OrderPlanner::onLeaseAcquired(FencingNumber Fencing, base::SteadyTime ValidUntil,
                                   base::SteadyTime Now) -> void {
  m_Lease = Lease{Fencing, ValidUntil, Now};
  m_ObservedStates.clear();
  m_OrderSentAt.clear();
  m_LoadsAvailable = 0.0;
  m_LastRefill = Now;
}

auto OrderPlanner::onLeaseRenewed(base::SteadyTime ValidUntil) -> void {
  if (m_Lease) {
    m_Lease->m_ValidUntil = std::max(m_Lease->m_ValidUntil, ValidUntil);
  }
}

auto OrderPlanner::onLeaseLost() -> void { m_Lease.reset(); }

auto OrderPlanner::onStateRead(const std::string &Target, EngineState State,
                               base::SteadyTime ReadAt) -> void {
  auto &Observed = m_ObservedStates[Target];
  if (ReadAt >= Observed.m_ReadAt) {
    Observed = {std::move(State), ReadAt};
  }
}

auto OrderPlanner::onOrderEnd(const std::string &Target) -> void {
  m_OrderSentAt.erase(Target);
  m_ObservedStates.erase(Target);
}

auto OrderPlanner::holdsLease(base::SteadyTime Now) const -> bool {
  return m_Lease && Now + m_Limits.m_LeaseMargin < m_Lease->m_ValidUntil;
}

auto OrderPlanner::settledAt(const DesiredTarget &Target) const -> base::SteadyTime {
  if (const auto Sent = m_OrderSentAt.find(Target.m_Target); Sent != m_OrderSentAt.end()) {
    return Sent->second + m_Limits.m_MaxOrderDuration;
  }
  return Target.m_ChecksFencing ? m_Lease->m_AcquiredAt
                                : m_Lease->m_AcquiredAt + m_Limits.m_MaxOrderDuration;
}

auto OrderPlanner::mayStillChange(const DesiredTarget &Target, base::SteadyTime Now) const -> bool {
  return Now < settledAt(Target);
}

auto OrderPlanner::isCurrent(const ObservedState &Observed, const DesiredTarget &Target,
                             base::SteadyTime Now) const -> bool {
  return Observed.m_ReadAt >= settledAt(Target) &&
         Now - Observed.m_ReadAt <= m_Limits.m_MaxStateAge;
}

auto OrderPlanner::refillLoads(base::SteadyTime Now) -> void {
  const auto Elapsed = std::chrono::duration<double>(Now - m_LastRefill).count();
  m_LastRefill = Now;
  m_LoadsAvailable = std::min(LoadBurst, m_LoadsAvailable + Elapsed * m_Limits.m_LoadsPerSecond);
}

auto OrderPlanner::tryTakeLoads(std::int64_t Loads) -> bool {
  // The balance may become negative, so that an order with many loads can start and delays later
  // ones.
  if (Loads > 0 && m_LoadsAvailable < 1.0) {
    return false;
  }
  m_LoadsAvailable -= static_cast<double>(Loads);
  return true;
}

auto OrderPlanner::plan(base::SteadyTime Now) -> OrderPlan {
  auto Plan = OrderPlan();
  if (!holdsLease(Now)) {
    return Plan;
  }
  refillLoads(Now);
  for (const auto &Target : m_DesiredTargets) {
    if (mayStillChange(Target, Now)) {
      continue;
    }
    const auto Observed = m_ObservedStates.find(Target.m_Target);
    if (Observed == m_ObservedStates.end() || !isCurrent(Observed->second, Target, Now)) {
      Plan.m_Reads.push_back(Target.m_Target);
      continue;
    }
    const auto Loads = missingModels(Target.m_DesiredState, Observed->second.m_State);
    if (Observed->second.m_State != Target.m_DesiredState && tryTakeLoads(Loads)) {
      Plan.m_Orders.push_back({Target.m_Target, m_Lease->m_Fencing, Target.m_DesiredState, Loads});
      m_OrderSentAt[Target.m_Target] = Now;
    }
  }
  return Plan;
}

} // namespace geraniumlift::orders
