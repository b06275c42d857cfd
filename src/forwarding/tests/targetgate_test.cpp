#include "forwarding/targetaccesslog.h"
#include "forwarding/targetgate.h"

#include "fakes/memoryeventlog.h"
#include "forwarding/tests/forwardingfakes.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::forwarding;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::SteadyTime(1h);

/// One target behind a gate.
struct GateFixture {
  GateFixture() { m_Targets.put(tests::ForwardingFixture::target("t", "p")); }

  [[nodiscard]] auto target() const -> const TargetState & { return *m_Targets.find("t"); }
  [[nodiscard]] auto check(base::SteadyTime Now = Start) const -> GateDecision {
    return m_Gate.checkTarget(target(), Now);
  }

  TargetTable m_Targets{HealthOptions()};
  tests::FakeLimits m_Limits;
  tests::FakeQuarantine m_Quarantine;
  TargetGate m_Gate{GateOptions(), m_Limits, m_Quarantine};
};

} // namespace

Test(targetgate, leavingTargetIsClosedUntilAnEventOpensIt) {
  auto Fixture = GateFixture();
  cr_expect_eq(Fixture.check().m_Access, GateAccess::Open);
  auto Leaving = Fixture.target().record();
  Leaving.m_IsLeaving = true;
  Fixture.m_Targets.put(Leaving);
  cr_expect_eq(Fixture.check().m_Access, GateAccess::Closed);
  cr_expect_eq(Fixture.check().m_Reason, GateReason::Leaving);
  cr_expect_not(Fixture.check().m_RetryAfter.has_value());
}

// Guards against a pool of ejected targets that serves nobody.
Test(targetgate, ejectedTargetIsALastResort) {
  auto Fixture = GateFixture();
  Fixture.m_Targets.recordResult("t", AttemptResult::Unresponsive, Start);
  const auto Decision = Fixture.check();
  cr_expect_eq(Decision.m_Access, GateAccess::Open);
  cr_expect(Decision.m_IsLastResort);
  cr_expect_eq(Decision.m_Reason, GateReason::Ejected);
  cr_expect(Decision.m_RetryAfter == std::optional(500ms));
  cr_expect_eq(Fixture.check(Start + 1s).m_Reason, GateReason::None);
}

Test(targetgate, limitIsAskedForAPermitUnlessOneWasJustRefused) {
  auto Fixture = GateFixture();
  const auto Key = Fixture.target().limitKey();
  Fixture.m_Limits.m_Limited = {Key};
  cr_expect_eq(Fixture.check().m_Access, GateAccess::NeedsPermit);
  cr_expect_eq(Fixture.check().m_Reason, GateReason::Limited);
  Fixture.m_Limits.m_Refused = {Key};
  cr_expect_eq(Fixture.check().m_Access, GateAccess::Closed);
  cr_expect(Fixture.check().m_RetryAfter == std::optional(400ms));
}

// Guards against reasons that an operator can't see, and against a log line for every request.
Test(targetaccesslog, eachChangeOfTheReasonIsLoggedOnce) {
  auto Fixture = GateFixture();
  auto Log = fakes::MemoryEventLog();
  auto Access = TargetAccessLog(Log);
  cr_expect_eq(Access.update(Fixture.m_Targets, Fixture.m_Gate, Start)[GateReason::Ejected], 0);
  Fixture.m_Targets.recordResult("t", AttemptResult::Unresponsive, Start);
  for (auto Round = 0; Round < 3; ++Round) {
    cr_expect_eq(Access.update(Fixture.m_Targets, Fixture.m_Gate, Start)[GateReason::Ejected], 1);
  }
  Access.update(Fixture.m_Targets, Fixture.m_Gate, Start + 1s);
  cr_assert_eq(Log.m_Lines.size(), 2U);
  cr_expect(Log.has("target_access_changed", {"reason=ejected", "before=none"}));
  cr_expect(Log.has("target_access_changed", {"reason=none", "before=ejected"}));
}

// Guards against requests to a target that has said in a response that it leaves.
Test(targetgate, targetThatSaidItLeavesIsALastResortAndThenClosed) {
  auto Fixture = GateFixture();
  Fixture.m_Targets.recordLeaving("t", 0, Start);
  cr_expect(Fixture.check(Start + 1s).m_IsLastResort);
  cr_expect_eq(Fixture.check(Start + 1s).m_Access, GateAccess::Open);
  Fixture.m_Targets.recordLeaving("t", 0, Start + 1s);
  cr_expect_eq(Fixture.check(Start + 1001ms).m_Access, GateAccess::Closed,
               "a repeated statement does not extend the time");
  cr_expect_eq(Fixture.check(Start + 1001ms).m_Reason, GateReason::SaidLeaving);
  Fixture.m_Targets.put(Fixture.target().record());
  cr_expect_eq(Fixture.check(Start + 1h).m_Access, GateAccess::Closed,
               "a record that still says ready does not open the target");
  auto Restarted = Fixture.target().record();
  Restarted.m_Incarnation = 7;
  Fixture.m_Targets.put(Restarted);
  cr_expect_eq(Fixture.check(Start + 1h).m_Reason, GateReason::None);
}

