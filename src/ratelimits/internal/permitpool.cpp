#include "ratelimits/permitpool.h"

#include <algorithm>

namespace geraniumlift::ratelimits {

auto PermitPool::has(TargetKey Target, base::SteadyTime Now) const -> bool {
  const auto Found = m_Expiries.find(Target);
  return Found != m_Expiries.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [Now](base::SteadyTime Expiry) { return Now < Expiry; });
}

auto PermitPool::take(TargetKey Target, base::SteadyTime Now) -> bool {
  const auto Found = m_Expiries.find(Target);
  if (Found == m_Expiries.end()) {
    return false;
  }
  auto &Expiries = Found->second;
  std::erase_if(Expiries, [Now](base::SteadyTime Expiry) { return Now >= Expiry; });
  if (Expiries.empty()) {
    return false;
  }
  Expiries.erase(Expiries.begin());
  return true;
}

auto PermitPool::removeExpired(base::SteadyTime Now) -> void {
  absl::erase_if(m_Expiries, [Now](auto &Item) {
    std::erase_if(Item.second, [Now](base::SteadyTime Expiry) { return Now >= Expiry; });
    return Item.second.empty();
  });
}

} // namespace geraniumlift::ratelimits
