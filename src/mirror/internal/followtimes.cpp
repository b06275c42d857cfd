#include "mirror/followtimes.h"

#include <algorithm>

namespace geraniumlift::mirror {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Shares of the time within which a change must take effect.
constexpr auto WatchIntervalShare = 0.35;
constexpr auto WatchWaitShare = 0.5;
constexpr auto RelayWatchIntervalShare = 0.2;
constexpr auto RequestIntervalShare = 0.15;
constexpr auto MaxAgeShare = 0.45;
constexpr auto MaxAgeSpreadShare = 0.15;
constexpr auto MaxStoreLagShare = 0.35;
constexpr auto UnhurriedWaitShare = 1.0;

/// Shortest time that the intervals are derived from. With a shorter one, the calls of a large
/// fleet would exceed the store's limits.
constexpr auto MinChangeTime = 250ms;

/// Upper limits of intervals that serve other purposes, too: the end of a watch reveals a
/// connection that delivers no more data, and a request goes out with each heartbeat.
constexpr auto MaxWatchWait = 1000ms;
constexpr auto MaxUnhurriedWait = 4000ms;
constexpr auto MaxRequestInterval = 300ms;

} // namespace

auto followTimesFor(milliseconds ChangeTime) -> FollowTimes {
  const auto Time = std::max<milliseconds>(ChangeTime, MinChangeTime);
  const auto Share = [Time](double Part) { return duration_cast<milliseconds>(Time * Part); };
  auto Times = FollowTimes();
  Times.m_WatchInterval = Share(WatchIntervalShare);
  Times.m_WatchWait = std::min<milliseconds>(Share(WatchWaitShare), MaxWatchWait);
  Times.m_RelayWatchInterval = Share(RelayWatchIntervalShare);
  Times.m_RequestInterval = std::min<milliseconds>(Share(RequestIntervalShare), MaxRequestInterval);
  Times.m_MaxAge = Share(MaxAgeShare);
  Times.m_MaxAgeSpread = Share(MaxAgeSpreadShare);
  Times.m_MaxStoreLag = Share(MaxStoreLagShare);
  Times.m_UnhurriedWait = std::min<milliseconds>(Share(UnhurriedWaitShare), MaxUnhurriedWait);
  Times.m_UnhurriedAge =
      2 * Times.m_UnhurriedWait + std::max(Times.m_RelayWatchInterval, Times.m_WatchWait);
  return Times;
}

} // namespace geraniumlift::mirror
