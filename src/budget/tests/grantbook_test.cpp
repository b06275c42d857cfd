#include "budget/budgetparts.h"
#include "budget/internal/grantcodec.h"
#include "budget/tests/grantworld.h"

#include <criterion/criterion.h>

using namespace geraniumlift::budget;
using namespace geraniumlift::budget::tests;
using namespace std::chrono_literals;
using geraniumlift::base::SteadyTime;

namespace {

constexpr auto Start = SteadyTime(1h);
constexpr auto Seeds = std::uint64_t{60};
constexpr auto Steps = 3000;

/// Plays 30 s with many seeds. What was used may never pass what is prepaid. Returns the share of
/// requests that were served.
auto play(const GrantFaults &Faults, Tokens Prepaid, double RequestsPerStep) -> double {
  auto Granted = 0;
  auto Refused = 0;
  for (auto Seed = std::uint64_t{1}; Seed <= Seeds; ++Seed) {
    auto World = GrantWorld(5, Prepaid, Faults, Seed);
    for (auto Step = 0; Step < Steps; ++Step) {
      World.step(RequestsPerStep);
      cr_assert_leq(World.used(), World.highestPrepaid(), "seed %lu step %d", Seed, Step);
    }
    Granted += World.granted();
    Refused += World.refused();
  }
  return static_cast<double>(Granted) / std::max(1, Granted + Refused);
}

/// The share of requests that nine routers serve while all are cut off from the store for 8 s.
auto servedThroughCut(bool PassesTokens) -> double {
  auto Granted = 0;
  auto Refused = 0;
  for (auto Seed = std::uint64_t{1}; Seed <= Seeds; ++Seed) {
    auto World = GrantWorld(9, 8000000, {.m_PassesTokens = PassesTokens}, Seed);
    for (auto Step = 0; Step < 600; ++Step) {
      World.step(0.03);
    }
    const auto Before = std::pair(World.granted(), World.refused());
    World.cutAll(true);
    for (auto Step = 0; Step < 800; ++Step) {
      World.step(0.03);
    }
    Granted += World.granted() - Before.first;
    Refused += World.refused() - Before.second;
  }
  return static_cast<double>(Granted) / (Granted + Refused);
}

/// A book that has read an empty store.
auto readyBook(Tokens Prepaid) -> GrantBook {
  auto Book = GrantBook(GrantOptions{.m_Incarnation = 5});
  Book.setPrepaid({{"b", Prepaid}}, Start);
  Book.onCallIssued();
  Book.onRead({}, {}, Start);
  return Book;
}

} // namespace

Test(grantbook, nothingIsRefusedWhileThereIsPlenty) {
  cr_assert_geq(play({}, 100000000, 0.05), 0.999);
}

Test(grantbook, lostAndLateWritesDoNotOverspend) {
  cr_assert_geq(play({.m_LostAnswer = 0.3, .m_LateWrite = 0.3, .m_Refused = 0.1}, 3000000, 0.05),
                0.1);
}

Test(grantbook, killsAndCutsDoNotOverspend) {
  play({.m_LostAnswer = 0.1, .m_LateWrite = 0.1, .m_Kill = 0.002, .m_Cut = 0.002}, 3000000, 0.05);
}

Test(grantbook, scarceBudgetIsNotOverspent) {
  play({.m_LostAnswer = 0.1, .m_LateWrite = 0.1, .m_Kill = 0.001, .m_Cut = 0.001}, 200000, 0.1);
}

// A lowered budget takes back what was granted and not used. Used before that counts against the
// highest amount.
Test(grantbook, changesOfThePrepaidAmountDoNotOverspend) {
  play({.m_LostAnswer = 0.1, .m_LateWrite = 0.1, .m_Cut = 0.001, .m_ChangesPrepaid = true}, 1500000,
       0.05);
}

