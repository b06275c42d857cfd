#include "forwarding/targetreach.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace geraniumlift;
using namespace geraniumlift::forwarding;
using namespace std::chrono_literals;

namespace {

const auto Start = base::SteadyTime(100s);

} // namespace

// Guards against a router that takes one failed target for a cut, or a cut for failed targets.
Test(targetreach, severalTargetsInARowWithoutSuccessAreACut) {
  auto Reach = TargetReach(TargetReachOptions());
  for (auto Time = 0; Time < 20; ++Time) {
    cr_expect_not(Reach.onConnectEnded("t0", false, Start));
  }
  cr_expect_not(Reach.onConnectEnded("t1", false, Start));
  cr_expect_not(Reach.onConnectEnded("t2", true, Start));
  cr_expect_not(Reach.onConnectEnded("t3", false, Start));
  cr_expect_not(Reach.onConnectEnded("t4", false, Start + 100ms));
  cr_expect_not(Reach.isCutOff());
  cr_expect(Reach.onConnectEnded("t5", false, Start + 200ms));
  cr_expect(Reach.isCutOff());
}

Test(targetreach, oldFailuresDoNotCount) {
  auto Reach = TargetReach(TargetReachOptions());
  Reach.onConnectEnded("t0", false, Start);
  Reach.onConnectEnded("t1", false, Start + 1s);
  Reach.onConnectEnded("t2", false, Start + 6s);
  cr_expect_not(Reach.isCutOff());
}

// Guards against a router that stays away from targets after a cut, or tries them all the time.
Test(targetreach, oneTargetThatIsReachedEndsTheCut) {
  auto Reach = TargetReach(TargetReachOptions());
  cr_expect_not(Reach.startProbe(Start), "nothing is wrong");
  for (auto Number = 0; Number < 3; ++Number) {
    Reach.onConnectEnded(fmt::format("t{}", Number), false, Start);
  }
  cr_expect(Reach.startProbe(Start));
  cr_expect_not(Reach.startProbe(Start + 300ms));
  cr_expect(Reach.startProbe(Start + 400ms));
  cr_expect(Reach.onConnectEnded("t7", true, Start + 500ms));
  cr_expect_not(Reach.isCutOff());
  cr_expect(Reach.failedTargets().empty());
}

// Guards against a router whose link is full and takes that for a cut.
Test(targetreach, slowIsMeasuredByTheUsualTime) {
  auto Reach = TargetReach(TargetReachOptions());
  cr_expect_eq(Reach.slowConnectTime().count(), 120);
  for (auto Count = 0; Count < 30; ++Count) {
    Reach.recordConnectTime(3ms);
  }
  cr_expect_eq(Reach.slowConnectTime().count(), 120);
  for (auto Count = 0; Count < 30; ++Count) {
    Reach.recordConnectTime(90ms);
  }
  cr_expect_geq(Reach.slowConnectTime().count(), 350);
}
