#include "ratelimits/permitissuer.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::ratelimits {

using std::chrono::duration;
using std::chrono::milliseconds;

namespace {

/// Longest wait that is told; the limit may change before.
constexpr auto MaxRetryAfter = milliseconds(5000);

} // namespace

auto PermitIssuer::defaultBurst(double PerSecond) -> double {
  return std::max(MinGathered, PerSecond * duration<double>(MaxGatheringTime).count());
}

auto PermitIssuer::request(TargetKey Target, double PerSecond, double Burst, base::SteadyTime Now)
    -> PermitDecision {
  if (PerSecond <= 0.0) {
    return {false, MaxRetryAfter};
  }
  auto &Item = m_Buckets.try_emplace(Target, Bucket{0.0, Now}).first->second;
  const auto Elapsed = duration<double>(Now - Item.m_FilledAt).count();
  Item.m_Permits = std::min(std::max(1.0, Burst), Item.m_Permits + Elapsed * PerSecond);
  Item.m_FilledAt = Now;
  if (Item.m_Permits >= 1.0) {
    Item.m_Permits -= 1.0;
    return {true};
  }
  const auto Wait = std::ceil((1.0 - Item.m_Permits) / PerSecond * 1e3);
  return {false, milliseconds(static_cast<std::int64_t>(
                     std::min(Wait, static_cast<double>(MaxRetryAfter.count()))))};
}

auto PermitIssuer::removeExpired(base::SteadyTime Now) -> void {
  absl::erase_if(m_Buckets,
                 [Now](const auto &Item) { return Now - Item.second.m_FilledAt > Retention; });
}

} // namespace geraniumlift::ratelimits
