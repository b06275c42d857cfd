#include "decisions/runall.h"

#include "decisions/simulation.h"

#include <atomic>
#include <thread>

namespace geraniumlift::bench {

namespace {

/// One seed of one workload, for all policies, so that the bound is computed once.
struct Job {
  const Workload *m_Workload = nullptr;
  std::size_t m_WorkloadPlace = 0;
  std::size_t m_SeedPlace = 0;
};

auto runSeed(const RunAllSpec &Spec, const Job &Job, WorkloadMeasures &Measures) -> void {
  const auto Seed = Spec.m_FirstSeed + Job.m_SeedPlace;
  const auto Unfaulted =
      Simulation({Job.m_Workload, Spec.m_Policies[0].m_Options, Scenario::NoFault, Seed});
  const auto Bound = Unfaulted.peakBound(false);
  const auto PaidBound = Unfaulted.peakBound(true);
  for (auto Policy = std::size_t{0}; Policy < Spec.m_Policies.size(); ++Policy) {
    auto &Target = Measures.m_Policies[Policy].m_Seeds[Job.m_SeedPlace];
    Target.m_PeakBound = Bound;
    Target.m_PaidPeakBound = PaidBound;
    for (const auto &Row : ScenarioNames) {
      const auto Run =
          RunSpec{Job.m_Workload, Spec.m_Policies[Policy].m_Options, Row.m_Value, Seed};
      Target.m_Runs[static_cast<std::size_t>(Row.m_Value)] =
          measure(*Job.m_Workload, Simulation(Run).run());
    }
  }
}

auto emptyMeasures(const RunAllSpec &Spec) -> std::vector<WorkloadMeasures> {
  auto All = std::vector<WorkloadMeasures>();
  for (const auto &Workload : Spec.m_Workloads) {
    auto &Measures = All.emplace_back();
    Measures.m_Workload = Workload.m_Name;
    Measures.m_FirstSeed = Spec.m_FirstSeed;
    for (const auto &Policy : Spec.m_Policies) {
      Measures.m_Policies.push_back({Policy.m_Name, std::vector<SeedMeasure>(Spec.m_SeedCount)});
    }
  }
  return All;
}

auto jobsOf(const RunAllSpec &Spec) -> std::vector<Job> {
  auto Jobs = std::vector<Job>();
  for (auto Place = std::size_t{0}; Place < Spec.m_Workloads.size(); ++Place) {
    for (auto Seed = std::size_t{0}; Seed < Spec.m_SeedCount; ++Seed) {
      Jobs.push_back({&Spec.m_Workloads[Place], Place, Seed});
    }
  }
  return Jobs;
}

} // namespace

auto runAll(const RunAllSpec &Spec) -> std::vector<WorkloadMeasures> {
  auto All = emptyMeasures(Spec);
  const auto Jobs = jobsOf(Spec);
  auto Next = std::atomic<std::size_t>(0);
  auto Threads = std::vector<std::jthread>();
  for (auto Thread = std::size_t{0}; Thread < Spec.m_Jobs; ++Thread) {
    Threads.emplace_back([&] {
      for (auto Place = Next++; Place < Jobs.size(); Place = Next++) {
        runSeed(Spec, Jobs[Place], All[Jobs[Place].m_WorkloadPlace]);
      }
    });
  }
  Threads.clear();
  return All;
}

} // namespace geraniumlift::bench
