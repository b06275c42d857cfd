#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"
#include "keyvalue/storefollower.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::keyvalue;
using namespace std::chrono_literals;

namespace {

struct FollowerFixture : IStoreListener {
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;
  StoreFollower m_Follower{"", StoreFollowerOptions(), m_Store, m_Timers, m_Clock, m_Log, *this};
  std::vector<std::string> m_Values;
  int m_ListCalls = 0;
  base::SteadyTime m_ConfirmedAt;

  auto onList(std::string_view /*Prefix*/, const ListResult &Result, base::SteadyTime ConfirmedAt)
      -> void override {
    m_ConfirmedAt = ConfirmedAt;
    ++m_ListCalls;
    for (const auto &Item : Result.m_Items) {
      m_Values.push_back(Item.m_Value);
    }
  }
  auto onChanges(std::string_view /*Prefix*/, const WatchResult &Result,
                 base::SteadyTime ConfirmedAt) -> void override {
    m_ConfirmedAt = ConfirmedAt;
    for (const auto &Event : Result.m_Events) {
      m_Values.push_back(Event.m_Item.m_Value);
    }
  }
};

} // namespace

Test(storefollower, changesAreReportedOnceAndInTime) {
  auto Fixture = FollowerFixture();
  Fixture.m_Store.put("a", "1");
  Fixture.m_Follower.start();
  Fixture.m_Timers.runFor(1s);
  Fixture.m_Store.put("a", "2");
  Fixture.m_Timers.runFor(450ms);
  cr_assert_eq(Fixture.m_Values.size(), 2U);
  cr_assert_eq(Fixture.m_Values.back(), "2");
}

// Guards against a call to the store at every write: targets rewrite their entries all the time, so
// a watch that is renewed immediately would return each time.
Test(storefollower, watchesKeepTheMinimumInterval) {
  auto Fixture = FollowerFixture();
  Fixture.m_Follower.start();
  for (auto Step = 0; Step < 1000; ++Step) {
    Fixture.m_Store.put("a", std::to_string(Step));
    Fixture.m_Timers.runFor(10ms);
  }
  cr_assert_leq(Fixture.m_Store.m_Watches, 26, "%d watches in 10 s", Fixture.m_Store.m_Watches);
  cr_assert_geq(Fixture.m_Store.m_Watches, 20);
}

Test(storefollower, changesDuringAnOutageAreReportedAfterwards) {
  auto Fixture = FollowerFixture();
  Fixture.m_Follower.start();
  Fixture.m_Timers.runFor(1s);
  Fixture.m_Store.m_IsAway = true;
  Fixture.m_Timers.runFor(5s);
  cr_assert_leq(Fixture.m_Store.m_Watches, 25, "the retry delay must grow");
  Fixture.m_Store.put("a", "new");
  Fixture.m_Store.m_IsAway = false;
  Fixture.m_Timers.runFor(1s);
  cr_assert_eq(Fixture.m_Values.back(), "new");
  cr_assert(Fixture.m_Log.has("store_follow_failed"));
}

Test(storefollower, listsAgainWhenTheStoreHasDroppedTheHistory) {
  auto Fixture = FollowerFixture();
  Fixture.m_Follower.start();
  Fixture.m_Timers.runFor(1s);
  Fixture.m_Store.put("a", "missed");
  Fixture.m_Store.m_HistoryGone = true;
  Fixture.m_Timers.runFor(1s);
  cr_assert_eq(Fixture.m_ListCalls, 2);
  cr_assert_eq(Fixture.m_Values.back(), "missed");
}

Test(storefollower, stoppedFollowerMakesNoCalls) {
  auto Fixture = FollowerFixture();
  Fixture.m_Follower.start();
  Fixture.m_Timers.runFor(1s);
  Fixture.m_Follower.stop();
  const auto Before = Fixture.m_Store.m_Watches;
  Fixture.m_Store.put("a", "late");
  Fixture.m_Timers.runFor(5s);
  cr_assert_eq(Fixture.m_Store.m_Watches, Before);
  cr_assert(Fixture.m_Values.empty());
}

