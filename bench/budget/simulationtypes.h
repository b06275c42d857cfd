#pragma once

#include "budget/grantstrategy.h"

#include <chrono>
#include <cstdint>

namespace geraniumlift::bench {

using base::Tokens;

/// One run.
struct SimulationCase {
  budget::GrantStrategy m_Strategy = budget::GrantStrategy::Forecast;
  std::chrono::milliseconds m_CommitInterval{50};
  int m_Routers = 9;
  std::uint64_t m_Seed = 1;
  std::chrono::milliseconds m_GrantHorizon{60000};

  /// Whether a third of the routers is cut off from the key-value service for an hour.
  bool m_WithPartition = false;
};

/// What a run measured.
struct SimulationResult {
  std::int64_t m_Requests = 0;

  /// Refused although the budget had enough beyond all bills and all worst cases in flight, at
  /// routers that reach the key-value service and at routers that do not.
  std::int64_t m_FalseRefusals = 0;
  std::int64_t m_FalseRefusalsCutOff = 0;
  std::int64_t m_RequestsCutOff = 0;

  /// Calls to the key-value service during the busy phase, which lasts m_BusySeconds.
  std::int64_t m_Writes = 0;
  std::int64_t m_Conflicts = 0;
  std::int64_t m_Reads = 0;
  double m_BusySeconds = 0;

  /// Sum over all bills of the time until the end of the answer could be released.
  std::chrono::milliseconds m_BillWait{0};
  std::int64_t m_Bills = 0;

  /// Tokens that the routers that are cut off still hold and did not use, at the end of the
  /// partition.
  Tokens m_Stranded = 0;

  /// Tokens used beyond what was topped up; must be 0.
  Tokens m_Overspend = 0;
};

} // namespace geraniumlift::bench
