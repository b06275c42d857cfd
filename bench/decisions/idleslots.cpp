#include "decisions/idleslots.h"

#include <algorithm>

namespace geraniumlift::bench {

auto IdleSlots::add(double StartSeconds, double EndSeconds, const SpeedSchedule &Speed) -> void {
  if (EndSeconds > StartSeconds) {
    m_Spans.push_back({StartSeconds, EndSeconds, &Speed});
  }
}

auto IdleSlots::tryPlace(const RefusedSpan &Refused) -> bool {
  for (auto Place = std::size_t{0}; Place < m_Spans.size(); ++Place) {
    const auto Span = m_Spans[Place];
    const auto Latest = std::min(Span.m_End, Refused.m_LatestEndSeconds);
    const auto Start = std::max(Span.m_Start, Refused.m_ReceivedSeconds);
    if (Start + Refused.m_WorkSeconds > Latest) {
      continue;
    }
    const auto End = Span.m_Speed->endOf(Start, Refused.m_WorkSeconds);
    if (End <= Latest) {
      m_Spans[Place].m_End = Start;
      add(End, Span.m_End, *Span.m_Speed);
      return true;
    }
  }
  return false;
}

} // namespace geraniumlift::bench
