#include "budget/budgetrecord.h"
#include "budget/budgetservice.h"
#include "fakes/memorykeyvaluestore.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::budget;
using namespace std::chrono_literals;

namespace {

/// Budget service of one router with the fake key-value service.
struct Fixture {
  base::ManualClock m_Clock;
  fakes::ManualScheduler m_Scheduler{m_Clock};
  fakes::MemoryKeyValueData m_Data;
  fakes::MemoryKeyValueStore m_Store{m_Data, m_Scheduler};
  BudgetService m_Service{{.m_Holder = {"vm-a", 1}}, m_Store, m_Scheduler, m_Clock};
  std::vector<ReserveResult> m_ReserveResults;
  std::vector<BillOutcome> m_BillOutcomes;

  explicit Fixture(Tokens ToppedUp) { storeRecord({.m_ToppedUp = ToppedUp}); }

  auto storeRecord(const BudgetRecord &Record) -> void {
    m_Data.m_Keys[keyOfBudget("b")] = {keyOfBudget("b"), encodeRecord(Record), 1,
                                       ++m_Data.m_Revision};
  }

  auto record() -> BudgetRecord { return *decodeRecord(m_Data.m_Keys[keyOfBudget("b")].m_Value); }

  auto reserve(Tokens WorstCase, std::chrono::milliseconds Deadline = 30s,
               const std::string &Key = "") -> void {
    m_Service.reserve(
        {"b", Key, !Key.empty(), WorstCase, m_Clock.steadyNow() + Deadline},
        [this](ReserveResult Result) { m_ReserveResults.push_back(std::move(Result)); });
  }

  auto bill(std::size_t Index, Tokens Used) -> void {
    m_Service.bill(std::get<ReservationId>(m_ReserveResults.at(Index)), Used,
                   [this](BillOutcome Outcome) { m_BillOutcomes.push_back(Outcome); });
  }

  auto refusalCode(std::size_t Index) -> base::RefusalCode {
    return std::get<base::Refusal>(m_ReserveResults.at(Index)).m_Code;
  }
};

} // namespace

// Guards against an end marker that is sent before the settlement has landed, and against a write
// for every request.
Test(budgetservice, groupsBillsAndAnswersAfterTheWriteLanded) {
  auto Router = Fixture(100000);
  for (int Count = 0; Count < 50; ++Count) {
    Router.reserve(100);
  }
  Router.m_Scheduler.runFor(20ms);
  cr_assert_eq(Router.m_ReserveResults.size(), 50U);
  for (std::size_t At = 0; At < 50; ++At) {
    Router.bill(At, 10);
  }
  Router.m_Scheduler.runFor(40ms);
  cr_assert(Router.m_BillOutcomes.empty());
  Router.m_Scheduler.runFor(40ms);
  cr_assert(Router.m_BillOutcomes == std::vector<BillOutcome>(50, BillOutcome::Settled));
  cr_assert_eq(Router.record().m_Holders.at(0).m_Settled, 500);
  cr_assert_leq(Router.m_Data.m_Writes, 4);
}

// Guards against a refusal after a top-up that the router has not read yet, and against a refusal
// while other routers may still return enough tokens.
Test(budgetservice, refusesExhaustedOnlyIfTheRecordShowsIt) {
  auto Router = Fixture(100);
  Router.reserve(101);
  Router.m_Scheduler.runFor(100ms);
  cr_assert_eq(Router.refusalCode(0), base::RefusalCode::BudgetExhausted);
  Router.storeRecord({.m_ToppedUp = 300, .m_Holders = {{{"vm-b", 1}, 250, 10, 1}}});
  Router.reserve(101);
  Router.m_Scheduler.runFor(1s);
  cr_assert_eq(Router.m_ReserveResults.size(), 1U);
  Router.storeRecord({.m_ToppedUp = 300, .m_Holders = {{{"vm-b", 1}, 10, 10, 2}}});
  Router.m_Scheduler.runFor(1s);
  cr_assert(std::holds_alternative<ReservationId>(Router.m_ReserveResults.at(1)));
}

// Guards against a small request that expires behind a large one, and against a large request that
// every small one overtakes.
Test(budgetservice, smallRequestOvertakesAfterHalfItsTime) {
  auto Router = Fixture(1000);
  Router.storeRecord({.m_ToppedUp = 1000, .m_Holders = {{{"vm-b", 1}, 500, 0, 1}}});
  Router.reserve(800, 30s);
  Router.reserve(100, 10s);
  Router.m_Scheduler.runFor(4900ms);
  cr_assert(Router.m_ReserveResults.empty());
  Router.m_Scheduler.runFor(1s);
  cr_assert_eq(Router.m_ReserveResults.size(), 1U);
  cr_assert(std::holds_alternative<ReservationId>(Router.m_ReserveResults[0]));
  Router.m_Scheduler.runFor(25s);
  cr_assert_eq(Router.refusalCode(1), base::RefusalCode::BudgetUnavailable);
}

