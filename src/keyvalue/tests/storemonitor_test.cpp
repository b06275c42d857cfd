#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"
#include "keyvalue/storemonitor.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::keyvalue;
using namespace std::chrono_literals;

namespace {

struct World {
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;
  std::vector<bool> m_Changes;
  StoreMonitor m_Monitor{m_Store, m_Timers, m_Clock, m_Log,
                         [this](bool IsReachable) { m_Changes.push_back(IsReachable); }};
};

} // namespace

Test(storemonitor, lossAndReturnAreReportedOnce) {
  auto Play = World();
  Play.m_Monitor.start();
  Play.m_Timers.runFor(3s);
  Play.m_Store.m_IsAway = true;
  Play.m_Timers.runFor(5s);
  Play.m_Store.m_IsAway = false;
  Play.m_Timers.runFor(400ms);
  cr_assert(Play.m_Changes == std::vector<bool>({true, false, true}));
  cr_assert(Play.m_Log.has("store_lost") && Play.m_Log.has("store_regained"));
}

Test(storemonitor, aFailedCallIsLookedIntoAtOnce) {
  auto Play = World();
  Play.m_Monitor.start();
  Play.m_Timers.runFor(100ms);
  Play.m_Store.m_IsAway = true;
  Play.m_Monitor.probeNow();
  Play.m_Monitor.probeNow();
  Play.m_Timers.runFor(10ms);
  cr_assert(Play.m_Changes == std::vector<bool>({true, false}));
  cr_expect_eq(Play.m_Store.m_StaleReads, 2, "two suspicions cost one probe");
}

Test(storemonitor, aCalmStoreIsProbedOnceASecond) {
  auto Play = World();
  Play.m_Monitor.start();
  Play.m_Timers.runFor(10s);
  cr_expect_leq(Play.m_Store.m_StaleReads, 11);
}
