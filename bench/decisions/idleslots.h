#pragma once

#include "decisions/speedschedule.h"

#include <cstddef>
#include <vector>

namespace geraniumlift::bench {

/// A refused request that looks for an idle slot.
struct RefusedSpan {
  /// Time at which a router received the request, in seconds.
  double m_ReceivedSeconds = 0.0;

  /// Latest end of the run on the target: the deadline less the way back to the caller.
  double m_LatestEndSeconds = 0.0;

  /// Normal-speed time on a slot.
  double m_WorkSeconds = 0.0;
};

/// The times at which the slots of one pool stood idle in a finished run.
///
/// A refusal is false when capacity that could have met the deadline stood idle. Exactly: a request
/// is refused if it never started on a target, whatever the reason (a refusal at once, a rejection
/// from the queue, a deadline that passed before a slot was reached). The refusal is false if some
/// slot of a target that accepted work stood idle, in this run as it happened, without a break from
/// a moment not before a router first received the request until the request's whole run on that
/// slot would have ended, at the target's real speed of that time and without a cached prefix, and
/// this end is not later than the deadline less the way back. Each idle span serves as evidence
/// once: the time that a false refusal would have used is taken away before the next refusal is
/// judged, in order of reception. Hindsight is part of the definition: a router need not have been
/// able to know it.
class IdleSlots {
public:
  /// Adds an idle span of a slot whose target has the given speeds. The schedule must outlive this.
  auto add(double StartSeconds, double EndSeconds, const SpeedSchedule &Speed) -> void;

  /// Looks for an idle span that could have run the request, and uses it up. Returns whether one
  /// was found, that is, whether the refusal was false.
  auto tryPlace(const RefusedSpan &Refused) -> bool;

private:
  struct Span {
    double m_Start = 0.0;
    double m_End = 0.0;
    const SpeedSchedule *m_Speed = nullptr;
  };

  std::vector<Span> m_Spans;
};

} // namespace geraniumlift::bench
