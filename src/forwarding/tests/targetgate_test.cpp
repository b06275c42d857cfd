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
  TargetGate m_Gate{m_Limits, m_Quarantine};
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
