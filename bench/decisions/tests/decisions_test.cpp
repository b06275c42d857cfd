#include "decisions/idealbound.h"
#include "decisions/reports.h"
#include "decisions/workloadfile.h"

#include <criterion/criterion.h>

using namespace geraniumlift;

namespace {

auto smallSpec() -> bench::RunAllSpec {
  auto Spec = bench::RunAllSpec();
  auto Load = bench::loadWorkload(std::string(WORKLOAD_FOLDER) + "/pryce.toml");
  cr_assert(Load.ok(), "%s", std::string(Load.status().message()).c_str());
  // The first swing and its aftermath are enough here.
  Load->m_DurationSeconds = 16.0;
  Spec.m_Workloads.push_back(*Load);
  Spec.m_Policies = bench::knownPolicies();
  Spec.m_SeedCount = 2;
  return Spec;
}

auto unslowed() -> bench::SpeedSchedule {
  auto Random = base::RandomEngine(1);
  return {{}, 100.0, Random};
}

} // namespace

// Guards against results that depend on the number of threads or on the order of a hash table.
Test(decisions, sameSeedGivesTheSameReport) {
  auto Spec = smallSpec();
  const auto First = bench::jsonReport(bench::runAll(Spec));
  Spec.m_Jobs = 1;
  const auto Second = bench::jsonReport(bench::runAll(Spec));
  cr_assert(First == Second);
}

// Guards against a bound below what a real schedule reaches.
Test(decisions, idealBoundCountsWhatFits) {
  const auto Bound = bench::IdealBound(1.0, {1.0, 1.0, 1.0, 1.0});
  cr_assert_float_eq(Bound.served({{0.0, 2.0, 1.0}, {0.0, 2.0, 1.0}, {2.0, 4.0, 2.0}}), 3.0, 1e-9);
  cr_assert_float_eq(Bound.served({{0.0, 2.0, 1.0}, {0.0, 2.0, 2.0}}), 1.5, 1e-9);
  cr_assert_float_eq(Bound.served({{0.0, 2.0, 3.0}}), 0.0, 1e-9);
}

// Guards against a refusal that is judged false on time that was not idle long enough, and against
// one idle span that convicts two refusals.
Test(decisions, idleSpanServesAsEvidenceOnce) {
  auto Speed = unslowed();
  Speed.addPhase(10.0, 12.0, 5.0);
  auto Idle = bench::IdleSlots();
  Idle.add(0.0, 4.0, Speed);
  Idle.add(10.0, 12.0, Speed);
  cr_assert_not(Idle.tryPlace({0.0, 30.0, 5.0}));
  cr_assert_not(Idle.tryPlace({3.0, 5.0, 2.0}));
  cr_assert(Idle.tryPlace({0.0, 30.0, 2.5}));
  cr_assert_not(Idle.tryPlace({0.0, 30.0, 2.5}));
}

// Guards against a misspelt key that silently changes the workload.
Test(decisions, unknownWorkloadKeyIsAnError) {
  cr_assert_not(bench::loadWorkload("/nonexistent.toml").ok());
}
