#include "budget/tests/ledgersimulation.h"
#include "budget/tests/naiveledger.h"

#include <criterion/criterion.h>

using namespace geraniumlift::budget;
using namespace geraniumlift::budget::tests;

namespace {

constexpr std::size_t RouterCount = 3;

auto ledgers(GrantStrategy Strategy) -> std::vector<BudgetLedger> {
  auto All = std::vector<BudgetLedger>();
  for (std::size_t At = 0; At < RouterCount; ++At) {
    const auto Options = BudgetOptions{.m_Holder = LedgerSimulation<BudgetLedger>::holder(At),
                                       .m_GrantStrategy = Strategy,
                                       .m_ExpectedRouters = RouterCount};
    All.emplace_back(Options, At + 1);
  }
  return All;
}

auto naiveLedgers(NaiveFault Fault) -> std::vector<NaiveLedger> {
  auto All = std::vector<NaiveLedger>();
  for (std::size_t At = 0; At < RouterCount; ++At) {
    All.emplace_back(LedgerSimulation<NaiveLedger>::holder(At), Fault);
  }
  return All;
}

/// Generates schedules long enough for a grant to be drawn, spent, returned and reclaimed under
/// several faults.
auto schedules() -> rc::Gen<std::vector<ScheduleStep>> {
  constexpr auto LengthFactor = 4.0;
  return rc::gen::scale(LengthFactor, rc::gen::arbitrary<std::vector<ScheduleStep>>());
}

auto propertiesHoldFor(GrantStrategy Strategy, SimulationOptions Options) -> bool {
  return rc::check("no schedule of faults overspends or charges twice", [=] {
    const auto Schedule = *schedules();
    auto Simulation = LedgerSimulation<BudgetLedger>(ledgers(Strategy), Options);
    Simulation.run(Schedule);
    Simulation.finish();
  });
}

auto propertiesHoldForNaive(NaiveFault Fault) -> bool {
  return rc::check("expected to be falsified: the naive ledger", [=] {
    const auto Schedule = *schedules();
    LedgerSimulation<NaiveLedger>(naiveLedgers(Fault), SimulationOptions()).run(Schedule);
  });
}

} // namespace

// Guards against overspending and wrong bills for requests without an idempotency key.
Test(budgetledger, keepsTheLimitWithoutKeys) {
  for (const auto &Row : GrantStrategyNames) {
    cr_assert(propertiesHoldFor(Row.m_Value, {}), "strategy %s", std::string(Row.m_Name).c_str());
  }
}

// Guards against a request that is billed twice when its caller retries at another router.
Test(budgetledger, chargesEachKeyOnce) {
  for (const auto &Row : GrantStrategyNames) {
    cr_assert(propertiesHoldFor(Row.m_Value, {.m_UsesIdempotencyKeys = true}), "strategy %s",
              std::string(Row.m_Name).c_str());
  }
}

// Guards against a holder that goes on spending after its entry was reclaimed by mistake.
Test(budgetledger, keepsTheLimitAfterReclaimingLiveHolders) {
  for (const auto UsesKeys : {false, true}) {
    cr_assert(propertiesHoldFor(GrantStrategy::Forecast, {.m_UsesIdempotencyKeys = UsesKeys,
                                                          .m_ReclaimsLiveHolders = true}));
  }
}

// Guards against properties that are too weak to detect a double charge.
Test(budgetledger, propertiesCatchRepeatedWrite) {
  cr_assert_not(propertiesHoldForNaive(NaiveFault::RepeatUnknownWrite));
}

// Guards against properties that are too weak to detect spending after a reclaim.
Test(budgetledger, propertiesCatchReclaimAfterSilence) {
  cr_assert_not(propertiesHoldForNaive(NaiveFault::ReclaimAfterSilence));
}
