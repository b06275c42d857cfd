#include "budget/budgetledger.h"

#include <criterion/criterion.h>
#include <deque>

using namespace geraniumlift;
using namespace geraniumlift::budget;

namespace {

/// The ledgers of two routers that share one record in memory. Writes always land.
struct Fixture {
  Fixture() { m_Stored.m_Record.emplace().m_ToppedUp = 1'000; }

  auto handleEvent(BudgetLedger &Ledger, const LedgerEvent &First) -> void {
    auto Events = std::deque<LedgerEvent>{First};
    while (!Events.empty()) {
      const auto Event = Events.front();
      Events.pop_front();
      for (const auto &Command : Ledger.handle(Event, m_Now)) {
        execute(Command, Events);
      }
    }
  }

  auto execute(const LedgerCommand &Command, std::deque<LedgerEvent> &Events) -> void {
    if (std::holds_alternative<ReadCommand>(Command)) {
      Events.push_back(RecordReadEvent{m_Stored});
    } else if (const auto *Write = std::get_if<WriteCommand>(&Command)) {
      m_Stored = {m_Stored.m_Revision + 1, Write->m_Record};
      Events.push_back(WriteLandedEvent{m_Stored.m_Revision});
    } else if (const auto *Bill = std::get_if<BillAnswer>(&Command)) {
      m_LastBill = *Bill;
    }
  }

  auto reserveAndBill(BudgetLedger &Ledger) -> void {
    handleEvent(Ledger, ReserveEvent{1, "hash", 20, m_Now.m_Steady + std::chrono::seconds{30}});
    handleEvent(Ledger, BillEvent{1, 20});
    for (auto Step = 0; Step < 20; ++Step) {
      m_Now.m_Steady += std::chrono::milliseconds{10};
      handleEvent(Ledger, TickEvent{});
    }
  }

  BudgetLedger m_First{BudgetOptions{.m_Holder = {"entry-1", 1}}, 1};
  BudgetLedger m_Second{BudgetOptions{.m_Holder = {"entry-2", 1}}, 2};
  StoredRecord m_Stored{1, std::nullopt};
  LedgerTime m_Now{base::SteadyTime{std::chrono::hours{1}}, 1'000};
  std::optional<BillAnswer> m_LastBill;
};

} // namespace

// Guards against a retry whose answer is held for the whole bill hold. If two routers bill the same
// request within one second, the second bill leaves the record unchanged, so that no write is made.
Test(budgetledger, repeatedBillIsAnsweredWithoutAWrite) {
  auto Test = Fixture();
  Test.reserveAndBill(Test.m_First);
  cr_assert(Test.m_LastBill && Test.m_LastBill->m_Outcome == BillOutcome::Settled);
  Test.m_LastBill.reset();
  Test.reserveAndBill(Test.m_Second);
  cr_assert(Test.m_LastBill.has_value());
  cr_assert(Test.m_LastBill->m_Outcome == BillOutcome::AlreadyBilled);
  cr_assert_eq(Test.m_Second.pendingTokens(), 0);
}

// Guards against a router that holds more of a budget than the operators allow.
Test(budgetledger, allowanceStaysWithinTheOperatorsLimit) {
  auto Test = Fixture();
  Test.m_Stored.m_Record->m_ToppedUp = 1'000'000;
  const auto Deadline = Test.m_Now.m_Steady + std::chrono::seconds{30};
  Test.handleEvent(Test.m_First, ReserveEvent{1, "hash", 20, Deadline, 50});
  Test.handleEvent(Test.m_Second, ReserveEvent{1, "hash", 20, Deadline});
  cr_assert_leq(Test.m_First.view().m_Allowance, 50);
  cr_assert_gt(Test.m_Second.view().m_Allowance, 50);
}
