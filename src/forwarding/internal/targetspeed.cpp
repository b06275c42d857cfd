#include "forwarding/targetspeed.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::forwarding {

using namespace std::chrono_literals;

namespace {

/// Share of the earlier answers' weight that each new answer leaves.
constexpr auto Retained = 0.95;

/// Least mean deviation: below it differences are those of the network and the clock.
constexpr auto MinDeviationMs = 8.0;

/// Answers further from the forecast than this many mean deviations count as this far.
constexpr auto ClippedDeviations = 4.0;

/// So many answers in a row, each beyond so many mean deviations on the same side, are a change.
constexpr auto ChangeRun = 4;
constexpr auto ChangeDeviations = 2.0;
constexpr auto RetainedAfterChange = 0.02;

/// Scales that make the inputs of the fit comparable.
constexpr auto TokensPerUnit = 1000.0;
constexpr auto RequestsPerUnit = 10.0;

constexpr auto MinMsPerPromptToken = 1.0 / 1000.0;
constexpr auto MaxMsPerPromptToken = 2.0;
constexpr auto MaxMsPerActiveRequest = 500.0;
constexpr auto MaxBaseMs = 10000.0;

/// A refusal says what the target holds for this long.
constexpr auto FullTime = 300ms;

auto smooth(double &Mean, double Value) -> void {
  Mean = Mean == 0.0 ? Value : Mean + (Value - Mean) * (1.0 - Retained);
}

auto mix(double Own, double Pool, double Share) -> double { return Pool + (Own - Pool) * Share; }

} // namespace

auto SpeedFigures::assumed(bool HasPrompt) -> SpeedFigures {
  auto Figures = SpeedFigures();
  Figures.m_MsPerPromptToken = HasPrompt ? 1.0 / 40.0 : 0.0;
  Figures.m_MsPerActiveRequest = HasPrompt ? 1.5 : 15.0;
  return Figures;
}

auto SpeedFigures::firstEventMs(const WorkAhead &Work, std::int64_t Slots) const -> double {
  const auto Running = Slots > 0 ? std::min(Work.m_ActiveRequests, Slots) : Work.m_ActiveRequests;
  const auto Ms = m_BaseMs + m_MsPerPromptToken * static_cast<double>(Work.m_PromptTokens) +
                  m_MsPerActiveRequest * static_cast<double>(Running);
  if (Slots <= 0 || Work.m_ActiveRequests < Slots) {
    return Ms;
  }
  const auto Ahead = static_cast<double>(Work.m_ActiveRequests - Slots + 1);
  return Ms + m_ResponseMs * Ahead / static_cast<double>(Slots);
}

auto TargetSpeed::scale(double Factor) -> void {
  for (auto &Row : m_Products) {
    for (auto &Product : Row) {
      Product *= Factor;
    }
  }
  for (auto &Time : m_Times) {
    Time *= Factor;
  }
  m_Weight *= Factor;
}

auto TargetSpeed::recordFirstEvent(const WorkAhead &Work, std::int64_t Slots, double Ms,
                                   const SpeedFigures &Prior, base::SteadyTime Now) -> void {
  const auto Known = figures(Prior, Now);
  const auto Forecast = Known.firstEventMs(Work, Slots);
  const auto Distance = Ms - Forecast;
  const auto Deviation = std::max(Known.m_DeviationMs, MinDeviationMs);
  if (std::abs(Distance) > ChangeDeviations * Deviation) {
    const auto Side = Distance > 0.0 ? 1 : -1;
    m_Run = m_Run * Side > 0 ? m_Run + Side : Side;
  } else {
    m_Run = 0;
  }
  const auto HasChanged = std::abs(m_Run) >= ChangeRun;
  // Without earlier answers there is no deviation to clip by.
  const auto IsClipped = !HasChanged && Known.m_DeviationMs > 0.0;
  const auto Counted = IsClipped ? std::clamp(Distance, -ClippedDeviations * Deviation,
                                              ClippedDeviations * Deviation)
                                 : Distance;
  scale(HasChanged ? RetainedAfterChange : Retained);
  if (HasChanged) {
    m_Run = 0;
  }
  smooth(m_Figures.m_MeanFirstEventMs, Forecast + Counted);
  smooth(m_Figures.m_DeviationMs, std::abs(Counted));
  // The wait for a slot is not part of the fit.
  const auto Running =
      WorkAhead{Work.m_PromptTokens,
                Slots > 0 ? std::min(Work.m_ActiveRequests, Slots) : Work.m_ActiveRequests};
  const auto Time = Known.firstEventMs(Running, 0) + Counted;
  const auto Inputs = std::array{1.0, static_cast<double>(Running.m_PromptTokens) / TokensPerUnit,
                                 static_cast<double>(Running.m_ActiveRequests) / RequestsPerUnit};
  for (std::size_t Row = 0; Row < Size; ++Row) {
    for (std::size_t Column = 0; Column < Size; ++Column) {
      m_Products.at(Row).at(Column) += Inputs.at(Row) * Inputs.at(Column);
    }
    m_Times.at(Row) += Inputs.at(Row) * Time;
  }
  m_Weight += 1.0;
  m_LearnedAt = Now;
  solve(Prior);
}

