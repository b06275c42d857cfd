#include "base/manualclock.h"
#include "vmwatch/vmtracker.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using std::chrono::seconds;

namespace {

const auto Router = base::HolderId{"entry-2", 10};

struct Fixture {
  auto list(std::vector<keyvalue::VmEntry> Entries) -> void {
    Entries.push_back({"entry-1", keyvalue::VmState::Live});
    m_Tracker.onVmList(Entries, m_Clock.steadyNow());
  }

  auto hasEnded() -> bool { return m_Tracker.hasEnded(Router, m_Clock.steadyNow()); }

  base::ManualClock m_Clock;
  vmwatch::VmTracker m_Tracker{{"entry-1"}};
};

} // namespace

// Guards against reclaiming the grant of a paused router, which may resume and spend it.
Test(vmwatch, silentRouterOnTheListHasNotEnded) {
  auto Test = Fixture();
  Test.m_Tracker.onHeartbeat(Router, Test.m_Clock.steadyNow());
  for (auto Hour = 0; Hour < 24; ++Hour) {
    Test.m_Clock.advance(std::chrono::hours{1});
    Test.list({{"entry-2", keyvalue::VmState::Live}});
    cr_assert_not(Test.hasEnded());
  }
}

// Guards against a grant that is never reclaimed after its router's VM was removed.
Test(vmwatch, routerHasEndedAfterTheRemovalDelay) {
  auto Test = Fixture();
  Test.list({{"entry-2", keyvalue::VmState::Live}});
  Test.m_Clock.advance(seconds{10});
  Test.list({});
  cr_assert_not(Test.hasEnded());
  Test.m_Clock.advance(seconds{30});
  cr_assert_not(Test.hasEnded(), "no list confirmed the absence since");
  Test.list({});
  cr_assert(Test.hasEnded());
}

// Guards against treating a router as ended when a lagging list lacks its VM but its heartbeats
// arrive.
Test(vmwatch, routerThatIsHeardHasNotEnded) {
  auto Test = Fixture();
  Test.list({});
  Test.m_Clock.advance(seconds{60});
  Test.m_Tracker.onHeartbeat(Router, Test.m_Clock.steadyNow());
  Test.list({});
  cr_assert_not(Test.hasEnded());
}

// Guards against an empty list or one of other VMs, by which every router would count as removed.
Test(vmwatch, listWithoutOwnVmIsIgnored) {
  auto Test = Fixture();
  Test.m_Tracker.onVmList({}, Test.m_Clock.steadyNow());
  Test.m_Clock.advance(seconds{60});
  Test.m_Tracker.onVmList({{"entry-9", keyvalue::VmState::Live}}, Test.m_Clock.steadyNow());
  cr_assert_not(Test.hasEnded());
}

// Guards against a grant that a restarted router's earlier process holds for ever.
Test(vmwatch, newerIncarnationEndsTheEarlierOne) {
  auto Test = Fixture();
  Test.list({{"entry-2", keyvalue::VmState::Live}});
  Test.m_Tracker.onHeartbeat({"entry-2", 11}, Test.m_Clock.steadyNow());
  cr_assert(Test.hasEnded());
  cr_assert_not(Test.m_Tracker.hasEnded({"entry-2", 11}, Test.m_Clock.steadyNow()));
}

// Guards against sending requests to a target whose VM is leaving or was removed.
Test(vmwatch, leavingAndRemovedVmsAreLeaving) {
  auto Test = Fixture();
  Test.list({{"runner-1", keyvalue::VmState::Live}, {"runner-2", keyvalue::VmState::Leaving}});
  cr_assert_not(Test.m_Tracker.isLeaving("runner-1"));
  cr_assert(Test.m_Tracker.isLeaving("runner-2"));
  cr_assert_not(Test.m_Tracker.isLeaving("runner-3"), "never listed: the list lags");
  Test.list({});
  cr_assert(Test.m_Tracker.isLeaving("runner-1"));
}
