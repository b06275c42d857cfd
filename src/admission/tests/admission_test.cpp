#include "admission/dispatcher.h"
#include "base/manualclock.h"

#include <criterion/criterion.h>

using namespace geraniumlift;

namespace {

auto targetNamed(std::string Name, std::int64_t Slots) -> admission::TargetInfo {
  auto Info = admission::TargetInfo();
  Info.m_Name = std::move(Name);
  Info.m_Pool = "pool";
  Info.m_Slots = Slots;
  return Info;
}

/// Options of a router that is alone, so that it may use all slots without a report.
auto aloneOptions() -> admission::DispatcherOptions {
  auto Options = admission::DispatcherOptions();
  Options.m_ExpectedRouters = 1;
  return Options;
}

/// A dispatcher with a clock and helpers that offer requests to its single pool.
class Bench {
public:
  explicit Bench(admission::DispatcherOptions Options = aloneOptions())
      : m_Dispatcher(std::move(Options)) {}

  auto item(admission::WorkId Id) const -> admission::WorkItem {
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
    return m_Dispatcher.offer(item(Id), m_Clock.steadyNow());
  }

  auto poll() -> admission::PollResult { return m_Dispatcher.poll(m_Clock.steadyNow()); }

  base::ManualClock m_Clock;
  admission::Dispatcher m_Dispatcher;
};

} // namespace

// Guards against new work on a target that leaves, be it marked or described as leaving.
Test(dispatcher, leavingTargetGetsNoNewWork) {
  auto Test = Bench();
  Test.setTargets({targetNamed("a", 4), targetNamed("b", 4)});
  Test.m_Dispatcher.markLeaving("a", Test.m_Clock.steadyNow());
  for (auto Id = 1; Id <= 8; ++Id) {
    cr_assert_not(Test.offer(static_cast<admission::WorkId>(Id)));
  }
  const auto Result = Test.poll();
  cr_assert_eq(Result.m_Dispatches.size(), 4U);
  for (const auto &Dispatch : Result.m_Dispatches) {
    cr_assert_eq(Dispatch.m_Target, std::string("b"));
  }
}

// Guards against requests that wait on a leaving pool without an end.
Test(dispatcher, refusesWhenNoTargetAcceptsWork) {
  auto Test = Bench();
  Test.setTargets({targetNamed("a", 4)});
  Test.m_Dispatcher.markLeaving("a", Test.m_Clock.steadyNow());
  const auto Refusal = Test.offer(1);
  cr_assert(Refusal && Refusal->m_Code == base::RefusalCode::NoTarget);
  cr_assert(Refusal->m_Verdict == base::Verdict::DidNotRun);
}

// Guards against memory that grows with the overload.
Test(dispatcher, queueIsBounded) {
  auto Options = aloneOptions();
  Options.m_QueueLimit = 3;
  auto Test = Bench(Options);
  Test.setTargets({targetNamed("a", 1)});
  for (auto Id = 1; Id <= 3; ++Id) {
    cr_assert_not(Test.offer(static_cast<admission::WorkId>(Id)));
  }
  const auto Refusal = Test.offer(4);
  cr_assert(Refusal && Refusal->m_Code == base::RefusalCode::QueueFull);
}

// Guards against a slot that stays taken after its caller went away.
Test(dispatcher, cancelFreesTheSlot) {
  auto Test = Bench();
  Test.setTargets({targetNamed("a", 1)});
  cr_assert_not(Test.offer(1));
  cr_assert_not(Test.offer(2));
  cr_assert_eq(Test.poll().m_Dispatches.size(), 1U);
  cr_assert(Test.poll().m_Dispatches.empty());
  Test.m_Dispatcher.cancel(1, Test.m_Clock.steadyNow());
  const auto Result = Test.poll();
  cr_assert_eq(Result.m_Dispatches.size(), 1U);
  cr_assert_eq(Result.m_Dispatches[0].m_Id, 2U);
}

// Guards against a count that goes wrong when a target is removed and comes back while its requests
// are in flight.
Test(dispatcher, targetsMayGoAndComeBackWithWorkInFlight) {
  auto Test = Bench();
  Test.setTargets({targetNamed("a", 1)});
  cr_assert_not(Test.offer(1));
  cr_assert_eq(Test.poll().m_Dispatches.size(), 1U);
  Test.setTargets({});
  Test.setTargets({targetNamed("a", 1)});
  cr_assert_not(Test.offer(2));
  cr_assert(Test.poll().m_Dispatches.empty());
  Test.m_Dispatcher.onEnd(1, {true}, false, Test.m_Clock.steadyNow());
  cr_assert_eq(Test.poll().m_Dispatches.size(), 1U);
  Test.setTargets({});
  Test.m_Dispatcher.onEnd(2, {true}, false, Test.m_Clock.steadyNow());
  Test.setTargets({targetNamed("a", 1)});
  cr_assert_not(Test.offer(3));
  cr_assert_eq(Test.poll().m_Dispatches.size(), 1U);
}

// Guards against a request that waits beyond its deadline without an answer.
Test(dispatcher, waitingRequestIsRejectedAtItsDeadline) {
  auto Test = Bench();
  Test.setTargets({targetNamed("a", 1)});
  cr_assert_not(Test.offer(1));
  cr_assert_not(Test.offer(2));
  const auto First = Test.poll();
  cr_assert(First.m_NextPoll.has_value());
  Test.m_Clock.advance(*First.m_NextPoll - Test.m_Clock.steadyNow());
  const auto Result = Test.poll();
  cr_assert_eq(Result.m_Rejections.size(), 1U);
  cr_assert(Result.m_Rejections[0].m_Refusal.m_Code == base::RefusalCode::DeadlineUnreachable);
}

// Guards against a retry on the target that just failed, and against a second run of a booking.
Test(dispatcher, retryGoesToAnotherTargetAndOnlyIfAllowed) {
  auto Test = Bench();
  Test.setTargets({targetNamed("a", 4), targetNamed("b", 4)});
  auto Booking = Test.item(1);
  Booking.m_Idempotent = false;
  cr_assert_not(Test.m_Dispatcher.offer(Booking, Test.m_Clock.steadyNow()));
  cr_assert_not(Test.offer(2));
  const auto First = Test.poll();
  const auto Failure = admission::AttemptEnd{false, base::Verdict::MayHaveRun, false};
  cr_assert_not(Test.m_Dispatcher.onEnd(1, Failure, true, Test.m_Clock.steadyNow()));
  cr_assert(Test.m_Dispatcher.onEnd(2, Failure, true, Test.m_Clock.steadyNow()));
  Test.m_Clock.advance(std::chrono::seconds{1});
  const auto Second = Test.poll();
  cr_assert_eq(Second.m_Dispatches.size(), 1U);
  cr_assert_neq(Second.m_Dispatches[0].m_Target, First.m_Dispatches[1].m_Target);
}
