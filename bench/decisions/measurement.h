#pragma once

#include "decisions/runresult.h"
#include "decisions/scenario.h"

#include <array>

namespace geraniumlift::bench {

/// Figures of one run.
struct RunMeasure {
  /// Wait of short work from the planned send time to the start on a slot, in seconds. Work that
  /// never started counts with its whole deadline, so that refusing does not lower the wait.
  double m_ShortWaitP50 = 0.0;
  double m_ShortWaitP99 = 0.0;

  /// 99th percentile of the time from the planned send time to the whole answer, in seconds. Work
  /// that was not served counts with its whole deadline.
  double m_LatencyP99 = 0.0;

  /// The same over served requests only.
  double m_ServedLatencyP99 = 0.0;

  /// Parts of all planned requests.
  double m_ServedShare = 0.0;
  double m_FalseRefusalShare = 0.0;
  double m_RefusedShare = 0.0;

  /// Served part of the requests of the workspace that is served worst.
  double m_WorstWorkspaceShare = 0.0;

  /// Served requests among those sent at the peak.
  double m_PeakServed = 0.0;
  double m_PaidPeakServed = 0.0;
  double m_LateStartsOnLeaving = 0.0;
};

/// Computes the figures of a run.
auto measure(const Workload &Load, const RunResult &Result) -> RunMeasure;

/// All runs of one policy with one seed.
struct SeedMeasure {
  /// In the order of ScenarioNames.
  std::array<RunMeasure, ScenarioNames.size()> m_Runs;

  /// Upper bounds for the served requests at the peak, without faults.
  double m_PeakBound = 0.0;
  double m_PaidPeakBound = 0.0;
};

/// Mean and spread of a figure over the seeds.
struct Spread {
  double m_Mean = 0.0;
  double m_StandardDeviation = 0.0;
  double m_Lowest = 0.0;
  double m_Highest = 0.0;
};

/// A row of the tables.
struct Metric {
  std::string_view m_Name;
  std::string_view m_Meaning;
  std::string_view m_Goal;
  double (*m_Value)(const SeedMeasure &);
};

/// The rows of the tables in their order.
auto metrics() -> const std::vector<Metric> &;

auto spreadOf(const Metric &Metric, const std::vector<SeedMeasure> &Seeds) -> Spread;

} // namespace geraniumlift::bench
