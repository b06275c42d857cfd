#include "admission/dispatcher.h"
#include "base/manualclock.h"

#include <array>
#include <criterion/criterion.h>
#include <map>

using namespace geraniumlift;

namespace {

auto makeTargetInfo(std::string Name, std::int64_t Slots) -> admission::TargetInfo {
  auto Info = admission::TargetInfo();
  Info.m_Name = std::move(Name);
  Info.m_Pool = "pool";
  Info.m_Slots = Slots;
  return Info;
}

/// Options of the only router of a fleet, which may use all slots without a load report.
auto singleRouterOptions() -> admission::DispatcherOptions {
  auto Options = admission::DispatcherOptions();
  Options.m_ExpectedRouters = 1;
  return Options;
}

/// A dispatcher with a clock and helpers that offer requests to its single pool.
class DispatcherFixture {
public:
  explicit DispatcherFixture(admission::DispatcherOptions Options = singleRouterOptions())
      : m_Dispatcher(std::move(Options)) {}

  auto makeItem(admission::WorkId Id) const -> admission::WorkItem {
    auto Item = admission::WorkItem();
    Item.m_Id = Id;
    Item.m_Pool = "pool";
    Item.m_Workspace = "office";
    Item.m_MaxTokens = 32;
    Item.m_Deadline = m_Clock.steadyNow() + std::chrono::seconds{30};
    return Item;
  }

  auto setTargets(std::vector<admission::TargetInfo> Targets) -> void {
    m_Dispatcher.setTargets(std::move(Targets), m_Clock.steadyNow());
  }

  auto offer(admission::WorkId Id) -> std::optional<base::Refusal> {
    return m_Dispatcher.offer(makeItem(Id), m_Clock.steadyNow());
  }

  auto poll() -> admission::PollResult { return m_Dispatcher.poll(m_Clock.steadyNow()); }

  base::ManualClock m_Clock;
  admission::Dispatcher m_Dispatcher;
};

} // namespace

// Guards against dispatching new requests to a target that is marked as leaving.
Test(dispatcher, leavingTargetGetsNoNewWork) {
  auto Fixture = DispatcherFixture();
  Fixture.setTargets({makeTargetInfo("a", 4), makeTargetInfo("b", 4)});
  Fixture.m_Dispatcher.markLeaving("a", Fixture.m_Clock.steadyNow());
  for (auto Id = 1; Id <= 8; ++Id) {
    cr_assert_not(Fixture.offer(static_cast<admission::WorkId>(Id)));
  }
  const auto Result = Fixture.poll();
  cr_assert_eq(Result.m_Dispatches.size(), 4U);
  for (const auto &Dispatch : Result.m_Dispatches) {
    cr_assert_eq(Dispatch.m_Target, std::string("b"));
  }
}

// Guards against requests that wait without end for a pool whose targets are all leaving.
Test(dispatcher, refusesWhenNoTargetAcceptsWork) {
  auto Fixture = DispatcherFixture();
  Fixture.setTargets({makeTargetInfo("a", 4)});
  Fixture.m_Dispatcher.markLeaving("a", Fixture.m_Clock.steadyNow());
  const auto Refusal = Fixture.offer(1);
  cr_assert(Refusal && Refusal->m_Code == base::RefusalCode::NoTarget);
  cr_assert(Refusal->m_Verdict == base::Verdict::DidNotRun);
}

// Guards against a queue that grows without bound under overload.
Test(dispatcher, queueIsBounded) {
  auto Options = singleRouterOptions();
  Options.m_QueueLimit = 3;
  auto Fixture = DispatcherFixture(Options);
  Fixture.setTargets({makeTargetInfo("a", 1)});
  for (auto Id = 1; Id <= 3; ++Id) {
    cr_assert_not(Fixture.offer(static_cast<admission::WorkId>(Id)));
  }
  const auto Refusal = Fixture.offer(4);
  cr_assert(Refusal && Refusal->m_Code == base::RefusalCode::QueueFull);
}

// Guards against a slot that stays in use after the caller has cancelled the request.
Test(dispatcher, cancelFreesTheSlot) {
  auto Fixture = DispatcherFixture();
  Fixture.setTargets({makeTargetInfo("a", 1)});
  cr_assert_not(Fixture.offer(1));
  cr_assert_not(Fixture.offer(2));
  cr_assert_eq(Fixture.poll().m_Dispatches.size(), 1U);
  cr_assert(Fixture.poll().m_Dispatches.empty());
  Fixture.m_Dispatcher.cancel(1, Fixture.m_Clock.steadyNow());
  const auto Result = Fixture.poll();
  cr_assert_eq(Result.m_Dispatches.size(), 1U);
  cr_assert_eq(Result.m_Dispatches[0].m_Id, 2U);
}