// Guards against closing a target because of a late answer of the process before it.
Test(targetgate, statementsOfAFormerProcessAreIgnored) {
  auto Fixture = GateFixture();
  Fixture.m_Targets.recordLeaving("t", 3, Start);
  Fixture.m_Targets.recordPause("t", 3, 5s, Start);
  cr_expect_eq(Fixture.check().m_Reason, GateReason::None);
}

// Guards against the whole queue that returns at once when a pause ends.
Test(targetgate, pausedTargetIsClosedAndThenProbedByOneRequest) {
  auto Fixture = GateFixture();
  Fixture.m_Targets.recordPause("t", 0, 3s, Start);
  Fixture.m_Targets.recordPause("t", 0, 1s, Start);
  cr_expect_eq(Fixture.check(Start + 2s).m_Access, GateAccess::Closed,
               "a shorter pause does not end a longer one");
  cr_expect(Fixture.check(Start + 2s).m_RetryAfter == std::optional(1000ms));
  cr_expect_eq(Fixture.check(Start + 3s).m_Reason, GateReason::None);
  Fixture.m_Targets.recordSent("t", nullptr, 0, Start + 3s);
  cr_expect(Fixture.check(Start + 3s).m_IsLastResort);
  Fixture.m_Targets.recordResult("t", AttemptResult::Success, Start + 3s);
  cr_expect_eq(Fixture.check(Start + 3s).m_Reason, GateReason::None);
}

Test(targetgate, evacuatedDataCentreIsClosedUntilItIsTakenBack) {
  auto Fixture = GateFixture();
  auto Record = Fixture.target().record();
  Record.m_DataCentre = "north";
  Fixture.m_Targets.put(Record);
  Fixture.m_Gate.setEvacuated({"south"});
  cr_expect_eq(Fixture.check().m_Access, GateAccess::Open);
  Fixture.m_Gate.setEvacuated({"south", "north"});
  cr_expect_eq(Fixture.check().m_Access, GateAccess::Closed);
  cr_expect_eq(Fixture.check().m_Reason, GateReason::Evacuated);
  Fixture.m_Gate.setEvacuated({});
  cr_expect_eq(Fixture.check().m_Access, GateAccess::Open);
}

// Guards against a request that leaves the regions of its route or of its workspace.
Test(targetgate, regionsOfRouteAndWorkspaceBindTogether) {
  auto Fixture = GateFixture();
  auto Options = GateOptions();
  Options.m_Regions = {{"north-a", "north"}, {"south-a", "south"}};
  const auto Gate = TargetGate(Options, Fixture.m_Limits, Fixture.m_Quarantine);
  auto Record = Fixture.target().record();
  Record.m_DataCentre = "north-a";
  Fixture.m_Targets.put(Record);
  const auto North = std::vector<std::string>{"north"};
  const auto South = std::vector<std::string>{"south"};
  const auto Both = std::vector<std::string>{"south", "north"};
  const auto None = std::vector<std::string>();
  const auto ReasonOf = [&](const RequestRegions &Regions) {
    return Gate.checkTarget(Fixture.target(), Regions, Start).m_Reason;
  };
  cr_expect_eq(ReasonOf({}), GateReason::None);
  cr_expect_eq(ReasonOf({&None, &North}), GateReason::None);
  cr_expect_eq(ReasonOf({&Both, &North}), GateReason::None);
  cr_expect_eq(ReasonOf({&South, &North}), GateReason::OutsideRegions);
  cr_expect_eq(ReasonOf({&North, &South}), GateReason::OutsideRegions);
  Record.m_DataCentre = "unknown";
  Fixture.m_Targets.put(Record);
  cr_expect_eq(ReasonOf({}), GateReason::None);
  cr_expect_eq(ReasonOf({&North, nullptr}), GateReason::OutsideRegions);
}

Test(targetgate, coldTargetNeedsAPermit) {
  auto Fixture = GateFixture();
  const auto Key = Fixture.target().limitKey();
  Fixture.m_Limits.m_Limited = {Key};
  Fixture.m_Limits.m_Cold = {Key};
  cr_expect_eq(Fixture.check().m_Access, GateAccess::NeedsPermit);
  cr_expect_eq(Fixture.check().m_Reason, GateReason::Cold);
}
