#include "fleet/overloaddetector.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::fleet;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// Shows a detector the same load every 300 ms for a time; returns how often the state changed.
auto play(OverloadDetector &Detector, base::SteadyTime &Now, const LoadObservation &Load,
          milliseconds Time) -> int {
  auto Changes = 0;
  for (const auto End = Now + Time; Now < End; Now += 300ms) {
    Changes += Detector.observe(Load, Now) ? 1 : 0;
  }
  return Changes;
}

} // namespace

Test(overloaddetector, fullResourceIsDeclaredSoonAndTakenBackAfterCalm) {
  for (const auto &Full : {LoadObservation{2.0, 0ms, 0.0}, LoadObservation{0.0, 600ms, 0.0},
                           LoadObservation{0.0, 0ms, 1.0}}) {
    auto Detector = OverloadDetector();
    auto Now = base::SteadyTime(1h);
    cr_expect_eq(play(Detector, Now, {}, 3s), 0);
    cr_expect_eq(play(Detector, Now, Full, 3s), 1);
    cr_expect(Detector.isOverloaded());
    cr_expect_eq(play(Detector, Now, {}, 3s), 0, "callers would close connections twice");
    cr_expect_eq(play(Detector, Now, {}, 6s), 1);
    cr_expect_not(Detector.isOverloaded());
  }
}

// Guards against callers that leave a VM because it stood still once, or at a load between the
// thresholds.
Test(overloaddetector, singleStallAndMeanLoadChangeNothing) {
  auto Detector = OverloadDetector();
  auto Now = base::SteadyTime(1h);
  play(Detector, Now, {}, 1s);
  Now += 5s;
  cr_expect_eq(play(Detector, Now, {0.0, 5000ms, 0.0}, 300ms), 0);
  cr_expect_eq(play(Detector, Now, {0.7, 0ms, 0.2}, 10s), 0);
}