// Messages between routers are lost, doubled and late; a killed giver or asker loses what it had.
Test(grantbook, tokensPassedBetweenRoutersAreNotSpentTwice) {
  play({.m_LostAnswer = 0.1,
        .m_LateWrite = 0.1,
        .m_Kill = 0.001,
        .m_Cut = 0.001,
        .m_LostMessage = 0.2,
        .m_PassesTokens = true},
       600000, 0.1);
}

// Routers that are cut off from the store together pool what they hold.
Test(grantbook, passedTokensServeMoreOfACut) {
  const auto Without = servedThroughCut(false);
  const auto With = servedThroughCut(true);
  cr_expect_geq(With, 0.95, "%.3f of the requests are served, %.3f without", With, Without);
  cr_expect_gt(With, Without);
}

Test(grantbook, mostRequestsAreServedThroughACut) {
  // The users' platform cuts all routers off for about eight seconds twice a day.
  cr_assert_geq(servedThroughCut(false), 0.8);
}

// A kill of all processes strands what they hold; that must not be most of the budget.
Test(grantbook, killOfAllProcessesLeavesMostOfTheBudget) {
  for (auto Seed = std::uint64_t{1}; Seed <= Seeds; ++Seed) {
    auto World = GrantWorld(9, 4000000, {}, Seed);
    for (auto Step = 0; Step < 500; ++Step) {
      World.step(0.03);
    }
    World.killAll();
    for (auto Step = 0; Step < 100; ++Step) {
      World.step(0.0);
    }
    const auto Left = World.highestPrepaid() - World.used();
    const auto Free = World.highestPrepaid() - World.pool().m_Granted;
    cr_assert_geq(Free, Left / 3, "seed %lu: %ld free of %ld", Seed, Free, Left);
  }
}

Test(grantbook, drainReturnsEverything) {
  auto World = GrantWorld(3, 1000000, {}, 1);
  for (auto Step = 0; Step < 300; ++Step) {
    World.step(0.05);
  }
  World.drainAll();
  for (auto Step = 0; Step < 400; ++Step) {
    World.step(0.0);
  }
  cr_assert_eq(World.pool().m_Granted, World.used());
}

Test(grantbook, requestIsExhaustedOnlyIfTheRecordShowsIt) {
  auto Book = readyBook(1000);
  auto Answers = std::vector<ReservationOutcome>();
  const auto Ask = [&Book, &Answers](Tokens WorstCase) {
    Book.reserve("b", WorstCase, Start + 1s, Start,
                 [&Answers](ReservationOutcome Answer) { Answers.push_back(Answer); });
  };
  Ask(1001);
  cr_assert_eq(Answers.size(), 1U);
  cr_assert_eq(Answers[0], ReservationOutcome::Exhausted);
  Book.notePool("b", {{900, 0}, 3});
  Ask(500);
  cr_assert_eq(Answers.size(), 2U);
  cr_assert_eq(Answers[1], ReservationOutcome::Unavailable,
               "another router may return what it holds");
}

Test(grantbook, withoutTheStoreARequestIsRefusedAtOnce) {
  auto Book = readyBook(1000000);
  Book.setStoreReachable(false);
  auto Answer = std::optional<ReservationOutcome>();
  Book.reserve("b", 100, Start + 1s, Start, [&Answer](ReservationOutcome Got) { Answer = Got; });
  cr_assert_eq(*Answer, ReservationOutcome::Unavailable);
}

// Another process has the name of this router: it must not go on spending beside it.
Test(grantbook, newerIncarnationClosesTheBook) {
  auto Book = readyBook(1000000);
  static_cast<void>(Book.composeWrite(Start));
  Book.onLanded(7, Start);
  cr_assert_gt(Book.spendable("b"), 0);
  static_cast<void>(Book.composeWrite(Start));
  Book.onConflict({{.m_Incarnation = 99}, 8}, {}, Start);
  cr_assert_eq(Book.spendable("b"), 0);
  cr_assert_eq(Book.nextCall(Start + 10s), GrantCall::None);
}