// Guards against a request that waits too long, or runs, while the key-value service is down.
Test(budgetservice, refusesWithinASecondWhileTheServiceIsDown) {
  auto Router = Fixture(1000);
  Router.m_Store.cut(true);
  Router.reserve(10);
  Router.m_Scheduler.runFor(1s);
  cr_assert_eq(Router.refusalCode(0), base::RefusalCode::BudgetUnavailable);
  Router.m_Store.cut(false);
  Router.m_Scheduler.runFor(2s);
  Router.reserve(10);
  Router.m_Scheduler.runFor(1s);
  cr_assert(std::holds_alternative<ReservationId>(Router.m_ReserveResults.at(1)));
}

// Guards against an answer that is held for ever by its bill, and against a bill that is dropped.
Test(budgetservice, answersBillAfterTheHoldAndSettlesLater) {
  auto Router = Fixture(1000);
  Router.reserve(10);
  Router.m_Scheduler.runFor(1s);
  Router.m_Store.cut(true);
  Router.bill(0, 7);
  Router.m_Scheduler.runFor(1900ms);
  cr_assert(Router.m_BillOutcomes.empty());
  Router.m_Scheduler.runFor(200ms);
  cr_assert(Router.m_BillOutcomes == std::vector{BillOutcome::Pending});
  Router.m_Store.cut(false);
  Router.m_Scheduler.runFor(2s);
  cr_assert_eq(Router.record().m_Holders.at(0).m_Settled, 7);
  cr_assert_eq(Router.m_BillOutcomes.size(), 1U);
}

// Guards against a retry that is charged in full, and against one whose additional tokens are not
// charged.
Test(budgetservice, chargesARetryOnlyTheDifference) {
  auto Router = Fixture(1000);
  const auto Uses = std::vector<Tokens>{20, 15, 30};
  for (std::size_t At = 0; At < Uses.size(); ++At) {
    Router.reserve(50, 30s, "same key");
    Router.m_Scheduler.runFor(1s);
    Router.bill(At, Uses[At]);
    Router.m_Scheduler.runFor(1s);
  }
  const auto Expected =
      std::vector{BillOutcome::Settled, BillOutcome::AlreadyBilled, BillOutcome::Settled};
  cr_assert(Router.m_BillOutcomes == Expected);
  cr_assert_eq(unsettledTokens(Router.record()), 970);
}

// Guards against spending a grant whose entry is gone from the record (reclaimed by mistake, or a
// record that was lost and restored).
Test(budgetservice, stopsSpendingWhenItsEntryIsGone) {
  auto Router = Fixture(1000);
  Router.reserve(100);
  Router.reserve(100);
  Router.m_Scheduler.runFor(100ms);
  Router.storeRecord({.m_ToppedUp = 1000, .m_RetiredSettled = 950});
  Router.bill(0, 90);
  Router.m_Scheduler.runFor(1s);
  Router.bill(1, 90);
  Router.reserve(100);
  Router.m_Scheduler.runFor(1s);
  cr_assert(Router.m_BillOutcomes == std::vector(2, BillOutcome::Pending));
  cr_assert_eq(Router.refusalCode(2), base::RefusalCode::BudgetExhausted);
  cr_assert_eq(unsettledTokens(Router.record()), 50);
}

// Guards against unused grants that are never returned: idle grants are returned after a while, and
// a drained router leaves no entry behind.
Test(budgetservice, returnsIdleGrantsAndDrains) {
  auto Router = Fixture(1000);
  Router.reserve(100);
  Router.m_Scheduler.runFor(1s);
  Router.bill(0, 60);
  Router.m_Scheduler.runFor(20s);
  cr_assert_eq(freeTokens(Router.record()), 940);
  Router.reserve(100);
  Router.m_Scheduler.runFor(1s);
  auto Drained = false;
  Router.m_Service.drain([&] { Drained = true; });
  Router.m_Scheduler.runFor(1s);
  cr_assert_not(Drained);
  Router.m_Store.failWrites({fakes::WriteFault::LostAnswer, fakes::WriteFault::LateWrite});
  Router.bill(1, 40);
  Router.m_Scheduler.runFor(10s);
  cr_assert(Drained);
  cr_assert(Router.record().m_Holders.empty());
  cr_assert_eq(Router.record().m_RetiredSettled, 100);
  Router.reserve(1);
  Router.m_Scheduler.runFor(1s);
  cr_assert_eq(Router.refusalCode(2), base::RefusalCode::Draining);
}