// Guards against a wrong count of outstanding requests after a target is removed and returns while
// its requests are in flight.
Test(dispatcher, inFlightCountSurvivesRemovalAndReturnOfATarget) {
  auto Fixture = DispatcherFixture();
  Fixture.setTargets({makeTargetInfo("a", 1)});
  cr_assert_not(Fixture.offer(1));
  cr_assert_eq(Fixture.poll().m_Dispatches.size(), 1U);
  Fixture.setTargets({});
  Fixture.setTargets({makeTargetInfo("a", 1)});
  cr_assert_not(Fixture.offer(2));
  cr_assert(Fixture.poll().m_Dispatches.empty());
  Fixture.m_Dispatcher.onEnd(1, {true}, false, Fixture.m_Clock.steadyNow());
  cr_assert_eq(Fixture.poll().m_Dispatches.size(), 1U);
  Fixture.setTargets({});
  Fixture.m_Dispatcher.onEnd(2, {true}, false, Fixture.m_Clock.steadyNow());
  Fixture.setTargets({makeTargetInfo("a", 1)});
  cr_assert_not(Fixture.offer(3));
  cr_assert_eq(Fixture.poll().m_Dispatches.size(), 1U);
}

// Guards against a request that waits beyond its deadline without being rejected.
Test(dispatcher, waitingRequestIsRejectedAtItsDeadline) {
  auto Fixture = DispatcherFixture();
  Fixture.setTargets({makeTargetInfo("a", 1)});
  cr_assert_not(Fixture.offer(1));
  cr_assert_not(Fixture.offer(2));
  const auto First = Fixture.poll();
  cr_assert(First.m_NextPoll.has_value());
  auto Result = First;
  const auto Deadline = Fixture.makeItem(0).m_Deadline;
  while (Result.m_Rejections.empty()) {
    cr_assert(Result.m_NextPoll && *Result.m_NextPoll <= Deadline);
    Fixture.m_Clock.advance(*Result.m_NextPoll - Fixture.m_Clock.steadyNow());
    Result = Fixture.poll();
  }
  cr_assert(Fixture.m_Clock.steadyNow() == Deadline);
  cr_assert_eq(Result.m_Rejections.size(), 1U);
  cr_assert(Result.m_Rejections[0].m_Refusal.m_Code == base::RefusalCode::DeadlineUnreachable);
}

// Guards against a retry on the target that just failed, and against repeating a request that is
// not idempotent and may have run.
Test(dispatcher, retryGoesToAnotherTargetAndOnlyIfAllowed) {
  auto Fixture = DispatcherFixture();
  Fixture.setTargets({makeTargetInfo("a", 4), makeTargetInfo("b", 4)});
  auto Booking = Fixture.makeItem(1);
  Booking.m_Idempotent = false;
  cr_assert_not(Fixture.m_Dispatcher.offer(Booking, Fixture.m_Clock.steadyNow()));
  cr_assert_not(Fixture.offer(2));
  const auto First = Fixture.poll();
  const auto Failure = admission::AttemptEnd{false, base::Verdict::MayHaveRun, false};
  cr_assert_not(Fixture.m_Dispatcher.onEnd(1, Failure, true, Fixture.m_Clock.steadyNow()));
  cr_assert(Fixture.m_Dispatcher.onEnd(2, Failure, true, Fixture.m_Clock.steadyNow()));
  Fixture.m_Clock.advance(std::chrono::seconds{1});
  const auto Second = Fixture.poll();
  cr_assert_eq(Second.m_Dispatches.size(), 1U);
  cr_assert_neq(Second.m_Dispatches[0].m_Target, First.m_Dispatches[1].m_Target);
}

namespace {

/// Simulates one target with one slot behind a single router. Each request runs for one second,
/// which is also the run time that the router has learned to expect.
class SingleSlotTarget {
public:
  SingleSlotTarget() {
    m_Fixture.setTargets({makeTargetInfo("a", 1)});
    // Lets the length estimator learn how long requests run.
    for (auto Round = 0; Round < 200; ++Round) {
      cr_assert_not(offer(std::chrono::seconds{60}));
      finish();
    }
  }

  auto offer(std::chrono::milliseconds TimeLeft) -> std::optional<base::Refusal> {
    auto Item = m_Fixture.makeItem(++m_LastId);
    Item.m_Deadline = m_Fixture.m_Clock.steadyNow() + TimeLeft;
    auto Refusal = m_Fixture.m_Dispatcher.offer(Item, m_Fixture.m_Clock.steadyNow());
    start();
    return Refusal;
  }

  /// Advances the clock by one second and ends the running request.
  auto finish() -> void {
    m_Fixture.m_Clock.advance(std::chrono::seconds{1});
    const auto Ended = m_Running;
    m_Running = 0;
    m_Fixture.m_Dispatcher.onEnd(Ended, {true}, false, m_Fixture.m_Clock.steadyNow());
    start();
  }

  auto start() -> void {
    const auto Result = m_Fixture.poll();
    for (const auto &Dispatch : Result.m_Dispatches) {
      cr_assert_eq(m_Running, 0U);
      m_Running = Dispatch.m_Id;
    }
    m_Rejected += Result.m_Rejections.size();
  }

