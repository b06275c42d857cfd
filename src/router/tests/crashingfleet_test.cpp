#include "router/tests/crashingfleet.h"

using namespace geraniumlift::router::tests;
using namespace std::chrono_literals;

namespace {

auto optionsFor(int Routers) -> CrashingFleetOptions {
  auto Options = CrashingFleetOptions();
  Options.m_Routers = Routers;
  Options.m_Targets = std::max(12, Routers);
  Options.m_SoundPerSecond = 4.0 * Routers;
  Options.m_DeadlyPerSecond = 0.1 * Routers;
  return Options;
}

/// Requests with the deadly part that may reach targets after the fifth crash and the contact time.
constexpr auto MaxLateRequests = 3;
constexpr auto ContactTime = 3000ms;

} // namespace

// Guards against a deadly part that crashes one target after the other because each router sees
// only a few of the crashes.
Test(crashingfleet, deadlyPartIsBlockedInFleetsOfAllSizes) {
  for (const auto Routers : {9, 82, 195, 370}) {
    auto Fleet = CrashingFleet(optionsFor(Routers));
    while (Fleet.m_DeadlyCrashes < 5 && Fleet.m_DeadlySent < 1000 && Fleet.unaware() > 0) {
      Fleet.run(10ms);
    }
    Fleet.run(ContactTime);
    cr_expect_eq(Fleet.unaware(), 0, "%d routers: %d unaware", Routers, Fleet.unaware());
    const auto Before = Fleet.m_DeadlySent;
    Fleet.run(20s);
    cr_expect_leq(Fleet.m_DeadlySent - Before, MaxLateRequests, "%d routers: %d", Routers,
                  Fleet.m_DeadlySent - Before);
    cr_expect_lt(Fleet.m_SoundRefused, Fleet.m_SoundSent / 100, "%d routers: %d of %d", Routers,
                 Fleet.m_SoundRefused, Fleet.m_SoundSent);
  }
}

Test(crashingfleet, crashesForOtherReasonsBlockNoSoundRequests) {
  for (const auto Routers : {9, 82, 195}) {
    auto Options = optionsFor(Routers);
    Options.m_DeadlyPerSecond = 0.0;
    Options.m_OwnCrashesPerSecond = 0.1;
    auto Fleet = CrashingFleet(Options);
    Fleet.run(30s);
    cr_expect_eq(Fleet.m_SoundRefused, 0, "%d routers: %d of %d", Routers, Fleet.m_SoundRefused,
                 Fleet.m_SoundSent);
  }
}

Test(crashingfleet, restartedRoutersAndNewRelaysKnowWhatIsBlocked) {
  for (const auto Routers : {9, 82, 195}) {
    auto Fleet = CrashingFleet(optionsFor(Routers));
    Fleet.run(3s);
    for (const auto Relay : Fleet.relays()) {
      Fleet.restart(Relay, 2s);
    }
    for (auto Number = 0; Number < Routers; Number += 2) {
      Fleet.restart(Number, 1s);
    }
    Fleet.run(1s + ContactTime);
    cr_expect_eq(Fleet.unaware(), 0, "%d routers: %d unaware", Routers, Fleet.unaware());
  }
}

// Guards against reports whose number grows with the square of the fleet.
Test(crashingfleet, reportsOfOneRouterDoNotGrowWithTheFleet) {
  const auto PerRouter = [](int Routers) {
    auto Fleet = CrashingFleet(optionsFor(Routers));
    Fleet.run(10s);
    const auto Before = Fleet.m_MessagesOfQuarantine;
    Fleet.run(10s);
    return static_cast<double>(Fleet.m_MessagesOfQuarantine - Before) / 10.0 / Routers;
  };
  cr_expect_leq(PerRouter(370), 3.0, "%f", PerRouter(370));
}
