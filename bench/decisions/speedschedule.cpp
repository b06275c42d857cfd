#include "decisions/speedschedule.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <limits>

namespace geraniumlift::bench {

SpeedSchedule::SpeedSchedule(const HiddenSlowSpec &Slow, double DurationSeconds,
                             base::RandomEngine &Random) {
  if (Slow.m_MeanIntervalSeconds <= 0.0) {
    return;
  }
  auto Gaps = boost::random::exponential_distribution<double>(1.0 / Slow.m_MeanIntervalSeconds);
  for (auto Start = Gaps(Random); Start < DurationSeconds;
       Start += Slow.m_DurationSeconds + Gaps(Random)) {
    addPhase(Start, Start + Slow.m_DurationSeconds, Slow.m_Factor);
  }
}

auto SpeedSchedule::addPhase(double StartSeconds, double EndSeconds, double Factor) -> void {
  m_Phases.push_back({StartSeconds, EndSeconds, Factor});
}

auto SpeedSchedule::slownessAt(double Seconds) const -> double {
  auto Factor = 1.0;
  for (const auto &Phase : m_Phases) {
    if (Seconds >= Phase.m_Start && Seconds < Phase.m_End) {
      Factor = std::max(Factor, Phase.m_Factor);
    }
  }
  return Factor;
}

auto SpeedSchedule::nextChange(double Seconds) const -> double {
  auto Next = std::numeric_limits<double>::infinity();
  for (const auto &Phase : m_Phases) {
    for (const auto Edge : {Phase.m_Start, Phase.m_End}) {
      if (Edge > Seconds) {
        Next = std::min(Next, Edge);
      }
    }
  }
  return Next;
}

auto SpeedSchedule::workBetween(double StartSeconds, double EndSeconds) const -> double {
  auto Work = 0.0;
  for (auto From = StartSeconds; From < EndSeconds;) {
    const auto To = std::min(EndSeconds, nextChange(From));
    Work += (To - From) / slownessAt(From);
    From = To;
  }
  return Work;
}

auto SpeedSchedule::endOf(double StartSeconds, double WorkSeconds) const -> double {
  auto From = StartSeconds;
  auto Left = WorkSeconds;
  while (true) {
    const auto Change = nextChange(From);
    const auto End = From + Left * slownessAt(From);
    if (End <= Change) {
      return End;
    }
    Left -= (Change - From) / slownessAt(From);
    From = Change;
  }
}

} // namespace geraniumlift::bench
