#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"
#include "keyvalue/storemonitor.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::keyvalue;
using namespace std::chrono_literals;

namespace {

struct MonitorFixture {
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;
  std::vector<bool> m_Changes;
  StoreMonitor m_Monitor{m_Store, m_Timers, m_Clock, m_Log,
                         [this](bool IsReachable) { m_Changes.push_back(IsReachable); }};
};

} // namespace

Test(storemonitor, lossAndRecoveryAreReportedOnce) {
  auto Fixture = MonitorFixture();
  Fixture.m_Monitor.start();
  Fixture.m_Timers.runFor(3s);
  Fixture.m_Store.m_IsAway = true;
  Fixture.m_Timers.runFor(5s);
  Fixture.m_Store.m_IsAway = false;
  Fixture.m_Timers.runFor(400ms);
  cr_assert(Fixture.m_Changes == std::vector<bool>({true, false, true}));
  cr_assert(Fixture.m_Log.has("store_lost") && Fixture.m_Log.has("store_regained"));
}

Test(storemonitor, failedCallTriggersOneImmediateProbe) {
  auto Fixture = MonitorFixture();
  Fixture.m_Monitor.start();
  Fixture.m_Timers.runFor(100ms);
  Fixture.m_Store.m_IsAway = true;
  Fixture.m_Monitor.probeNow();
  Fixture.m_Monitor.probeNow();
  Fixture.m_Timers.runFor(10ms);
  cr_assert(Fixture.m_Changes == std::vector<bool>({true, false}));
  cr_expect_eq(Fixture.m_Store.m_StaleReads, 2, "two requests for a probe must cause one");
}

Test(storemonitor, reachableStoreIsProbedOncePerSecond) {
  auto Fixture = MonitorFixture();
  Fixture.m_Monitor.start();
  Fixture.m_Timers.runFor(10s);
  cr_expect_leq(Fixture.m_Store.m_StaleReads, 11);
}
