#include "budget/grantservice.h"
#include "budget/internal/grantcodec.h"
#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::budget;
using namespace std::chrono_literals;

namespace {

struct TestFleet;

/// Delivers messages between the services of a test fleet after 3 ms. Every service offers what it
/// holds.
struct FakeTransferLink final : ITransferLink {
  explicit FakeTransferLink(TestFleet &Fleet) : m_Fleet(Fleet) {}

  [[nodiscard]] auto offersOf(const std::string &Budget) const -> std::vector<RouterOffer> override;
  auto send(const std::string &Router, const TransferMessage &Message) -> void override;

  TestFleet &m_Fleet;
};

struct TestFleet {
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;
  FakeTransferLink m_Link{*this};
  std::map<std::string, GrantService *> m_Services;
  int m_MessageCount = 0;

  /// Whether the network loses every ninth message and delivers every third a second time, late.
  bool m_IsNetworkFaulty = false;

  auto startService(const std::string &Name, std::int64_t Routers,
                    std::set<std::string> LiveRouters = {}) -> std::unique_ptr<GrantService> {
    auto Options = GrantOptions();
    Options.m_Incarnation = 7;
    Options.m_Session = std::hash<std::string>()(Name);
    auto Service =
        std::make_unique<GrantService>(Name, Options, m_Store, m_Link, m_Timers, m_Clock, m_Log);
    Service->setFleet(Routers, std::move(LiveRouters));
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

auto FakeTransferLink::offersOf(const std::string &Budget) const -> std::vector<RouterOffer> {
  auto Result = std::vector<RouterOffer>();
  for (const auto &[Name, Service] : m_Fleet.m_Services) {
    for (const auto &Offer : Service->offers()) {
      if (Offer.m_Budget == Budget) {
        Result.push_back({Name, Offer.m_Available});
      }
    }
  }
  return Result;
}

auto FakeTransferLink::send(const std::string &Router, const TransferMessage &Message) -> void {
  const auto Number = ++m_Fleet.m_MessageCount;
  const auto DeliverAfter = [&](std::chrono::milliseconds Delay) {
    m_Fleet.m_Timers.start(m_Fleet.m_Clock.steadyNow() + Delay, [this, Router, Message] {
      if (const auto Found = m_Fleet.m_Services.find(Router); Found != m_Fleet.m_Services.end()) {
        Found->second->onTransfer(*decodeTransfer(encodeTransfer(Message)));
      }
    });
  };
  if (m_Fleet.m_IsNetworkFaulty && Number % 9 == 0) {
    return;
  }
  DeliverAfter(3ms);
  if (m_Fleet.m_IsNetworkFaulty && Number % 3 == 0) {
    DeliverAfter(250ms);
  }
}

} // namespace

Test(grantservice, smallFleetHasOneRecordPerBudget) {
  auto Fleet = TestFleet();
  auto Service = Fleet.startService("vm", 9);
  Fleet.m_Timers.runFor(4s);
  cr_assert(Fleet.m_Store.m_Keys.contains(std::string(LayoutKey)));
  cr_assert(Fleet.m_Store.m_Keys.contains(grantTotalsKey("b")));
  const auto Answer = Fleet.reserve(*Service, 5000);
  cr_assert_eq(Answer->m_Outcome, ReservationOutcome::Granted);
  cr_assert_eq(Answer->m_Source, "b");
  Service->settle(Answer->m_Source, 5000, 100);
}

Test(grantservice, routersAgreeOnTheShardCount) {
  auto Fleet = TestFleet();
  auto First = Fleet.startService("vm-1", 73);
  auto Second = Fleet.startService("vm-2", 30);
  Fleet.m_Timers.runFor(5s);
  cr_assert_eq(First->shardCount(), 3);
  cr_assert_eq(Second->shardCount(), 3);
  const auto Left = Fleet.reserve(*First, 1000);
  const auto Right = Fleet.reserve(*Second, 1000);
  cr_assert_eq(Left->m_Outcome, ReservationOutcome::Granted);
  cr_assert_eq(Right->m_Outcome, ReservationOutcome::Granted);
  cr_expect_neq(Left->m_Source, "b", "budgets of a large fleet are sharded");
  cr_expect_neq(Right->m_Source, "b");
}

// A used-up home shard must not cause refusals while another shard covers the request, and all
// shards together must not grant more than the budget.
Test(grantservice, shardsTogetherGrantTheWholeBudgetAndNoMore) {
  auto Fleet = TestFleet();
  auto Service = Fleet.startService("vm", 27);
  Fleet.m_Timers.runFor(4s);
  auto Granted = Tokens{0};
  auto Last = std::optional<Reservation>();
  for (auto Number = 0; Number < 60; ++Number) {
    Last = Fleet.reserve(*Service, 20000);
    if (Last->m_Outcome == ReservationOutcome::Granted) {
      Granted += 20000;
      Service->settle(Last->m_Source, 20000, 20000);
    }
  }
  cr_expect_leq(Granted, 900000);
  cr_expect_geq(Granted, 800000);
  cr_expect_neq(Last->m_Outcome, ReservationOutcome::Granted);
}

Test(grantservice, requestsAreRefusedUntilRecordsAreRead) {
  auto Fleet = TestFleet();
  Fleet.m_Store.m_IsAway = true;
  auto Service = Fleet.startService("vm", 9);
  cr_assert_eq(Fleet.reserve(*Service, 100)->m_Outcome, ReservationOutcome::Unavailable);
  Fleet.m_Store.m_IsAway = false;
  Fleet.m_Timers.runFor(5s);
  cr_assert_eq(Fleet.reserve(*Service, 100)->m_Outcome, ReservationOutcome::Granted);
}

Test(grantservice, unreadableRecordsAreLoggedAndGrantNoTokens) {
  auto Fleet = TestFleet();
  Fleet.m_Store.put(std::string(LayoutKey), R"({"parts":1})");
  Fleet.m_Store.put(grantTotalsKey("b"), "garbage");
  auto Service = Fleet.startService("vm", 9);
  Fleet.m_Timers.runFor(5s);
  cr_expect_neq(Fleet.reserve(*Service, 100)->m_Outcome, ReservationOutcome::Granted);
  cr_expect(Fleet.m_Log.has("budget_record_unreadable"));
  cr_expect_leq(Fleet.m_Store.m_Writes, 60, "conflicts must delay the writes: %d",
                Fleet.m_Store.m_Writes);
}

// In a large fleet the owners of the shards serve the requests of all routers, so that most
// requests cost no write.
Test(grantservice, shardOwnersServeOtherRoutersWithFewWrites) {
  auto Fleet = TestFleet();
  auto Names = std::set<std::string>();
  for (auto Number = 0; Number < 20; ++Number) {
    Names.insert("vm-" + std::to_string(Number));
  }
  auto Services = std::vector<std::unique_ptr<GrantService>>();
  for (const auto &Name : Names) {
    Services.push_back(Fleet.startService(Name, 20, Names));
  }
  Fleet.m_Timers.runFor(5s);
  auto Granted = 0;
  const auto Before = Fleet.m_Store.m_Writes;
  for (auto Number = 0; Number < 200; ++Number) {
    auto &Service = *Services[static_cast<std::size_t>(Number) % Services.size()];
    Service.reserve("b", 2000, Fleet.m_Clock.steadyNow() + 400ms,
                    [&Granted, &Service](const Reservation &Answer) {
                      if (Answer.m_Outcome == ReservationOutcome::Granted) {
                        ++Granted;
                        Service.settle(Answer.m_Source, 2000, 2000);
                      }
                    });
    Fleet.m_Timers.runFor(50ms);
  }
  cr_expect_eq(Granted, 200);
  cr_expect_leq(Fleet.m_Store.m_Writes - Before, 60, "%d writes for 200 requests",
                Fleet.m_Store.m_Writes - Before);
}

// While the store is unreachable, a router serves requests from the grant of another one.
Test(grantservice, transferServesRequestsWhileTheStoreIsUnreachable) {
  auto Fleet = TestFleet();
  auto First = Fleet.startService("vm-1", 2, {"vm-1", "vm-2"});
  auto Second = Fleet.startService("vm-2", 2, {"vm-1", "vm-2"});
  Fleet.m_Timers.runFor(5s);
  cr_assert_eq(Fleet.reserve(*First, 100)->m_Outcome, ReservationOutcome::Granted);
  cr_assert_eq(Fleet.reserve(*Second, 100)->m_Outcome, ReservationOutcome::Granted);
  Fleet.m_Store.m_IsAway = true;
  First->setStoreReachable(false);
  Second->setStoreReachable(false);
  cr_assert_eq(Fleet.reserve(*First, 14000)->m_Outcome, ReservationOutcome::Granted);
  const auto Answer = Fleet.reserve(*First, 9000);
  cr_assert_eq(Answer->m_Outcome, ReservationOutcome::Granted, "vm-2 holds enough tokens");
  First->settle(Answer->m_Source, 9000, 9000);
  cr_expect_eq(Fleet.reserve(*First, 9000)->m_Outcome, ReservationOutcome::Unavailable,
               "all held tokens are used");
  cr_expect(Fleet.m_Log.has("budget_transfer_given"));
}

// If only some routers are disconnected from the store, the others draw tokens for them.
Test(grantservice, connectedRouterDrawsForDisconnectedRouter) {
  auto Fleet = TestFleet();
  auto First = Fleet.startService("vm-1", 2, {"vm-1", "vm-2"});
  auto Second = Fleet.startService("vm-2", 2, {"vm-1", "vm-2"});
  Fleet.m_Timers.runFor(5s);
  Fleet.reserve(*First, 100);
  Fleet.reserve(*Second, 100);
  First->setStoreReachable(false);
  auto Granted = 0;
  for (auto Number = 0; Number < 20; ++Number) {
    First->reserve("b", 14000, Fleet.m_Clock.steadyNow() + 400ms,
                   [&Granted](const Reservation &Answer) {
                     Granted += Answer.m_Outcome == ReservationOutcome::Granted ? 1 : 0;
                   });
  }
  Fleet.m_Timers.runFor(400ms);
  cr_expect_eq(Granted, 20, "%d of 20 requests are served", Granted);
}

// A lost answer must delay the requesting router for a limited time only. The tokens of a late
// answer are added once.
Test(grantservice, unansweredTransferRequestTimesOut) {
  auto Fleet = TestFleet();
  struct SilentLink final : ITransferLink {
    [[nodiscard]] auto offersOf(const std::string &) const -> std::vector<RouterOffer> override {
      return {{"vm-2", 100000}};
    }
    auto send(const std::string &, const TransferMessage &) -> void override { ++m_Sent; }
    int m_Sent = 0;
  } Silent;
  auto Exchange = TokenExchange("vm-1", 1, Silent, Fleet.m_Timers, Fleet.m_Clock, Fleet.m_Log);
  auto Late = Tokens{0};
  Exchange.setGrantCallbacks(nullptr,
                             [&Late](const std::string &, Tokens Amount) { Late += Amount; });
  auto Result = std::optional<Tokens>();
  Exchange.requestTokens({{"vm-2", "b"}}, "b", 500, Fleet.m_Clock.steadyNow() + 1s,
                         [&Result](Tokens Amount) { Result = Amount; });
  Fleet.m_Timers.runFor(100ms);
  cr_assert_eq(*Result, 0);
  cr_expect_eq(Silent.m_Sent, 2, "the request is repeated once");
  Exchange.onMessage(TransferAnswer{"vm-2", 1, 1, 500});
  Exchange.onMessage(TransferAnswer{"vm-2", 1, 1, 500});
  cr_expect_eq(Late, 500, "tokens of a late answer are added once");
  Exchange.onMessage(TransferAnswer{"vm-2", 2, 1, 500});
  cr_expect_eq(Late, 500, "an answer to another process is ignored");
}

// Guards against a message for each request where all callers of a workspace use one router: its
// answers then wait behind those messages on a VM with a slow link.
Test(grantservice, routerWithMuchDemandRequestsTokensAhead) {
  auto Fleet = TestFleet();
  const auto Names = std::set<std::string>{"vm-1", "vm-2"};
  auto First = Fleet.startService("vm-1", 73, Names);
  auto Second = Fleet.startService("vm-2", 73, Names);
  Fleet.m_Timers.runFor(5s);
  auto Owners = ShardOwners();
  Owners.setRouters(Names);
  auto &Busy = Owners.ownerOf(BudgetShards(3, "vm-1").homeShard("b")) == "vm-1" ? *Second : *First;
  const auto IsOwn = [&](const std::string &Name) {
    return Owners.ownerOf(BudgetShards(3, Name).homeShard("b")) == Name;
  };
  cr_assert(!IsOwn(&Busy == First.get() ? "vm-1" : "vm-2"), "choose names that own other shards");
  const auto Before = Fleet.m_MessageCount;
  auto Granted = 0;
  auto Waits = 0;
  for (auto Number = 0; Number < 600; ++Number) {
    auto Result = std::optional<Reservation>();
    Busy.reserve("b", 300, Fleet.m_Clock.steadyNow() + 400ms,
                 [&Result](const Reservation &Answer) { Result = Answer; });
    Waits += !Result;
    Fleet.m_Timers.runFor(20ms);
    if (Result && Result->m_Outcome == ReservationOutcome::Granted) {
      ++Granted;
      Busy.settle(Result->m_Source, 300, 300);
    }
  }
  cr_expect_eq(Granted, 600);
  cr_expect_leq(Waits, 60, "%d of 600 requests waited for a message", Waits);
  cr_expect_leq(Fleet.m_MessageCount - Before, 240, "%d messages for 600 requests",
                Fleet.m_MessageCount - Before);
}

// Guards against refusals in a cut from the store while the owner of another shard still holds
// tokens: in a fleet of 195 a budget has eight shards, and nothing tells whose owner has some.
Test(grantservice, ownersOfAllShardsAreAsked) {
  auto Fleet = TestFleet();
  struct RecordingLink final : ITransferLink {
    [[nodiscard]] auto offersOf(const std::string &) const -> std::vector<RouterOffer> override {
      return {};
    }
    auto send(const std::string &Router, const TransferMessage &Message) -> void override {
      m_Sent.emplace_back(Router, std::get<TransferRequest>(Message));
    }
    std::vector<std::pair<std::string, TransferRequest>> m_Sent;
  } Link;
  auto Exchange = TokenExchange("vm", 1, Link, Fleet.m_Timers, Fleet.m_Clock, Fleet.m_Log);
  Exchange.setGrantCallbacks(nullptr, nullptr);
  auto Candidates = std::vector<TokenExchange::Candidate>();
  for (auto Shard = 0; Shard < 8; ++Shard) {
    Candidates.push_back({"owner-" + std::to_string(Shard), "b/" + std::to_string(Shard)});
  }
  auto Result = std::optional<Tokens>();
  Exchange.requestTokens(Candidates, "b/0", 500, Fleet.m_Clock.steadyNow() + 400ms,
                         [&Result](Tokens Amount) { Result = Amount; });
  for (std::size_t Asked = 0; !Result && Asked < Link.m_Sent.size(); ++Asked) {
    const auto [Router, Request] = Link.m_Sent[Asked];
    Fleet.m_Timers.runFor(3ms);
    Exchange.onMessage(
        TransferAnswer{Router, 1, Request.m_Number, Router == "owner-7" ? Tokens{500} : Tokens{0}});
  }
  cr_assert(Result);
  cr_expect_eq(*Result, 500);
}

// Guards against writes that can only conflict: with a used-up budget, each router tried to draw on
// three shards for each request, and two writes in three conflicted.
Test(grantservice, usedUpBudgetCostsNoWritesOfOtherRouters) {
  auto Fleet = TestFleet();
  const auto Names = std::set<std::string>{"vm-1", "vm-2"};
  auto First = Fleet.startService("vm-1", 73, Names);
  auto Second = Fleet.startService("vm-2", 73, Names);
  Fleet.m_Timers.runFor(5s);
  auto Refused = 0;
  for (auto Number = 0; Number < 60; ++Number) {
    auto &Service = Number % 2 == 0 ? *First : *Second;
    const auto Answer = Fleet.reserve(Service, 20000);
    if (Answer->m_Outcome == ReservationOutcome::Granted) {
      Service.settle(Answer->m_Source, 20000, 20000);
    } else {
      ++Refused;
    }
  }
  cr_assert_geq(Refused, 10, "the budget is used up");
  Fleet.m_Timers.runFor(20s);
  const auto Before = Fleet.m_Store.m_Writes;
  auto Exhausted = 0;
  for (auto Number = 0; Number < 100; ++Number) {
    auto Result = std::optional<Reservation>();
    Second->reserve("b", 100000, Fleet.m_Clock.steadyNow() + 400ms,
                    [&Result](const Reservation &Answer) { Result = Answer; });
    Fleet.m_Timers.runFor(20ms);
    cr_assert(Result && Result->m_Outcome != ReservationOutcome::Granted,
              "what cannot be served is refused at once");
    Exhausted += Result->m_Outcome == ReservationOutcome::Exhausted;
  }
  cr_expect_geq(Exhausted, 80, "the records prove it: %d of 100", Exhausted);
  cr_expect_leq(Fleet.m_Store.m_Writes - Before, 8, "%d writes", Fleet.m_Store.m_Writes - Before);
}

// Guards against refusals in a cut in which every router is alone: tokens then lie where they were
// before, and the owner of a shard cannot pass them on.
Test(grantservice, routersHoldTokensForTheirDemandBeforeACut) {
  auto Fleet = TestFleet();
  auto Names = std::set<std::string>();
  for (auto Number = 0; Number < 20; ++Number) {
    Names.insert("vm-" + std::to_string(Number));
  }
  auto Services = std::vector<std::unique_ptr<GrantService>>();
  for (const auto &Name : Names) {
    Services.push_back(Fleet.startService(Name, 20, Names));
  }
  Fleet.m_Timers.runFor(5s);
  const auto Play = [&](int Requests) {
    auto Granted = 0;
    for (auto Number = 0; Number < Requests; ++Number) {
      auto &Service = *Services[static_cast<std::size_t>(Number) % Services.size()];
      Service.reserve("b", 2000, Fleet.m_Clock.steadyNow() + 400ms,
                      [&Granted, &Service](const Reservation &Answer) {
                        if (Answer.m_Outcome == ReservationOutcome::Granted) {
                          ++Granted;
                          Service.settle(Answer.m_Source, 2000, 1500);
                        }
                      });
      Fleet.m_Timers.runFor(100ms);
    }
    return Granted;
  };
  cr_expect_eq(Play(80), 80);
  Fleet.m_Store.m_IsAway = true;
  Fleet.m_Services.clear();
  for (auto &Service : Services) {
    Service->setStoreReachable(false);
  }
  const auto Granted = Play(80);
  cr_expect_geq(Granted, 60, "%d of 80 requests are served in a cut of 8 s", Granted);
}

// Guards against a budget of which most of the rest dies with the routers (RECOVER).
Test(grantservice, killOfAllRoutersLeavesMostOfTheRestOfABudget) {
  auto Fleet = TestFleet();
  auto Names = std::set<std::string>();
  for (auto Number = 0; Number < 74; ++Number) {
    Names.insert("vm-" + std::to_string(Number));
  }
  auto Services = std::vector<std::unique_ptr<GrantService>>();
  for (const auto &Name : Names) {
    Services.push_back(Fleet.startService(Name, 74, Names));
  }
  Fleet.m_Timers.runFor(5s);
  auto Used = Tokens{0};
  for (auto Second = 0; Second < 40; ++Second) {
    for (auto Number = 0; Number < 10; ++Number) {
      // Demand goes round, so that each router holds tokens for requests that come seldom.
      auto &Service = *Services[static_cast<std::size_t>(Second * 7 + Number * 3) % 74];
      Service.reserve("b", 2000, Fleet.m_Clock.steadyNow() + 400ms,
                      [&Used, &Service](const Reservation &Answer) {
                        if (Answer.m_Outcome == ReservationOutcome::Granted) {
                          Used += 1800;
                          Service.settle(Answer.m_Source, 2000, 1800);
                        }
                      });
      Fleet.m_Timers.runFor(100ms);
    }
    for (auto &Item : Services) {
      Item->setFleet(74, Names);
    }
    if (Second < 10) {
      continue;
    }
    auto Granted = Tokens{0};
    for (const auto &[Key, Item] : Fleet.m_Store.m_Keys) {
      if (Key.starts_with(grantTotalsKey(""))) {
        Granted += internal::decodeTotals(Item.m_Value)->m_Granted;
      }
    }
    const auto Left = 900000 - Used;
    cr_expect_leq(Granted - Used, Left / 2, "%d s: %ld of %ld tokens would be lost", Second,
                  static_cast<long>(Granted - Used), static_cast<long>(Left));
  }
  cr_expect_geq(Used, 600000, "%ld", static_cast<long>(Used));
}

// Guards against tokens that are lost when a router stops as planned.
Test(grantservice, stoppingRouterReturnsReceivedTokens) {
  auto Fleet = TestFleet();
  const auto Names = std::set<std::string>{"vm-1", "vm-2"};
  auto First = Fleet.startService("vm-1", 73, Names);
  auto Second = Fleet.startService("vm-2", 73, Names);
  Fleet.m_Timers.runFor(5s);
  auto Owners = ShardOwners();
  Owners.setRouters(Names);
  const auto IsFirst = Owners.ownerOf(BudgetShards(3, "vm-1").homeShard("b")) != "vm-1";
  auto &Member = IsFirst ? *First : *Second;
  for (auto Number = 0; Number < 20; ++Number) {
    const auto Answer = Fleet.reserve(Member, 2000);
    cr_assert_eq(Answer->m_Outcome, ReservationOutcome::Granted);
    Member.settle(Answer->m_Source, 2000, 2000);
  }
  Member.drain();
  Fleet.m_Timers.runFor(2s);
  cr_expect(Member.isDrained());
  cr_expect(Fleet.m_Log.has("budget_transfer_returned"));
}

// Guards against tokens that arrive after a stop began, are kept, and so count as used.
Test(grantservice, stoppingRouterReturnsTokensThatArriveAfterwards) {
  auto Fleet = TestFleet();
  const auto Names = std::set<std::string>{"vm-1", "vm-2"};
  auto First = Fleet.startService("vm-1", 73, Names);
  auto Second = Fleet.startService("vm-2", 73, Names);
  Fleet.m_Timers.runFor(5s);
  auto Owners = ShardOwners();
  Owners.setRouters(Names);
  const auto IsFirst = Owners.ownerOf(BudgetShards(3, "vm-1").homeShard("b")) != "vm-1";
  auto &Member = IsFirst ? *First : *Second;
  for (auto Number = 0; Number < 3; ++Number) {
    Member.reserve("b", 2000, Fleet.m_Clock.steadyNow() + 400ms, [](const Reservation &) {});
  }
  cr_expect_not(Fleet.m_Log.has("budget_transfer_received"));
  Member.drain();
  cr_expect_not(Fleet.m_Log.has("budget_transfer_returned"));
  Fleet.m_Timers.runFor(2s);
  cr_expect(Fleet.m_Log.has("budget_transfer_returned"));
}

// Guards against tokens that are spent twice because a message that passes them on or returns them
// is delivered twice, and against a budget that lost messages use up for the most part.
Test(grantservice, doubledAndLostMessagesDoNotMultiplyTokens) {
  auto Fleet = TestFleet();
  auto Names = std::set<std::string>();
  for (auto Number = 0; Number < 6; ++Number) {
    Names.insert("vm-" + std::to_string(Number));
  }
  auto Services = std::vector<std::unique_ptr<GrantService>>();
  for (const auto &Name : Names) {
    Services.push_back(Fleet.startService(Name, 73, Names));
  }
  Fleet.m_Timers.runFor(5s);
  Fleet.m_IsNetworkFaulty = true;
  auto Used = Tokens{0};
  for (auto Round = 0; Round < 60; ++Round) {
    // Demand moves from router to router, so that each gets tokens ahead and returns them.
    auto &Service = *Services[static_cast<std::size_t>(Round / 5) % Services.size()];
    for (auto Number = 0; Number < 10; ++Number) {
      Service.reserve("b", 2000, Fleet.m_Clock.steadyNow() + 400ms,
                      [&Used, &Service](const Reservation &Answer) {
                        if (Answer.m_Outcome == ReservationOutcome::Granted) {
                          Used += 1800;
                          Service.settle(Answer.m_Source, 2000, 1800);
                        }
                      });
      Fleet.m_Timers.runFor(100ms);
    }
    for (auto &Item : Services) {
      Item->setFleet(73, Names);
    }
  }
  cr_expect(Fleet.m_Log.has("budget_transfer_returned"));
  cr_expect_leq(Used, 900000, "%ld", static_cast<long>(Used));
  cr_expect_geq(Used, 450000, "%ld", static_cast<long>(Used));
}

Test(grantservice, transferMessagesRoundTripAndInvalidBytesAreRejected) {
  const auto Request = TransferMessage(TransferRequest{"vm", 1, 2, "b/1", 300});
  const auto Answer = TransferMessage(TransferAnswer{"vm", 1, 2, 300, true, 70});
  const auto Allowing = TransferMessage(TransferAnswer{"vm", 1, 2, 0, false, 0, Tokens{90}});
  const auto Report = TransferMessage(TransferRequest{"vm", 1, 2, "b/1", 0, true, true, 4, 5, 6});
  cr_assert(*decodeTransfer(encodeTransfer(Request)) == Request);
  cr_assert(*decodeTransfer(encodeTransfer(Allowing)) == Allowing);
  cr_assert(*decodeTransfer(encodeTransfer(Report)) == Report);
  const auto Ahead = TransferMessage(TransferRequest{"vm", 1, 2, "b/1", 300, true, true, 4, 5, 6});
  const auto Return = TransferMessage(TransferReturn{"vm", 1, 2, "b/1", 300});
  cr_assert(*decodeTransfer(encodeTransfer(Answer)) == Answer);
  cr_assert(*decodeTransfer(encodeTransfer(Ahead)) == Ahead);
  cr_assert(*decodeTransfer(encodeTransfer(Return)) == Return);
  const auto Bytes = encodeTransfer(Request);
  for (auto Size = std::size_t{0}; Size < Bytes.size(); ++Size) {
    cr_assert_not(decodeTransfer(Bytes.substr(0, Size)).ok());
  }
  cr_expect_not(decodeTransfer(std::string(60, '\xff')).ok());
  cr_expect_not(decodeTransfer(encodeTransfer(TransferRequest{"vm", 1, 2, "b", -5})).ok());
  cr_expect_not(decodeTransfer(encodeTransfer(TransferRequest{"vm", 1, 2, "b", 0})).ok());
  cr_expect_not(
      decodeTransfer(encodeTransfer(TransferAnswer{"vm", 1, 2, 0, false, 0, Tokens{-1}})).ok());
}
