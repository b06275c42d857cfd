#pragma once

#include "base/random.h"
#include "decisions/workload.h"

namespace geraniumlift::bench {

/// How much slower than normal a fake target runs over time.
class SpeedSchedule {
public:
  /// Draws the hidden slow phases of one target for the length of a run.
  SpeedSchedule(const HiddenSlowSpec &Slow, double DurationSeconds, base::RandomEngine &Random);

  /// Adds a phase. Where phases overlap, the largest factor counts.
  auto addPhase(double StartSeconds, double EndSeconds, double Factor) -> void;

  /// Factor by which work takes longer at the given time; at least 1.
  [[nodiscard]] auto slownessAt(double Seconds) const -> double;

  /// Work in normal-speed seconds that one slot does in the span.
  [[nodiscard]] auto workBetween(double StartSeconds, double EndSeconds) const -> double;

  /// Time at which work of the given normal-speed seconds ends if it starts at the given time.
  [[nodiscard]] auto endOf(double StartSeconds, double WorkSeconds) const -> double;

private:
  struct Phase {
    double m_Start = 0.0;
    double m_End = 0.0;
    double m_Factor = 1.0;
  };

  /// First moment after the given one at which a phase starts or ends.
  [[nodiscard]] auto nextChange(double Seconds) const -> double;

  std::vector<Phase> m_Phases;
};

} // namespace geraniumlift::bench
