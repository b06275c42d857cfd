#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"
#include "keyvalue/storefollower.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::keyvalue;
using namespace std::chrono_literals;

namespace {

struct World : IStoreListener {
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;
  StoreFollower m_Follower{"", StoreFollowerOptions(), m_Store, m_Timers, m_Clock, m_Log, *this};
  std::vector<std::string> m_Seen;
  int m_Lists = 0;

  auto onList(std::string_view /*Prefix*/, const ListResult &Result) -> void override {
    ++m_Lists;
    for (const auto &Item : Result.m_Items) {
      m_Seen.push_back(Item.m_Value);
    }
  }
  auto onChanges(const WatchResult &Result) -> void override {
    for (const auto &Event : Result.m_Events) {
      m_Seen.push_back(Event.m_Item.m_Value);
    }
  }
};

} // namespace

Test(storefollower, changesArriveOnceAndInTime) {
  auto Play = World();
  Play.m_Store.put("a", "1");
  Play.m_Follower.start();
  Play.m_Timers.runFor(1s);
  Play.m_Store.put("a", "2");
  Play.m_Timers.runFor(450ms);
  cr_assert_eq(Play.m_Seen.size(), 2U);
  cr_assert_eq(Play.m_Seen.back(), "2");
}

// Targets rewrite their entries all the time; an eager watch would call the store at every write.
Test(storefollower, watchesArePaced) {
  auto Play = World();
  Play.m_Follower.start();
  for (auto Step = 0; Step < 1000; ++Step) {
    Play.m_Store.put("a", std::to_string(Step));
    Play.m_Timers.runFor(10ms);
  }
  cr_assert_leq(Play.m_Store.m_Watches, 26, "%d watches in 10 s", Play.m_Store.m_Watches);
  cr_assert_geq(Play.m_Store.m_Watches, 20);
}

Test(storefollower, changesOfAnOutageAreFoundAfterwards) {
  auto Play = World();
  Play.m_Follower.start();
  Play.m_Timers.runFor(1s);
  Play.m_Store.m_IsAway = true;
  Play.m_Timers.runFor(5s);
  cr_assert_leq(Play.m_Store.m_Watches, 25, "the pause grows");
  Play.m_Store.put("a", "new");
  Play.m_Store.m_IsAway = false;
  Play.m_Timers.runFor(1s);
  cr_assert_eq(Play.m_Seen.back(), "new");
  cr_assert(Play.m_Log.has("store_follow_failed"));
}

Test(storefollower, forgottenHistoryIsListedAgain) {
  auto Play = World();
  Play.m_Follower.start();
  Play.m_Timers.runFor(1s);
  Play.m_Store.put("a", "missed");
  Play.m_Store.m_HistoryGone = true;
  Play.m_Timers.runFor(1s);
  cr_assert_eq(Play.m_Lists, 2);
  cr_assert_eq(Play.m_Seen.back(), "missed");
}

Test(storefollower, stoppedFollowerMakesNoCalls) {
  auto Play = World();
  Play.m_Follower.start();
  Play.m_Timers.runFor(1s);
  Play.m_Follower.stop();
  const auto Before = Play.m_Store.m_Watches;
  Play.m_Store.put("a", "late");
  Play.m_Timers.runFor(5s);
  cr_assert_eq(Play.m_Store.m_Watches, Before);
  cr_assert(Play.m_Seen.empty());
}

// The answer of a watch may be lost when the way to the store breaks; a new one finds the change.
Test(storefollower, watchAfterALossFindsWhatWasMissed) {
  auto Play = World();
  Play.m_Store.put("a", "1");
  Play.m_Follower.start();
  Play.m_Store.m_LosesWatches = true;
  Play.m_Timers.runFor(2s);
  Play.m_Store.m_LosesWatches = false;
  Play.m_Store.put("a", "2");
  Play.m_Timers.runFor(5s);
  cr_assert_eq(Play.m_Seen.size(), 1U, "the watch still waits");
  Play.m_Follower.restartWatch();
  Play.m_Timers.runFor(100ms);
  cr_assert_eq(Play.m_Seen.size(), 2U);
  cr_expect_eq(Play.m_Seen.back(), "2");
}
