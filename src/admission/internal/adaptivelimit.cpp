#include "admission/internal/adaptivelimit.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::admission {

namespace {

/// A time to first token up to this multiple of the minimum, plus the allowance, counts as near the
/// minimum: prompts differ in length by about this much.
constexpr auto NearMultiple = 4.0;
constexpr auto NearAllowanceSeconds = 0.3;

/// Step up per first token near the minimum, factor down per one that is not, and lower end.
constexpr auto StepUp = 0.01;
constexpr auto FactorDown = 0.95;
constexpr auto SmallestShare = 0.5;

/// Rise of the minimum per first token.
constexpr auto MinimumRise = 1.002;

/// Short work may fill a target up to this multiple of its slots: it leaves soon, and the target
/// serves it first.
constexpr auto ShortBacklog = 3.0;

/// Other work may fill a target up to this multiple of the slots left to it. Without the backlog,
/// slots stand idle until the next report, which raised false refusals with routers cut off to
/// 0.7%.
constexpr auto LongBacklog = 1.5;

/// Multiple of the even part of the free slots that a router takes, as not all have work waiting.
constexpr auto PartFactor = 2.0;

/// Below this load, free slots are given out generously, as the routers are unlikely to collide.
constexpr auto LightLoad = 0.5;
constexpr auto LightLoadDivisor = 3.0;

} // namespace

auto AdaptiveLimit::allows(const LimitQuery &Query) const -> bool {
  if (Query.m_Urgent) {
    return Query.m_Own < static_cast<double>(Query.m_Slots);
  }
  const auto All = static_cast<double>(Query.m_Slots) * m_UsableShare;
  const auto Slots =
      All * (Query.m_Short ? ShortBacklog : LongBacklog * (1.0 - Query.m_ShortShare));
  return Query.m_Own + 1.0 <= ownLimit(Query, Slots);
}

auto AdaptiveLimit::ownLimit(const LimitQuery &Query, double Slots) const -> double {
  if (!Query.m_Report) {
    const auto Most = std::min(Slots, static_cast<double>(Query.m_Slots));
    return std::clamp(PartFactor * Slots / Query.m_ActiveRouters, 1.0, std::max(1.0, Most));
  }
  const auto &Report = *Query.m_Report;
  const auto Free = Slots - Report.m_Total;
  if (Free <= 0.0) {
    return std::floor(Report.m_OwnThen * Slots / Report.m_Total + Report.m_Dither);
  }
  // The dither makes the routers that take one of few free slots as many as the slots on average.
  auto Part = std::floor(PartFactor * Free / Query.m_ActiveRouters + Report.m_Dither);
  if (Report.m_Total < LightLoad * Slots) {
    Part = std::max(Part, std::floor(Free / LightLoadDivisor));
  }
  return Report.m_OwnThen + Part;
}

auto AdaptiveLimit::onFirstToken(double Seconds) -> void {
  m_Shortest = m_Shortest <= 0.0 ? Seconds : std::min(m_Shortest * MinimumRise, Seconds);
  if (Seconds <= NearMultiple * m_Shortest + NearAllowanceSeconds) {
    m_UsableShare = std::min(1.0, m_UsableShare + StepUp);
  } else {
    m_UsableShare = std::max(SmallestShare, m_UsableShare * FactorDown);
  }
}

} // namespace geraniumlift::admission
