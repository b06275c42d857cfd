#pragma once

#include "decisions/measurement.h"
#include "decisions/policies.h"

namespace geraniumlift::bench {

/// The measures of one policy under one workload.
struct PolicyMeasures {
  std::string m_Policy;
  std::vector<SeedMeasure> m_Seeds;
};

/// The measures of all policies under one workload.
struct WorkloadMeasures {
  std::string m_Workload;
  std::uint64_t m_FirstSeed = 1;
  std::vector<PolicyMeasures> m_Policies;
};

/// What to measure.
struct RunAllSpec {
  std::vector<Workload> m_Workloads;
  std::vector<Policy> m_Policies;
  std::uint64_t m_FirstSeed = 1;
  std::size_t m_SeedCount = 10;

  /// Threads; the results do not depend on their number.
  std::size_t m_Jobs = 4;
};

/// Runs every policy under every workload, seed and scenario.
auto runAll(const RunAllSpec &Spec) -> std::vector<WorkloadMeasures>;

} // namespace geraniumlift::bench