  DispatcherFixture m_Fixture;
  admission::WorkId m_LastId = 0;
  admission::WorkId m_Running = 0;
  std::size_t m_Rejected = 0;
};

} // namespace

// Guards against queueing a request that cannot meet its deadline, and against a wrong Retry-After:
// one second earlier the request is refused again, at the given time it is accepted and served in
// time.
Test(dispatcher, earlyRefusalGivesAnAccurateRetryAfter) {
  auto Target = SingleSlotTarget();
  for (auto Waiting = 0; Waiting < 10; ++Waiting) {
    cr_assert_not(Target.offer(std::chrono::seconds{60}));
  }
  const auto TimeLeft = std::chrono::milliseconds{4400};
  const auto Refusal = Target.offer(TimeLeft);
  cr_assert(Refusal && Refusal->m_Code == base::RefusalCode::DeadlineUnreachable);
  cr_assert(Refusal->m_RetryAfter.has_value());
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(*Refusal->m_RetryAfter).count();
  cr_assert(Seconds >= 5 && Seconds <= 7, "Retry-After is %ld s", static_cast<long>(Seconds));
  for (auto Passed = std::int64_t{0}; Passed < Seconds - 1; ++Passed) {
    Target.finish();
  }
  cr_assert(Target.offer(TimeLeft).has_value());
  Target.finish();
  cr_assert_not(Target.offer(TimeLeft));
  const auto Accepted = Target.m_LastId;
  for (auto Passed = 0; Passed < 3 || Target.m_Running != Accepted; ++Passed) {
    cr_assert_lt(Passed, 5);
    Target.finish();
  }
  cr_assert_eq(Target.m_Rejected, 0U);
}

// Guards against a class or a workspace that starves behind heavier traffic.
Test(dispatcher, everyClassAndWorkspaceGetsItsShare) {
  auto Target = SingleSlotTarget();
  auto &Fixture = Target.m_Fixture;
  auto Id = admission::WorkId{10000};
  auto Served = std::map<std::string, int>();
  auto Owner = std::map<admission::WorkId, std::string>();
  const auto OfferFor = [&](const char *Workspace, const char *Class, std::int64_t Level,
                            double Share, double Weight) {
    auto Item = Fixture.makeItem(++Id);
    Item.m_Workspace = Workspace;
    Item.m_WorkspaceWeight = Weight;
    Item.m_PriorityClass = Class;
    Item.m_PriorityLevel = Level;
    Item.m_ClassGuaranteedShare = Share;
    Item.m_Deadline = Fixture.m_Clock.steadyNow() + std::chrono::hours{1};
    Owner[Id] = Workspace;
    cr_assert_not(Fixture.m_Dispatcher.offer(Item, Fixture.m_Clock.steadyNow()));
  };
  for (auto Round = 0; Round < 300; ++Round) {
    OfferFor("heavy", "paid", 0, 0.5, 3.0);
    OfferFor("light", "paid", 0, 0.5, 1.0);
    OfferFor("chat", "chat", 1, 0.2, 1.0);
  }
  Target.start();
  for (auto Round = 0; Round < 200; ++Round) {
    ++Served[Owner[Target.m_Running]];
    Target.finish();
  }
  cr_assert(Served["chat"] >= 34 && Served["chat"] <= 46, "chat %d", Served["chat"]);
  cr_assert(Served["light"] >= 34 && Served["light"] <= 46, "light %d", Served["light"]);
  cr_assert_geq(Served["heavy"], 108);
}

// Guards against decisions that depend on anything but the calls and the seed.
Test(dispatcher, sameCallsGiveTheSameDecisions) {
  auto Logs = std::array<std::string, 2>();
  for (auto &Log : Logs) {
    auto Fixture = DispatcherFixture(admission::DispatcherOptions());
    Fixture.setTargets({makeTargetInfo("a", 4), makeTargetInfo("b", 4), makeTargetInfo("c", 4)});
    for (auto Id = admission::WorkId{1}; Id <= 300; ++Id) {
      Fixture.offer(Id);
      Fixture.m_Clock.advance(std::chrono::milliseconds{37});
      Fixture.m_Dispatcher.onLoadReport({"b", 3, 1, std::chrono::milliseconds{200}},
                                        Fixture.m_Clock.steadyNow());
      for (const auto &Dispatch : Fixture.poll().m_Dispatches) {
        Log += Dispatch.m_Target + std::to_string(Dispatch.m_Id) + " ";
      }
      if (Id > 5 && Id % 2 == 0) {
        Fixture.m_Dispatcher.onEnd(Id - 5, {Id % 3 != 0}, true, Fixture.m_Clock.steadyNow());
      }
    }
  }
  cr_assert_not(Logs[0].empty());
  cr_assert(Logs[0] == Logs[1]);
}