// Guards against missed changes when the response of a watch is lost with the connection to the
// store: a new watch must report them.
Test(storefollower, watchAfterAnOutageReportsMissedChanges) {
  auto Fixture = FollowerFixture();
  Fixture.m_Store.put("a", "1");
  Fixture.m_Follower.start();
  Fixture.m_Store.m_LosesWatches = true;
  Fixture.m_Timers.runFor(2s);
  Fixture.m_Store.m_LosesWatches = false;
  Fixture.m_Store.put("a", "2");
  Fixture.m_Timers.runFor(5s);
  cr_assert_eq(Fixture.m_Values.size(), 1U, "the lost watch must still be pending");
  Fixture.m_Follower.suspend();
  Fixture.m_Follower.resume();
  Fixture.m_Timers.runFor(100ms);
  cr_assert_eq(Fixture.m_Values.size(), 2U);
  cr_expect_eq(Fixture.m_Values.back(), "2");
}

// Guards against calls to a store that is known to be unreachable: each is priced, and those of all
// routers together delay its recovery.
Test(storefollower, suspendedFollowerMakesNoCalls) {
  auto Fixture = FollowerFixture();
  Fixture.m_Follower.start();
  Fixture.m_Timers.runFor(1s);
  Fixture.m_Store.m_IsAway = true;
  Fixture.m_Follower.suspend();
  const auto Before = Fixture.m_Store.m_Watches + Fixture.m_Store.m_Lists;
  Fixture.m_Store.put("a", "new");
  Fixture.m_Timers.runFor(10s);
  cr_assert_leq(Fixture.m_Store.m_Watches + Fixture.m_Store.m_Lists, Before + 1);
  Fixture.m_Store.m_IsAway = false;
  Fixture.m_Follower.resume();
  Fixture.m_Timers.runFor(10ms);
  cr_assert_eq(Fixture.m_Values.size(), 1U);
  cr_assert_eq(Fixture.m_Values.back(), "new");
  Fixture.m_Follower.resume();
  Fixture.m_Timers.runFor(10s);
  cr_assert_leq(Fixture.m_Store.m_Watches, 32, "resuming twice must not double the calls");
}

Test(storefollower, followerThatStartsInAnOutageListsAfterIt) {
  auto Fixture = FollowerFixture();
  Fixture.m_Store.put("a", "1");
  Fixture.m_Store.m_IsAway = true;
  Fixture.m_Follower.start();
  Fixture.m_Follower.suspend();
  Fixture.m_Timers.runFor(5s);
  cr_assert_eq(Fixture.m_Store.m_Lists, 1);
  Fixture.m_Store.m_IsAway = false;
  Fixture.m_Follower.resume();
  Fixture.m_Timers.runFor(10ms);
  cr_assert_eq(Fixture.m_ListCalls, 1);
  cr_assert_eq(Fixture.m_Values.size(), 1U);
}

Test(storefollower, knownRevisionNeedsNoList) {
  auto Fixture = FollowerFixture();
  Fixture.m_Store.put("a", "known");
  const auto Known = Fixture.m_Store.m_Revision;
  Fixture.m_Store.put("b", "new");
  Fixture.m_Follower.startAfter(Known);
  Fixture.m_Timers.runFor(100ms);
  cr_assert_eq(Fixture.m_ListCalls, 0);
  cr_assert_eq(Fixture.m_Values.size(), 1U);
  cr_assert_eq(Fixture.m_Values.back(), "new");
}

// Guards against a process that was frozen and takes a response that waited for it for news.
Test(storefollower, confirmationIsAsOldAsTheStoresResponse) {
  auto Fixture = FollowerFixture();
  Fixture.m_Store.put("a", "1");
  const auto Started = Fixture.m_Clock.steadyNow();
  Fixture.m_Follower.start();
  Fixture.m_Clock.advance(5s);
  Fixture.m_Timers.runFor(0s);
  cr_assert_eq(Fixture.m_ListCalls, 1);
  cr_assert_eq(Fixture.m_ConfirmedAt, Started);
  const auto Watched = Fixture.m_Clock.steadyNow();
  Fixture.m_Clock.advance(5s);
  Fixture.m_Timers.runFor(0s);
  cr_assert_eq(Fixture.m_ConfirmedAt, Watched + 1s, "a watch without changes ends after its wait");
}

// Guards against a relay whose last watch is still waiting for longer than its readers rely on it.
Test(storefollower, shorterWaitReplacesTheWatch) {
  auto Fixture = FollowerFixture();
  Fixture.m_Follower.start();
  Fixture.m_Store.m_LosesWatches = true;
  Fixture.m_Timers.runFor(1s);
  const auto Before = Fixture.m_Store.m_Watches;
  Fixture.m_Follower.setPace(300ms, 300ms);
  Fixture.m_Follower.setPace(300ms, 300ms);
  cr_assert_eq(Fixture.m_Store.m_Watches, Before + 1);
}
