#include "base/manualclock.h"
#include "retry/retrypolicy.h"

#include <criterion/criterion.h>

using namespace geraniumlift;

namespace {

auto failedAttempt(const base::ManualClock &Clock) -> retry::FailedAttempt {
  auto Failed = retry::FailedAttempt();
  Failed.m_Deadline = Clock.steadyNow() + std::chrono::seconds{30};
  return Failed;
}

} // namespace

// Guards against retries that multiply the load while every attempt fails.
Test(retry, outageLimitsRetriesToAShareOfFirstAttempts) {
  auto Clock = base::ManualClock();
  auto Random = base::RandomEngine(7);
  auto Policy = retry::RetryPolicy({});
  auto Retries = 0;
  for (auto Request = 0; Request < 1000; ++Request) {
    Policy.onFirstAttempt();
    Retries += Policy.nextAttempt(failedAttempt(Clock), Clock.steadyNow(), Random) ? 1 : 0;
  }
  cr_assert_leq(Retries, 110);
  cr_assert_geq(Retries, 100);
}

// Guards against running a non-idempotent request twice, such as a booking, because its first
// attempt had already run.
Test(retry, nonIdempotentWorkIsNotRetriedAfterMayHaveRun) {
  auto Clock = base::ManualClock();
  auto Random = base::RandomEngine(7);
  for (const auto &Row : retry::RetryStrategyNames) {
    auto Options = retry::RetryOptions();
    Options.m_Strategy = Row.m_Value;
    auto Policy = retry::RetryPolicy(Options);
    auto Failed = failedAttempt(Clock);
    Failed.m_Idempotent = false;
    cr_assert_not(Policy.nextAttempt(Failed, Clock.steadyNow(), Random));
    Failed.m_Verdict = base::Verdict::DidNotRun;
    cr_assert(Policy.nextAttempt(Failed, Clock.steadyNow(), Random));
  }
}

// Guards against simultaneous retries and against retries after the deadline.
Test(retry, backoffGrowsWithJitterAndEndsAtTheDeadline) {
  auto Clock = base::ManualClock();
  auto Random = base::RandomEngine(7);
  auto Options = retry::RetryOptions();
  Options.m_MaxAttempts = 9;
  auto Policy = retry::RetryPolicy(Options);
  auto Failed = failedAttempt(Clock);
  Failed.m_Attempts = 4;
  const auto Next = Policy.nextAttempt(Failed, Clock.steadyNow(), Random);
  cr_assert(Next && *Next - Clock.steadyNow() >= std::chrono::milliseconds{200});
  cr_assert(*Next - Clock.steadyNow() <= std::chrono::milliseconds{400});
  Failed.m_Deadline = Clock.steadyNow() + std::chrono::milliseconds{10};
  cr_assert_not(Policy.nextAttempt(Failed, Clock.steadyNow(), Random));
}