Test(grantbook, manyConflictsSlowTheWritesDown) {
  auto Book = readyBook(1000000);
  for (auto Round = 0; Round < 8; ++Round) {
    static_cast<void>(Book.composeWrite(Start));
    Book.onConflict({}, {}, Start);
  }
  cr_assert_eq(Book.nextCall(Start), GrantCall::None);
  cr_assert_eq(Book.nextCall(Start + 1s), GrantCall::Write);
}

// A budget in parts is never larger than the whole, whatever its amount.
Test(budgetparts, partsAddUpToTheBudget) {
  for (const auto Amount : {0L, 1L, 7L, 1000003L}) {
    for (const auto Count : {1L, 3L, 8L}) {
      auto Sum = Tokens{0};
      for (const auto &[Name, Part] : BudgetParts(Count, "vm").split({{"b", Amount}})) {
        Sum += Part;
      }
      cr_expect_eq(Sum, Amount);
    }
  }
}

Test(budgetparts, everyRouterHasOneHomeAndKnowsAllParts) {
  auto Homes = std::set<std::string>();
  for (auto Number = 0; Number < 73; ++Number) {
    const auto Parts = BudgetParts(8, "vm-" + std::to_string(Number));
    Homes.insert(Parts.homeOf("b"));
    cr_assert_eq(Parts.namesOf("b").size(), 8U);
    cr_assert_eq(Parts.namesOf("b").front(), Parts.homeOf("b"));
  }
  cr_expect_eq(Homes.size(), 8U);
  cr_expect_eq(BudgetParts(1, "vm").homeOf("b"), "b");
  cr_expect_eq(BudgetParts::countFor(9), 1);
  cr_expect_eq(BudgetParts::countFor(BudgetParts::LargestSmallFleet), 1);
  cr_expect_eq(BudgetParts::countFor(73), 3);
}

Test(budgetparts, aLeavingRouterMovesOnlyWhatItKept) {
  auto Alive = std::set<std::string>();
  for (auto Number = 0; Number < 73; ++Number) {
    Alive.insert("vm-" + std::to_string(Number));
  }
  auto Keepers = std::map<std::string, std::string>();
  auto PartsOfRouter = std::map<std::string, int>();
  for (auto Number = 0; Number < 300; ++Number) {
    const auto Part = "b" + std::to_string(Number) + "/0";
    Keepers[Part] = BudgetParts::keeperOf(Part, Alive);
    ++PartsOfRouter[Keepers[Part]];
  }
  for (const auto &[Router, Count] : PartsOfRouter) {
    cr_expect_leq(Count, 15, "%s keeps %d of 300 parts", Router.c_str(), Count);
  }
  Alive.erase("vm-7");
  for (const auto &[Part, Keeper] : Keepers) {
    const auto Next = BudgetParts::keeperOf(Part, Alive);
    cr_expect(Next == Keeper || Keeper == "vm-7");
    cr_expect_neq(Next, "vm-7");
  }
}

// Callers come back after a refusal; a reserve for all their attempts would hold more than is used,
// and a kill of the process would strand it.
Test(grantbook, refusedRequestsAreNotDemand) {
  const auto Drawn = [](int Refused) {
    auto Book = readyBook(10000000);
    Book.setStoreReachable(false);
    for (auto Number = 0; Number < Refused; ++Number) {
      Book.reserve("b", 9000, Start + 1s, Start, [](ReservationOutcome) {});
    }
    Book.setStoreReachable(true);
    return Book.composeWrite(Start + 5s).m_Pools.at("b").m_Value.m_Granted;
  };
  cr_expect_eq(Drawn(50), Drawn(0));
}

