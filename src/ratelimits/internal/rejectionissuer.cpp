#include "ratelimits/rejectionissuer.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::ratelimits {

using std::chrono::milliseconds;

namespace {

auto dropBefore(std::deque<base::SteadyTime> &Times, base::SteadyTime Limit) -> void {
  while (!Times.empty() && Times.front() <= Limit) {
    Times.pop_front();
  }
}

} // namespace

auto RejectionIssuer::stateOf(TargetKey Target, base::SteadyTime Now) -> State & {
  auto &Item = m_States.try_emplace(Target, State{Now, Now, {}, {}}).first->second;
  Item.m_LastUse = Now;
  dropBefore(Item.m_Open, Now - OutcomeTime);
  dropBefore(Item.m_Rejections, Now - RejectionTime);
  return Item;
}

auto RejectionIssuer::check(TargetKey Target, double MaxRejections, base::SteadyTime Now)
    -> PermitDecision {
  auto &Item = stateOf(Target, Now);
  const auto Usable = static_cast<std::size_t>(std::max(1.0, MaxRejections * UsableShare));
  const auto IsNew = Now - Item.m_Since < RejectionTime;
  const auto Bound = IsNew ? std::size_t{1} : Usable;
  if (Item.m_Rejections.size() >= Bound) {
    // The rejections that must expire are those beyond the bound.
    const auto Oldest = Item.m_Rejections[Item.m_Rejections.size() - Bound];
    return {false, std::max(milliseconds(1),
                            std::chrono::ceil<milliseconds>(Oldest + RejectionTime - Now))};
  }
  if (Item.m_Rejections.size() + Item.m_Open.size() >= Bound) {
    return {false, OpenWait};
  }
  return {true};
}

auto RejectionIssuer::onGranted(TargetKey Target, base::SteadyTime Now) -> void {
  stateOf(Target, Now).m_Open.push_back(Now);
}

auto RejectionIssuer::onOutcome(TargetKey Target, bool IsRejected, base::SteadyTime Now) -> void {
  auto &Item = stateOf(Target, Now);
  if (!Item.m_Open.empty()) {
    Item.m_Open.pop_front();
  }
  if (IsRejected) {
    Item.m_Rejections.push_back(Now);
  }
}

auto RejectionIssuer::removeExpired(base::SteadyTime Now) -> void {
  absl::erase_if(m_States,
                 [Now](const auto &Item) { return Now - Item.second.m_LastUse > Retention; });
}

} // namespace geraniumlift::ratelimits
