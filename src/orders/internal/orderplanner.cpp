#include "orders/orderplanner.h"

#include <algorithm>
#include <utility>

namespace geraniumlift::orders {

namespace {

/// Loads that may start together after an idle time. With a limit of one, what accrues while a load
/// waits for the next plan would be lost, and the rate would stay below the allowed one.
constexpr auto MaxSavedLoads = 2.0;

auto missingModels(const EngineState &Wanted, const EngineState &Present) -> std::int64_t {
  return std::count_if(Wanted.m_Models.begin(), Wanted.m_Models.end(),
                       [&](const std::string &Model) { return !Present.m_Models.contains(Model); });
}

} // namespace

auto OrderPlanner::setWanted(std::vector<WantedTarget> Wanted) -> void {
  m_Wanted = std::move(Wanted);
}

auto OrderPlanner::onLease(FencingNumber Fencing, base::SteadyTime ValidUntil, base::SteadyTime Now)
    -> void {
  m_Lease = Lease{Fencing, ValidUntil, Now};
  m_Known.clear();
  m_UnderWay.clear();
  m_LoadsAvailable = 0.0;
  m_LastRefill = Now;
}

auto OrderPlanner::onLeaseRenewed(base::SteadyTime ValidUntil) -> void {
  if (m_Lease) {
    m_Lease->m_ValidUntil = std::max(m_Lease->m_ValidUntil, ValidUntil);
  }
}

auto OrderPlanner::onLeaseLost() -> void { m_Lease.reset(); }

auto OrderPlanner::onState(const std::string &Target, EngineState State, base::SteadyTime ReadAt)
    -> void {
  auto &Seen = m_Known[Target];
  if (ReadAt >= Seen.m_ReadAt) {
    Seen = {std::move(State), ReadAt};
  }
}

auto OrderPlanner::onOrderEnd(const std::string &Target) -> void {
  m_UnderWay.erase(Target);
  m_Known.erase(Target);
}

auto OrderPlanner::holdsLease(base::SteadyTime Now) const -> bool {
  return m_Lease && Now + m_Limits.m_LeaseMargin < m_Lease->m_ValidUntil;
}

auto OrderPlanner::settledAt(const WantedTarget &Target) const -> base::SteadyTime {
  if (const auto Sent = m_UnderWay.find(Target.m_Target); Sent != m_UnderWay.end()) {
    return Sent->second + m_Limits.m_LongestOrder;
  }
  return Target.m_ChecksFencing ? m_Lease->m_TakenOver
                                : m_Lease->m_TakenOver + m_Limits.m_LongestOrder;
}

auto OrderPlanner::mayStillChange(const WantedTarget &Target, base::SteadyTime Now) const -> bool {
  return Now < settledAt(Target);
}

auto OrderPlanner::isUsable(const Known &Seen, const WantedTarget &Target,
                            base::SteadyTime Now) const -> bool {
  return Seen.m_ReadAt >= settledAt(Target) && Now - Seen.m_ReadAt <= m_Limits.m_MaxStateAge;
}

auto OrderPlanner::refillLoads(base::SteadyTime Now) -> void {
  const auto Elapsed = std::chrono::duration<double>(Now - m_LastRefill).count();
  m_LastRefill = Now;
  m_LoadsAvailable =
      std::min(MaxSavedLoads, m_LoadsAvailable + Elapsed * m_Limits.m_LoadsPerSecond);
}

auto OrderPlanner::takeLoads(std::int64_t Loads) -> bool {
  // The bucket may go below zero, so that an order with many loads starts and delays later ones.
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
  for (const auto &Target : m_Wanted) {
    if (mayStillChange(Target, Now)) {
      continue;
    }
    const auto Seen = m_Known.find(Target.m_Target);
    if (Seen == m_Known.end() || !isUsable(Seen->second, Target, Now)) {
      Plan.m_Reads.push_back(Target.m_Target);
      continue;
    }
    const auto Loads = missingModels(Target.m_Wanted, Seen->second.m_State);
    if (Seen->second.m_State != Target.m_Wanted && takeLoads(Loads)) {
      Plan.m_Orders.push_back({Target.m_Target, m_Lease->m_Fencing, Target.m_Wanted, Loads});
      m_UnderWay[Target.m_Target] = Now;
    }
  }
  return Plan;
}

} // namespace geraniumlift::orders
