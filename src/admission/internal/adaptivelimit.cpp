#include "admission/internal/adaptivelimit.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::admission {

namespace {

/// A time to first token up to this multiple of the minimum, plus the allowance, counts as near the
/// minimum: prompts differ in length by about this much.
constexpr auto LatencyToleranceFactor = 4.0;
constexpr auto LatencyToleranceSeconds = 0.3;

/// Step up per first token near the minimum, factor down per one that is not, and lower end.
constexpr auto IncreaseStep = 0.01;
constexpr auto DecreaseFactor = 0.95;
constexpr auto MinUsableShare = 0.5;

/// Rise of the minimum per first token.
constexpr auto MinimumGrowthFactor = 1.002;

/// Short work may fill a target up to this multiple of its slots: it leaves soon, and the target
/// serves it first.
constexpr auto ShortOvercommit = 3.0;

/// Other work may fill a target up to this multiple of the slots left to it. Without the backlog,
/// slots stand idle until the next report, which raised false refusals with routers cut off to
/// 0.7%.
constexpr auto LongOvercommit = 1.5;

/// Multiple of the even part of the free slots that a router takes, as not all have work waiting.
constexpr auto FreeSlotShareFactor = 2.0;

/// Below this load, free slots are given out generously, as the routers are unlikely to collide.
constexpr auto LightLoadShare = 0.5;
constexpr auto LightLoadDivisor = 3.0;

} // namespace

auto AdaptiveLimit::allows(const LimitQuery &Query) const -> bool {
  if (Query.m_Urgent) {
    return Query.m_Own < static_cast<double>(Query.m_Slots);
  }
  const auto UsableSlots = static_cast<double>(Query.m_Slots) * m_UsableShare;
  const auto Slots =
      UsableSlots *
      (Query.m_Short ? ShortOvercommit : LongOvercommit * (1.0 - Query.m_ReservedShortShare));
  return Query.m_Own + 1.0 <= ownLimit(Query, Slots);
}

auto AdaptiveLimit::ownLimit(const LimitQuery &Query, double Slots) const -> double {
  if (!Query.m_Report) {
    const auto MaxOwn = std::min(Slots, static_cast<double>(Query.m_Slots));
    return std::clamp(FreeSlotShareFactor * Slots / Query.m_ActiveRouters, 1.0,
                      std::max(1.0, MaxOwn));
  }
  const auto &Report = *Query.m_Report;
  const auto Free = Slots - Report.m_Total;
  if (Free <= 0.0) {
    return std::floor(Report.m_OwnAtReport * Slots / Report.m_Total + Report.m_Dither);
  }
  // The dither makes the routers that take one of few free slots as many as the slots on average.
  auto OwnFreeSlots =
      std::floor(FreeSlotShareFactor * Free / Query.m_ActiveRouters + Report.m_Dither);
  if (Report.m_Total < LightLoadShare * Slots) {
    OwnFreeSlots = std::max(OwnFreeSlots, std::floor(Free / LightLoadDivisor));
  }
  return Report.m_OwnAtReport + OwnFreeSlots;
}

auto AdaptiveLimit::onFirstToken(double Seconds) -> void {
  m_MinFirstTokenSeconds = m_MinFirstTokenSeconds <= 0.0
                               ? Seconds
                               : std::min(m_MinFirstTokenSeconds * MinimumGrowthFactor, Seconds);
  if (Seconds <= LatencyToleranceFactor * m_MinFirstTokenSeconds + LatencyToleranceSeconds) {
    m_UsableShare = std::min(1.0, m_UsableShare + IncreaseStep);
  } else {
    m_UsableShare = std::max(MinUsableShare, m_UsableShare * DecreaseFactor);
  }
}

} // namespace geraniumlift::admission