auto TargetSpeed::solve(const SpeedFigures &Prior) -> void {
  auto Left = m_Products;
  auto Right = m_Times;
  const auto PriorValues = std::array{Prior.m_BaseMs, Prior.m_MsPerPromptToken * TokensPerUnit,
                                      Prior.m_MsPerActiveRequest * RequestsPerUnit};
  for (std::size_t Row = 0; Row < Size; ++Row) {
    Left.at(Row).at(Row) += m_PriorWeight;
    Right.at(Row) += m_PriorWeight * PriorValues.at(Row);
  }
  // The matrix is positive definite, so elimination needs no pivots.
  for (std::size_t Pivot = 0; Pivot < Size; ++Pivot) {
    for (std::size_t Row = Pivot + 1; Row < Size; ++Row) {
      const auto Factor = Left.at(Row).at(Pivot) / Left.at(Pivot).at(Pivot);
      for (std::size_t Column = Pivot; Column < Size; ++Column) {
        Left.at(Row).at(Column) -= Factor * Left.at(Pivot).at(Column);
      }
      Right.at(Row) -= Factor * Right.at(Pivot);
    }
  }
  auto Solution = std::array<double, Size>{};
  for (auto Row = Size; Row-- > 0;) {
    auto Value = Right.at(Row);
    for (std::size_t Column = Row + 1; Column < Size; ++Column) {
      Value -= Left.at(Row).at(Column) * Solution.at(Column);
    }
    Solution.at(Row) = Value / Left.at(Row).at(Row);
  }
  m_Figures.m_BaseMs = std::clamp(Solution[0], 0.0, MaxBaseMs);
  m_Figures.m_MsPerPromptToken =
      std::clamp(Solution[1] / TokensPerUnit, MinMsPerPromptToken, MaxMsPerPromptToken);
  m_Figures.m_MsPerActiveRequest =
      std::clamp(Solution[2] / RequestsPerUnit, 0.0, MaxMsPerActiveRequest);
}

auto TargetSpeed::recordEnd(double Ms, std::int64_t Events) -> void {
  smooth(m_Figures.m_ResponseMs, Ms);
  if (Events > 1) {
    smooth(m_Figures.m_MsPerEvent, Ms / static_cast<double>(Events - 1));
  }
}

auto TargetSpeed::recordTurnedAway(std::int64_t ActiveRequests, base::SteadyTime Now) -> void {
  m_FullAt = std::max<std::int64_t>(1, ActiveRequests);
  m_FullUntil = Now + FullTime;
}

auto TargetSpeed::figures(const SpeedFigures &Prior, base::SteadyTime Now) const -> SpeedFigures {
  if (m_Weight == 0.0) {
    return Prior;
  }
  const auto Share = static_cast<double>(HalfAge.count()) /
                     static_cast<double>(HalfAge.count() + age(Now).count());
  auto Mixed = SpeedFigures();
  Mixed.m_BaseMs = mix(m_Figures.m_BaseMs, Prior.m_BaseMs, Share);
  Mixed.m_MsPerPromptToken = mix(m_Figures.m_MsPerPromptToken, Prior.m_MsPerPromptToken, Share);
  Mixed.m_MsPerActiveRequest =
      mix(m_Figures.m_MsPerActiveRequest, Prior.m_MsPerActiveRequest, Share);
  Mixed.m_MeanFirstEventMs = m_Figures.m_MeanFirstEventMs;
  Mixed.m_ResponseMs = m_Figures.m_ResponseMs == 0.0 ? Prior.m_ResponseMs : m_Figures.m_ResponseMs;
  Mixed.m_DeviationMs = m_Weight < ChangeRun && Prior.m_DeviationMs > 0.0 ? Prior.m_DeviationMs
                                                                          : m_Figures.m_DeviationMs;
  Mixed.m_MsPerEvent = m_Figures.m_MsPerEvent == 0.0 ? Prior.m_MsPerEvent : m_Figures.m_MsPerEvent;
  return Mixed;
}

auto TargetSpeed::age(base::SteadyTime Now) const -> std::chrono::milliseconds {
  return m_Weight == 0.0
             ? std::chrono::milliseconds::max()
             : std::max(0ms,
                        std::chrono::duration_cast<std::chrono::milliseconds>(Now - m_LearnedAt));
}

auto TargetSpeed::fullAt(base::SteadyTime Now) const -> std::optional<std::int64_t> {
  return Now < m_FullUntil ? std::optional(m_FullAt) : std::nullopt;
}

} // namespace geraniumlift::forwarding
