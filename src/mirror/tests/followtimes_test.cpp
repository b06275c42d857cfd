#include "mirror/followtimes.h"

#include <criterion/criterion.h>

using namespace geraniumlift::mirror;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// A message between two routers and back, or a call to the store, on a busy VM.
constexpr auto RoundTrip = 60ms;

} // namespace

// Guards against timeouts that add up to more than the time within which a change must take effect,
// whatever that time is in the settings.
Test(followtimes, knowledgeIsRenewedWithinTheChangeTime) {
  for (const auto ChangeTime : {1000ms, 1500ms, 2000ms, 3000ms, 4000ms, 10000ms}) {
    const auto Times = followTimesFor(ChangeTime);
    const auto LargestAge = Times.m_MaxAge + Times.m_MaxAgeSpread;
    // One read from the store may fail and be repeated after the retry delay.
    cr_expect_leq(LargestAge + 2 * RoundTrip + 100ms, ChangeTime, "%lld",
                  static_cast<long long>(ChangeTime.count()));
    cr_expect_leq(2 * Times.m_WatchInterval + 2 * RoundTrip, ChangeTime);
    // The readers of a working relay never go to the store.
    const auto Usual = Times.m_RelayWatchInterval + Times.m_RequestInterval;
    cr_expect_lt(Usual, Times.m_MaxAge, "%lld", static_cast<long long>(ChangeTime.count()));
    // Nor for records without a change time.
    const auto LongestWatch = Times.m_UnhurriedWait + Times.m_RelayWatchInterval;
    cr_expect_leq(2 * LongestWatch - Times.m_UnhurriedAge, Times.m_RelayWatchInterval);
    // A working relay never resigns.
    cr_expect_lt(Times.m_RelayWatchInterval + RoundTrip, Times.m_MaxStoreLag);
  }
}

// Guards against a store that is called without a pause.
Test(followtimes, tinyChangeTimesAreNotFollowed) {
  for (const auto ChangeTime : {milliseconds(0), milliseconds(1), milliseconds(100)}) {
    const auto Times = followTimesFor(ChangeTime);
    cr_expect_geq(Times.m_WatchInterval, 50ms);
    cr_expect_geq(Times.m_RelayWatchInterval, 50ms);
    cr_expect_geq(Times.m_RequestInterval, 30ms);
  }
}
