#include "admission/internal/adaptivelimit.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::admission {

namespace {

/// A time to first token counts as near the minimum up to this multiple of the minimum plus this
/// many seconds, as prompts differ in length by about this much.
constexpr auto LatencyToleranceFactor = 4.0;
constexpr auto LatencyToleranceSeconds = 0.3;

/// Usable share: increase per first token near the minimum, factor per first token that is not, and
/// lower bound.
constexpr auto IncreaseStep = 0.01;
constexpr auto DecreaseFactor = 0.95;
constexpr auto MinUsableShare = 0.5;

/// Factor by which the stored minimum grows per first token.
constexpr auto MinimumGrowthFactor = 1.002;

/// Short requests may fill a target up to this multiple of its usable slots: they end soon, and the
/// target serves them first.
constexpr auto ShortOvercommit = 3.0;

/// Other requests may fill a target up to this multiple of the slots left to them. Without this
/// backlog, slots stay idle until the next report, which raised false refusals with routers cut off
/// to 0.7%.
constexpr auto LongOvercommit = 1.5;

/// A router takes this multiple of an even share of the free slots, as not all routers have
/// requests waiting.
constexpr auto FreeSlotShareFactor = 2.0;

/// While the reported load is below this share of the slots, a router may take at least the free
/// slots divided by the divisor, as the routers are unlikely to take the same ones.
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
  // The dither rounds at random: of few free slots, some routers take one on average, instead of
  // all or none of them.
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
