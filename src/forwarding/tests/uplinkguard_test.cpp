#include "forwarding/uplinkguard.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <functional>
#include <map>

using namespace geraniumlift;
using namespace geraniumlift::forwarding;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::SteadyTime(1h);

/// What the callers of a played VM got.
struct Result {
  int m_InTime = 0;
  int m_Refused = 0;

  /// Requests that reached a target after their caller had left.
  int m_TooLate = 0;

  /// When the strain first reached 1, when connecting first timed out, and when the guard refused.
  int m_FullAt = -1;
  int m_FirstTimeoutAt = -1;
  int m_FirstRefusalAt = -1;
};

/// Plays ten seconds at a VM whose link sends one request in SendMs while one arrives every
/// ArrivalMs. Connecting takes as long as the queue of the link; after 400 ms another target is
/// tried, four at most. Callers leave after 2.4 s.
auto playFullLink(bool HasGuard, int SendMs, int ArrivalMs) -> Result {
  auto Guard = UplinkGuard(UplinkGuardOptions());
  auto Played = Result();
  auto Events = std::multimap<int, std::function<void(int)>>();
  auto LinkFreeAt = 0;
  std::function<void(int, int, int)> TryTarget = [&](int Now, int Arrived, int Tries) {
    const auto At = Start + std::chrono::milliseconds(Now);
    if (Now - Arrived > 2400) {
      return;
    }
    if (Tries == 4 || (HasGuard && !Guard.mayConnect(At))) {
      ++Played.m_Refused;
      Played.m_FirstRefusalAt = Played.m_FirstRefusalAt < 0 ? Now : Played.m_FirstRefusalAt;
      return;
    }
    Guard.onConnecting();
    const auto Wait = std::max(0, LinkFreeAt - Now);
    const auto HasTimedOut = Wait > 400;
    Events.emplace(Now + std::min(Wait, 400), [&, Arrived, Tries, HasTimedOut](int Then) {
      Guard.onConnectEnded(fmt::format("t{}", (Arrived + Tries) % 50), HasTimedOut,
                           Start + std::chrono::milliseconds(Then));
      if (HasTimedOut) {
        Played.m_FirstTimeoutAt = Played.m_FirstTimeoutAt < 0 ? Then : Played.m_FirstTimeoutAt;
        TryTarget(Then, Arrived, Tries + 1);
        return;
      }
      LinkFreeAt = std::max(LinkFreeAt, Then) + SendMs;
      const auto Delay = LinkFreeAt - Arrived;
      ++(Delay > 2400 ? Played.m_TooLate : Played.m_InTime);
    });
  };
  for (auto Time = 0; Time < 10000; Time += ArrivalMs) {
    Events.emplace(Time, [&TryTarget, Time](int Now) { TryTarget(Now, Time, 0); });
  }
  for (auto Time = 0; Time < 10000; Time += 100) {
    Events.emplace(Time, [&](int Now) {
      if (Played.m_FullAt < 0 && Guard.strain(Start + std::chrono::milliseconds(Now)) >= 1.0) {
        Played.m_FullAt = Now;
      }
    });
  }
  while (!Events.empty()) {
    const auto First = Events.begin();
    const auto Now = First->first;
    const auto Function = std::move(First->second);
    Events.erase(First);
    Function(Now);
  }
  return Played;
}

} // namespace

// Answers a workspace whose callers send three times what the link of their VM carries.
Test(uplinkguard, fullLinkServesMoreInTimeIfTheRestIsRefusedAtOnce) {
  const auto Without = playFullLink(false, 20, 6);
  const auto With = playFullLink(true, 20, 6);
  cr_expect_lt(With.m_TooLate, Without.m_TooLate, "%d against %d", With.m_TooLate,
               Without.m_TooLate);
  cr_expect_geq(With.m_InTime, Without.m_InTime, "%d against %d", With.m_InTime, Without.m_InTime);
}

Test(uplinkguard, linkWithRoomRefusesNothing) {
  cr_expect_eq(playFullLink(true, 20, 25).m_Refused, 0);
}

// Guards against a VM that is left out of the lists only after requests were lost at it.
Test(uplinkguard, strainTellsOfAFullLinkBeforeRequestsAreRefused) {
  const auto Full = playFullLink(true, 20, 6);
  cr_log_info("full at %d ms, first timeout at %d, first refusal at %d", Full.m_FullAt,
              Full.m_FirstTimeoutAt, Full.m_FirstRefusalAt);
  cr_expect_geq(Full.m_FullAt, 0);
  cr_expect_leq(Full.m_FullAt, Full.m_FirstTimeoutAt + 100);
  cr_expect_lt(Full.m_FullAt, Full.m_FirstRefusalAt);
  cr_expect_eq(playFullLink(true, 20, 25).m_FullAt, -1, "a link with room is not full");
}

Test(uplinkguard, fewSilentTargetsAreNoFullLink) {
  auto Guard = UplinkGuard(UplinkGuardOptions());
  for (auto Number = 0; Number < 30; ++Number) {
    Guard.onConnecting();
    Guard.onConnectEnded(fmt::format("t{}", Number % 2), true, Start);
  }
  for (auto Number = 0; Number < 10; ++Number) {
    Guard.onConnecting();
  }
  cr_expect(Guard.mayConnect(Start), "two targets");
  Guard.onConnectEnded("t3", true, Start);
  cr_expect_not(Guard.mayConnect(Start));
  cr_expect(Guard.mayConnect(Start + 1100ms), "old results do not count");
}

Test(uplinkguard, fewRequestsAreSentWhileTheLinkIsFull) {
  auto Guard = UplinkGuard(UplinkGuardOptions());
  for (auto Number = 0; Number < 6; ++Number) {
    Guard.onConnecting();
    Guard.onConnectEnded(fmt::format("t{}", Number), true, Start);
  }
  for (auto Number = 0; Number < 4; ++Number) {
    cr_expect(Guard.mayConnect(Start));
    Guard.onConnecting();
  }
  cr_expect_not(Guard.mayConnect(Start));
  Guard.onConnectAbandoned();
  cr_expect(Guard.mayConnect(Start));
}

// Guards against callers that are told of a full link only when their requests are lost, and
// against a link that counts as full because one target is silent.
Test(uplinkstrain, slowConnectsTellOfAFullLinkBeforeAnyTimesOut) {
  auto Guard = UplinkGuard(UplinkGuardOptions());
  auto Now = Start;
  for (auto Number = 0; Number < 200; ++Number, Now += 10ms) {
    Guard.onConnecting();
    Guard.onConnectEnded(fmt::format("t{}", Number % 20), false, Now);
  }
  cr_expect_lt(Guard.strain(Now), 0.1);
  for (auto Number = 0; Number < 3; ++Number) {
    Guard.onConnecting();
  }
  cr_expect_lt(Guard.strain(Now), 0.1, "a silent target");
  for (auto Number = 0; Number < 25; ++Number) {
    Guard.onConnecting();
  }
  cr_expect_geq(Guard.strain(Now), 1.0, "connecting takes 280 ms on average");
  cr_expect(Guard.mayConnect(Now));
}

Test(uplinkstrain, timeoutsAtSeveralTargetsCount) {
  auto Guard = UplinkGuard(UplinkGuardOptions());
  for (auto Number = 0; Number < 20; ++Number) {
    Guard.onConnecting();
    Guard.onConnectEnded(fmt::format("t{}", Number), Number % 2 == 0, Start);
  }
  cr_expect_geq(Guard.strain(Start), 1.0);
  cr_expect_lt(Guard.strain(Start + 1100ms), 0.1);
}
