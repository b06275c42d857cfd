#include "budget/grantservice.h"
#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::budget;
using namespace std::chrono_literals;

namespace {

struct World {
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;

  auto service(const std::string &Name, std::int64_t Routers) -> std::unique_ptr<GrantService> {
    auto Options = GrantOptions();
    Options.m_Incarnation = 7;
    auto Service = std::make_unique<GrantService>(Name, Options, m_Store, m_Timers, m_Clock, m_Log);
    Service->setRouters(Routers);
    Service->setPrepaid({{"b", 900000}});
    return Service;
  }

  auto reserve(GrantService &Service, Tokens WorstCase) -> std::optional<Reservation> {
    auto Result = std::optional<Reservation>();
    Service.reserve("b", WorstCase, m_Clock.steadyNow() + 400ms,
                    [&Result](const Reservation &Answer) { Result = Answer; });
    m_Timers.runFor(500ms);
    return Result;
  }
};

} // namespace

Test(grantservice, smallFleetKeepsOneRecordForEachBudget) {
  auto Play = World();
  auto Service = Play.service("vm", 9);
  Play.m_Timers.runFor(4s);
  cr_assert(Play.m_Store.m_Keys.contains(std::string(LayoutKey)));
  cr_assert(Play.m_Store.m_Keys.contains(keyOfGrantPool("b")));
  const auto Answer = Play.reserve(*Service, 5000);
  cr_assert_eq(Answer->m_Answer, GrantAnswer::Granted);
  cr_assert_eq(Answer->m_Source, "b");
  Service->settle(Answer->m_Source, 5000, 100);
}

Test(grantservice, routersAgreeOnTheParts) {
  auto Play = World();
  auto First = Play.service("vm-1", 73);
  auto Second = Play.service("vm-2", 30);
  Play.m_Timers.runFor(5s);
  for (auto Part = 0; Part < 8; ++Part) {
    cr_expect_not(Play.m_Store.m_Keys.contains(keyOfGrantPool("b/" + std::to_string(Part + 8))));
  }
  const auto Left = Play.reserve(*First, 1000);
  const auto Right = Play.reserve(*Second, 1000);
  cr_assert_eq(Left->m_Answer, GrantAnswer::Granted);
  cr_assert_eq(Right->m_Answer, GrantAnswer::Granted);
  cr_expect_neq(Left->m_Source, "b", "budgets of a large fleet are kept in parts");
  cr_expect_neq(Right->m_Source, "b");
}

// A used-up home does not refuse what another part still covers; all parts together do not grant
// more than the budget.
Test(grantservice, partsTogetherGrantTheBudgetAndNotMore) {
  auto Play = World();
  auto Service = Play.service("vm", 27);
  Play.m_Timers.runFor(4s);
  auto Granted = Tokens{0};
  auto Last = std::optional<Reservation>();
  for (auto Number = 0; Number < 60; ++Number) {
    Last = Play.reserve(*Service, 20000);
    if (Last->m_Answer == GrantAnswer::Granted) {
      Granted += 20000;
      Service->settle(Last->m_Source, 20000, 20000);
    }
  }
  cr_expect_leq(Granted, 900000);
  cr_expect_geq(Granted, 800000);
  cr_expect_neq(Last->m_Answer, GrantAnswer::Granted);
}

Test(grantservice, requestsAreRefusedUntilTheRecordsAreKnown) {
  auto Play = World();
  Play.m_Store.m_IsAway = true;
  auto Service = Play.service("vm", 9);
  cr_assert_eq(Play.reserve(*Service, 100)->m_Answer, GrantAnswer::Unavailable);
  Play.m_Store.m_IsAway = false;
  Play.m_Timers.runFor(5s);
  cr_assert_eq(Play.reserve(*Service, 100)->m_Answer, GrantAnswer::Granted);
}

Test(grantservice, unreadableRecordsAreLoggedAndGrantNothing) {
  auto Play = World();
  Play.m_Store.put(std::string(LayoutKey), R"({"parts":1})");
  Play.m_Store.put(keyOfGrantPool("b"), "garbage");
  auto Service = Play.service("vm", 9);
  Play.m_Timers.runFor(5s);
  cr_expect_neq(Play.reserve(*Service, 100)->m_Answer, GrantAnswer::Granted);
  cr_expect(Play.m_Log.has("budget_record_unreadable"));
  cr_expect_leq(Play.m_Store.m_Writes, 60, "conflicts slow the writes down: %d",
                Play.m_Store.m_Writes);
}
