#include "budget/grantservice.h"
#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::budget;
using namespace std::chrono_literals;

namespace {

struct World;

/// Delivers messages between the services of a world after 3 ms. All offer what they hold, unless
/// offers are turned off.
struct Link final : ITransferLink {
  explicit Link(World &Play) : m_World(Play) {}

  [[nodiscard]] auto offersOf(const std::string &Budget) const -> std::vector<RouterOffer> override;
  auto send(const std::string &Router, const TransferMessage &Message) -> void override;

  World &m_World;
};

struct World {
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;
  Link m_Link{*this};
  std::map<std::string, GrantService *> m_Services;
  int m_Messages = 0;

  auto service(const std::string &Name, std::int64_t Routers, std::set<std::string> Alive = {})
      -> std::unique_ptr<GrantService> {
    auto Options = GrantOptions();
    Options.m_Incarnation = 7;
    Options.m_Session = std::hash<std::string>()(Name);
    auto Service =
        std::make_unique<GrantService>(Name, Options, m_Store, m_Link, m_Timers, m_Clock, m_Log);
    Service->setFleet(Routers, std::move(Alive));
    Service->setPrepaid({{"b", 900000}});
    m_Services[Name] = Service.get();
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

auto Link::offersOf(const std::string &Budget) const -> std::vector<RouterOffer> {
  auto Result = std::vector<RouterOffer>();
  for (const auto &[Name, Service] : m_World.m_Services) {
    for (const auto &Offer : Service->offers()) {
      if (Offer.m_Budget == Budget) {
        Result.push_back({Name, Offer.m_Available});
      }
    }
  }
  return Result;
}

auto Link::send(const std::string &Router, const TransferMessage &Message) -> void {
  ++m_World.m_Messages;
  m_World.m_Timers.start(m_World.m_Clock.steadyNow() + 3ms, [this, Router, Message] {
    if (const auto Found = m_World.m_Services.find(Router); Found != m_World.m_Services.end()) {
      Found->second->onTransfer(*decodeTransfer(encodeTransfer(Message)));
    }
  });
}

} // namespace

Test(grantservice, smallFleetKeepsOneRecordForEachBudget) {
  auto Play = World();
  auto Service = Play.service("vm", 9);
  Play.m_Timers.runFor(4s);
  cr_assert(Play.m_Store.m_Keys.contains(std::string(LayoutKey)));
  cr_assert(Play.m_Store.m_Keys.contains(keyOfGrantPool("b")));
  const auto Answer = Play.reserve(*Service, 5000);
  cr_assert_eq(Answer->m_Outcome, ReservationOutcome::Granted);
  cr_assert_eq(Answer->m_Source, "b");
  Service->settle(Answer->m_Source, 5000, 100);
}

Test(grantservice, routersAgreeOnTheParts) {
  auto Play = World();
  auto First = Play.service("vm-1", 73);
  auto Second = Play.service("vm-2", 30);
  Play.m_Timers.runFor(5s);
  cr_assert_eq(First->parts(), 3);
  cr_assert_eq(Second->parts(), 3);
  const auto Left = Play.reserve(*First, 1000);
  const auto Right = Play.reserve(*Second, 1000);
  cr_assert_eq(Left->m_Outcome, ReservationOutcome::Granted);
  cr_assert_eq(Right->m_Outcome, ReservationOutcome::Granted);
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
    if (Last->m_Outcome == ReservationOutcome::Granted) {
      Granted += 20000;
      Service->settle(Last->m_Source, 20000, 20000);
    }
  }
  cr_expect_leq(Granted, 900000);
  cr_expect_geq(Granted, 800000);
  cr_expect_neq(Last->m_Outcome, ReservationOutcome::Granted);
}

Test(grantservice, requestsAreRefusedUntilTheRecordsAreKnown) {
  auto Play = World();
  Play.m_Store.m_IsAway = true;
  auto Service = Play.service("vm", 9);
  cr_assert_eq(Play.reserve(*Service, 100)->m_Outcome, ReservationOutcome::Unavailable);
  Play.m_Store.m_IsAway = false;
  Play.m_Timers.runFor(5s);
  cr_assert_eq(Play.reserve(*Service, 100)->m_Outcome, ReservationOutcome::Granted);
}

Test(grantservice, unreadableRecordsAreLoggedAndGrantNothing) {
  auto Play = World();
  Play.m_Store.put(std::string(LayoutKey), R"({"parts":1})");
  Play.m_Store.put(keyOfGrantPool("b"), "garbage");
  auto Service = Play.service("vm", 9);
  Play.m_Timers.runFor(5s);
  cr_expect_neq(Play.reserve(*Service, 100)->m_Outcome, ReservationOutcome::Granted);
  cr_expect(Play.m_Log.has("budget_record_unreadable"));
  cr_expect_leq(Play.m_Store.m_Writes, 60, "conflicts slow the writes down: %d",
                Play.m_Store.m_Writes);
}

// In a large fleet requests of all routers are served by the keepers of the parts, so that most of
// them cost no write.
Test(grantservice, keepersServeTheOthersWithFewWrites) {
  auto Play = World();
  auto Names = std::set<std::string>();
  for (auto Number = 0; Number < 20; ++Number) {
    Names.insert("vm-" + std::to_string(Number));
  }
  auto Services = std::vector<std::unique_ptr<GrantService>>();
  for (const auto &Name : Names) {
    Services.push_back(Play.service(Name, 20, Names));
  }
  Play.m_Timers.runFor(5s);
  auto Granted = 0;
  const auto Before = Play.m_Store.m_Writes;
  for (auto Number = 0; Number < 200; ++Number) {
    auto &Service = *Services[static_cast<std::size_t>(Number) % Services.size()];
    Service.reserve("b", 2000, Play.m_Clock.steadyNow() + 400ms,
                    [&Granted, &Service](const Reservation &Answer) {
                      if (Answer.m_Outcome == ReservationOutcome::Granted) {
                        ++Granted;
                        Service.settle(Answer.m_Source, 2000, 2000);
                      }
                    });
    Play.m_Timers.runFor(50ms);
  }
  cr_expect_eq(Granted, 200);
  cr_expect_leq(Play.m_Store.m_Writes - Before, 60, "%d writes for 200 requests",
                Play.m_Store.m_Writes - Before);
}

// What one router holds serves the requests of another one while the store is away.
Test(grantservice, anotherRoutersGrantServesDuringACut) {
  auto Play = World();
  auto First = Play.service("vm-1", 2, {"vm-1", "vm-2"});
  auto Second = Play.service("vm-2", 2, {"vm-1", "vm-2"});
  Play.m_Timers.runFor(5s);
  cr_assert_eq(Play.reserve(*First, 100)->m_Outcome, ReservationOutcome::Granted);
  cr_assert_eq(Play.reserve(*Second, 100)->m_Outcome, ReservationOutcome::Granted);
  Play.m_Store.m_IsAway = true;
  First->setStoreReachable(false);
  Second->setStoreReachable(false);
  cr_assert_eq(Play.reserve(*First, 14000)->m_Outcome, ReservationOutcome::Granted);
  const auto Answer = Play.reserve(*First, 9000);
  cr_assert_eq(Answer->m_Outcome, ReservationOutcome::Granted, "vm-2 holds enough");
  First->settle(Answer->m_Source, 9000, 9000);
  cr_expect_eq(Play.reserve(*First, 9000)->m_Outcome, ReservationOutcome::Unavailable,
               "all is used up");
  cr_expect(Play.m_Log.has("budget_transfer_given"));
}

// Where only some routers are cut off, the others draw for them.
Test(grantservice, routerInTouchDrawsForOneThatIsCutOff) {
  auto Play = World();
  auto First = Play.service("vm-1", 2, {"vm-1", "vm-2"});
  auto Second = Play.service("vm-2", 2, {"vm-1", "vm-2"});
  Play.m_Timers.runFor(5s);
  Play.reserve(*First, 100);
  Play.reserve(*Second, 100);
  First->setStoreReachable(false);
  auto Granted = 0;
  for (auto Number = 0; Number < 20; ++Number) {
    First->reserve("b", 14000, Play.m_Clock.steadyNow() + 400ms,
                   [&Granted](const Reservation &Answer) {
                     Granted += Answer.m_Outcome == ReservationOutcome::Granted ? 1 : 0;
                   });
  }
  Play.m_Timers.runFor(400ms);
  cr_expect_eq(Granted, 20, "%d of 20 requests are served", Granted);
}

// A lost answer must not make the asker wait, and its tokens are not spent by anyone.
Test(grantservice, aSilentRouterDelaysButDoesNotBlock) {
  auto Play = World();
  struct SilentLink final : ITransferLink {
    [[nodiscard]] auto offersOf(const std::string &) const -> std::vector<RouterOffer> override {
      return {{"vm-2", 100000}};
    }
    auto send(const std::string &, const TransferMessage &) -> void override { ++m_Sent; }
    int m_Sent = 0;
  } Silent;
  auto Exchange = TokenExchange("vm-1", 1, Silent, Play.m_Timers, Play.m_Clock, Play.m_Log);
  auto Late = Tokens{0};
  Exchange.setGrants(nullptr, [&Late](const std::string &, Tokens Amount) { Late += Amount; });
  auto Result = std::optional<Tokens>();
  Exchange.ask({{"vm-2", "b"}}, "b", 500, Play.m_Clock.steadyNow() + 1s,
               [&Result](Tokens Amount) { Result = Amount; });
  Play.m_Timers.runFor(100ms);
  cr_assert_eq(*Result, 0);
  cr_expect_eq(Silent.m_Sent, 2, "the request is repeated once");
  Exchange.onMessage(TransferAnswer{"vm-2", 1, 1, 500});
  Exchange.onMessage(TransferAnswer{"vm-2", 1, 1, 500});
  cr_expect_eq(Late, 500, "a late answer counts, and only once");
  Exchange.onMessage(TransferAnswer{"vm-2", 2, 1, 500});
  cr_expect_eq(Late, 500, "an answer to another process does not count");
}

Test(grantservice, messagesBetweenRoutersSurviveAndGarbageIsRefused) {
  const auto Request = TransferMessage(TransferRequest{"vm", 1, 2, "b/1", 300});
  const auto Answer = TransferMessage(TransferAnswer{"vm", 1, 2, 300});
  cr_assert(*decodeTransfer(encodeTransfer(Request)) == Request);
  cr_assert(*decodeTransfer(encodeTransfer(Answer)) == Answer);
  const auto Bytes = encodeTransfer(Request);
  for (auto Size = std::size_t{0}; Size < Bytes.size(); ++Size) {
    cr_assert_not(decodeTransfer(Bytes.substr(0, Size)).ok());
  }
  cr_expect_not(decodeTransfer(std::string(60, '\xff')).ok());
  cr_expect_not(decodeTransfer(encodeTransfer(TransferRequest{"vm", 1, 2, "b", -5})).ok());
}
