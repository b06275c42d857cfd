#include "base/manualclock.h"
#include "routing/itargetchooser.h"
#include "routing/slowtargetdetector.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace geraniumlift;

namespace {

auto makeTargetView(std::string Name) -> routing::TargetView {
  auto Info = admission::TargetInfo();
  Info.m_Name = std::move(Name);
  return routing::TargetView(std::move(Info));
}

} // namespace

// Guards against counting this router's own requests twice: a lagged report includes those that
// were outstanding when it was measured.
Test(routing, reportIsReducedByOwnWorkAtTheTimeOfMeasurement) {
  auto Clock = base::ManualClock();
  auto View = makeTargetView("a");
  View.onDispatch(1.0, Clock.steadyNow());
  Clock.advance(std::chrono::seconds{1});
  View.onDispatch(1.0, Clock.steadyNow());
  auto Report = admission::LoadReport();
  Report.m_Running = 4;
  Report.m_Age = std::chrono::milliseconds{500};
  View.onReport(Report, Clock.steadyNow());
  const auto Others = View.othersOutstanding(3.0, Clock.steadyNow());
  cr_assert_float_eq(Others, 3.0, 1e-9);
}

// Guards against an old report that outweighs the expected load, as the weight of a report has to
// fall with its age.
Test(routing, oldReportLosesWeight) {
  auto Clock = base::ManualClock();
  auto View = makeTargetView("a");
  auto Report = admission::LoadReport();
  Report.m_Running = 8;
  View.onReport(Report, Clock.steadyNow());
  Clock.advance(std::chrono::seconds{20});
  cr_assert_lt(View.othersOutstanding(0.0, Clock.steadyNow()), 0.1);
}

// Guards against a strategy that ignores the load it is meant to compare.
Test(routing, leastOutstandingAvoidsLoadedTargets) {
  auto Clock = base::ManualClock();
  auto Random = base::RandomEngine(7);
  auto First = makeTargetView("a");
  auto Second = makeTargetView("b");
  First.onDispatch(1.0, Clock.steadyNow());
  for (const auto Strategy :
       {routing::TargetStrategy::LeastOutstanding, routing::TargetStrategy::TwoChoices}) {
    const auto Chooser = routing::makeTargetChooser(Strategy, {});
    for (auto Draw = 0; Draw < 20; ++Draw) {
      cr_assert_eq(Chooser->choose({&First, &Second}, {}, Clock.steadyNow(), Random), 1U);
    }
  }
}

// Guards against an uneven rotation when the list of candidates changes between calls.
Test(routing, roundRobinContinuesAfterTheLastName) {
  auto Clock = base::ManualClock();
  auto Random = base::RandomEngine(7);
  auto First = makeTargetView("a");
  auto Second = makeTargetView("b");
  auto Third = makeTargetView("c");
  const auto Chooser = routing::makeTargetChooser(routing::TargetStrategy::RoundRobin, {});
  cr_assert_eq(Chooser->choose({&First, &Second, &Third}, {}, Clock.steadyNow(), Random), 0U);
  cr_assert_eq(Chooser->choose({&Second, &Third}, {}, Clock.steadyNow(), Random), 0U);
  cr_assert_eq(Chooser->choose({&First, &Second, &Third}, {}, Clock.steadyNow(), Random), 2U);
}

// Guards against an ejection that empties the pool when most targets slow down in an overload, and
// against a target that stays ejected after it recovered.
Test(routing, ejectionIsBoundedAndEnds) {
  auto Clock = base::ManualClock();
  auto Detector = routing::SlowTargetDetector();
  const auto Names = std::vector<std::string>{"a", "b", "c", "d", "e", "f"};
  Detector.setTargets(Names);
  const auto Sample = [&](std::size_t SlowCount) {
    for (auto Round = 0; Round < 20; ++Round) {
      for (auto Index = std::size_t{0}; Index < Names.size(); ++Index) {
        Detector.onSample(Names[Index], Index < SlowCount ? 0.1 : 0.02, Clock.steadyNow());
      }
    }
  };
  const auto Ejected = [&] {
    return std::count_if(Names.begin(), Names.end(),
                         [&](const auto &Name) { return Detector.isEjected(Name); });
  };
  Sample(1);
  cr_assert_eq(Ejected(), 1);
  Sample(3);
  cr_assert_eq(Ejected(), 2);
  cr_assert_not(Detector.isProbeDue("a", Clock.steadyNow()));
  Clock.advance(std::chrono::seconds{5});
  cr_assert(Detector.isProbeDue("a", Clock.steadyNow()));
  Detector.onProbe("a", Clock.steadyNow());
  cr_assert_not(Detector.isProbeDue("a", Clock.steadyNow()));
  Sample(0);
  cr_assert_eq(Ejected(), 0);
}

// Guards against prefix affinity that sends more requests to an overloaded target.
Test(routing, prefixAffinityIsBoundedByLoad) {
  auto Clock = base::ManualClock();
  auto Random = base::RandomEngine(7);
  auto First = makeTargetView("a");
  auto Second = makeTargetView("b");
  const auto Chooser =
      routing::makeTargetChooser(routing::TargetStrategy::ExpectedWait, {"here", 1});
  First.onPrefixEvent(42, true);
  const auto Request = routing::RequestTraits{1.0, 4000, 42};
  cr_assert_eq(Chooser->choose({&First, &Second}, Request, Clock.steadyNow(), Random), 0U);
  for (auto Count = 0; Count < 24; ++Count) {
    First.onDispatch(4.0, Clock.steadyNow());
  }
  cr_assert_eq(Chooser->choose({&First, &Second}, Request, Clock.steadyNow(), Random), 1U);
}
