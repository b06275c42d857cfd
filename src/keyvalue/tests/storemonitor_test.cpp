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

// Guards against probes of all routers of a large fleet, whose relays hear from the store anyway,
// and against a loss that is noticed later for lack of probes.
Test(storemonitor, storeThatAnswersOthersIsProbedRarely) {
  auto Fixture = MonitorFixture();
  Fixture.m_Monitor.setWitness([&Fixture]() -> std::optional<base::SteadyTime> {
    static auto Last = base::SteadyTime();
    Last = Fixture.m_Store.m_IsAway ? Last : Fixture.m_Clock.steadyNow() - 600ms;
    return Last;
  });
  Fixture.m_Monitor.start();
  Fixture.m_Timers.runFor(30s);
  cr_expect_leq(Fixture.m_Store.m_StaleReads, 11);
  Fixture.m_Store.m_IsAway = true;
  Fixture.m_Timers.runFor(1s);
  cr_expect(Fixture.m_Changes == std::vector<bool>({true, false}));
  Fixture.m_Store.m_IsAway = false;
  Fixture.m_Timers.runFor(400ms);
  cr_expect(Fixture.m_Changes == std::vector<bool>({true, false, true}));
}

// Guards against a router that is cut off from the store alone and relies on its relay's word.
Test(storemonitor, routerThatIsCutOffAloneNoticesIt) {
  auto Fixture = MonitorFixture();
  Fixture.m_Monitor.setWitness([&Fixture] { return std::optional(Fixture.m_Clock.steadyNow()); });
  Fixture.m_Monitor.start();
  Fixture.m_Timers.runFor(10s);
  Fixture.m_Store.m_IsAway = true;
  Fixture.m_Timers.runFor(3500ms);
  cr_expect(Fixture.m_Changes == std::vector<bool>({true, false}));
}

Test(storemonitor, reachableStoreIsProbedOncePerSecond) {
  auto Fixture = MonitorFixture();
  Fixture.m_Monitor.start();
  Fixture.m_Timers.runFor(10s);
  cr_expect_leq(Fixture.m_Store.m_StaleReads, 11);
}

// Guards against a router that gives up the store while a large answer fills its link.
Test(storemonitor, storeWhoseAnswerIsArrivingIsReachable) {
  auto Fixture = MonitorFixture();
  Fixture.m_Monitor.start();
  Fixture.m_Timers.runFor(3s);
  Fixture.m_Store.m_IsAway = true;
  Fixture.m_Store.m_LastHeardAt = Fixture.m_Clock.steadyNow() + 5s;
  Fixture.m_Timers.runFor(5s);
  cr_assert(Fixture.m_Changes == std::vector<bool>({true}));
  Fixture.m_Timers.runFor(3s);
  cr_assert(Fixture.m_Changes == std::vector<bool>({true, false}));
}