// A stopping router has little time, so that a return that met another write is repeated at once.
Test(grantbook, returnsOfAStoppingRouterDoNotWait) {
  auto Book = readyBook(10000000);
  static_cast<void>(Book.composeWrite(Start + 5s));
  Book.onLanded(4, Start + 5s);
  Book.drain(Start + 5s);
  static_cast<void>(Book.composeWrite(Start + 5s));
  Book.onConflict({}, {{"b", {{15000, 0}, 5}}}, Start + 5s);
  cr_assert(Book.nextWake(Start + 5s).has_value());
  cr_expect_leq(*Book.nextWake(Start + 5s), Start + 5s + 20ms);
}

// A configuration may drop a budget and bring it back while a request with passed tokens runs.
Test(grantbook, droppedBudgetKeepsItsReservations) {
  auto Book = readyBook(1000000);
  Book.receive("b", 2000);
  cr_assert(Book.reserveNow("b", 2000, Start));
  Book.setPrepaid({}, Start);
  Book.settle("b", 2000, 700, Start);
  Book.setPrepaid({{"b", 1000000}}, Start);
  cr_expect_eq(Book.spendable("b"), 1300, "what the request did not use is left");
}

Test(grantbook, unknownBudgetHasNoTokens) {
  auto Book = readyBook(1000000);
  cr_expect_not(Book.reserveNow("other", 0, Start));
  cr_expect_not(Book.withdraw("other", 0));
}

// Tokens that came from another router are used first and are never returned to the store, where
// they count as used.
Test(grantbook, receivedTokensAreNotReturned) {
  auto Book = readyBook(1000000);
  cr_assert_eq(Book.nextCall(Start + 5s), GrantCall::Write);
  static_cast<void>(Book.composeWrite(Start + 5s));
  Book.onLanded(4, Start + 5s);
  const auto Own = Book.spendable("b");
  Book.receive("b", 2000);
  cr_assert_eq(Book.spendable("b"), Own + 2000);
  cr_assert(Book.reserveNow("b", 1500, Start + 5s));
  Book.settle("b", 1500, 700, Start + 5s);
  cr_assert_eq(Book.spendable("b"), Own + 1300);
  Book.drain(Start + 5s);
  const auto Write = Book.composeWrite(Start + 5s);
  cr_expect_eq(Write.m_Pools.at("b").m_Value.m_Granted, 0, "only the own grant goes back");
  cr_expect_eq(Write.m_Pools.at("b").m_Value.m_Settled, 0, "the giver tells what was used");
  Book.onLanded(5, Start + 5s);
  cr_expect(Book.isDrained());
}

Test(grantbook, withoutReserveNothingIsHeldForACut) {
  auto Book = readyBook(1000000);
  Book.setWithoutReserve({"b"});
  cr_assert_eq(Book.nextCall(Start + 5s), GrantCall::None);
  auto Answer = std::optional<ReservationOutcome>();
  Book.reserve("b", 100, Start + 9s, Start, [&Answer](ReservationOutcome Got) { Answer = Got; });
  cr_assert_eq(Book.nextCall(Start), GrantCall::Write);
  static_cast<void>(Book.composeWrite(Start));
  Book.onLanded(4, Start);
  cr_assert_eq(*Answer, ReservationOutcome::Granted);
}

Test(grantcodec, recordsSurviveAndGarbageIsRefused) {
  const auto Holder = HolderRecord{7, 3, {{"b", 100}, {"c", 5}}, {{"b", 40}}};
  cr_assert(*internal::decodeHolder(internal::encodeHolder(Holder)) == Holder);
  const auto Pool = GrantPool{500, 20};
  cr_assert(*internal::decodePool(internal::encodePool(Pool)) == Pool);
  for (const auto *Text : {"", "{}", "[]", "{\"granted\":-1,\"settled\":0}", "\xff"}) {
    cr_expect_not(internal::decodePool(Text).ok());
    cr_expect_not(internal::decodeHolder(Text).ok());
  }
}

// A record of another writer must not use up the stack.
Test(grantcodec, deepNestingIsRefused) {
  cr_expect_not(internal::decodePool(std::string(std::size_t{4} << 20U, '[')).ok());
}
