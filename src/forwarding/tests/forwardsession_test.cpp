#include "forwarding/tests/forwardingfakes.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::forwarding;
using namespace geraniumlift::forwarding::tests;
using namespace std::chrono_literals;
using base::Verdict;

Test(forwardsession, wholeAnswerIsPassedOn) {
  auto World = ForwardingWorld();
  World.request("/book/1");
  World.connect();
  World.answerHead(200, {"signed"});
  World.body("do");
  World.body("ne");
  World.end();
  cr_assert_eq(World.m_Caller->m_Status, 200);
  cr_assert_eq(World.m_Caller->m_Body, "done");
  cr_assert(World.m_Caller->m_Head.m_Fields.has("signed"));
  cr_assert_eq(World.attempts().size(), 1U);
  cr_assert(World.m_Log.has("request_ended", {"request=r1", "result=answered"}));
}

Test(forwardsession, keyAndRouteAreChecked) {
  auto World = ForwardingWorld();
  World.request("/nowhere/1");
  cr_expect_eq(World.m_Caller->m_Status, 404);
  World.request("/book/1", false, "other");
  cr_expect_eq(World.m_Caller->m_Status, 401);
  World.m_Context.m_Table.reset();
  World.request("/book/1");
  cr_expect_eq(World.m_Caller->m_Status, 503);
  cr_expect(World.attempts().empty());
}

// The status 503 promises that the request did not run and never will.
Test(forwardsession, nonIdempotentRequestIsNotRepeatedAfterItMayHaveRun) {
  auto World = ForwardingWorld();
  World.request("/book/1");
  World.connect();
  World.fail(Verdict::MayHaveRun);
  cr_assert_eq(World.attempts().size(), 1U);
  cr_assert_eq(World.m_Caller->m_Status, 502);
  cr_assert(World.m_Log.has("request_refused", {"request=r1", "verdict=may_have_run"}));
}

Test(forwardsession, targetThatDidNotRunTheRequestIsFollowedByAnother) {
  auto World = ForwardingWorld();
  World.request("/book/1");
  World.connect();
  World.answerHead(503, {"not-run"});
  cr_assert_eq(World.attempts().size(), 2U);
  cr_assert_neq(World.attempts()[0]->m_TargetId, World.attempts()[1]->m_TargetId);
  cr_assert(World.attempts()[0]->m_IsClosed);
}

Test(forwardsession, failureToConnectIsNotASend) {
  auto World = ForwardingWorld();
  World.request("/stream/1");
  World.fail(Verdict::DidNotRun);
  cr_assert_eq(World.attempts().size(), 2U);
  World.connect();
  World.answerHead(503, {"not-run"});
  cr_assert_eq(World.attempts().size(), 2U, "only one send is allowed on this route");
  cr_assert_eq(World.m_Caller->m_Status, 503);
}

// A target's own 503 without the mark may come after the request ran.
Test(forwardsession, unmarkedRefusalOfATargetIsNoPromise) {
  for (const auto Status : {408, 429, 503}) {
    auto World = ForwardingWorld();
    World.request("/book/1");
    World.connect();
    World.answerHead(Status, {"signed"});
    cr_expect_eq(World.m_Caller->m_Status, 502);
    cr_expect_not(World.m_Caller->m_Head.m_Fields.has("signed"));
  }
}

Test(forwardsession, answerOfAnotherRequestIsNotPassedOn) {
  auto World = ForwardingWorld();
  World.request("/book/1");
  World.connect();
  World.answerHead(200, {"signed"}, "r0");
  cr_assert_eq(World.m_Caller->m_Status, 502);
}

Test(forwardsession, unsignedSuccessIsNotPassedOn) {
  auto World = ForwardingWorld();
  World.request("/book/1");
  World.connect();
  World.answerHead(200, {});
  cr_assert_eq(World.m_Caller->m_Status, 502);
}

Test(forwardsession, idempotentRequestIsRepeatedAfterAFailure) {
  auto World = ForwardingWorld();
  World.request("/look/1");
  World.connect();
  World.answerHead(500, {"signed"});
  World.end();
  cr_assert_eq(World.attempts().size(), 2U);
  World.connect();
  World.answerHead(500, {"signed"});
  World.end();
  cr_assert_eq(World.m_Caller->m_Status, 500, "the last target's own answer is passed on");
  cr_assert_eq(World.m_Metrics.m_Repeats, 1);
}

Test(forwardsession, repeatsStayWithinTheRetryBudget) {
  auto World = ForwardingWorld();
  World.m_Context.m_Options.m_Retry = {retry::RetryStrategy::Budgeted, 0.0, 3.0, 3, 50ms, 2000ms};
  for (auto Round = 0; Round < 10; ++Round) {
    World.request("/look/1");
    World.connect();
    World.fail(Verdict::MayHaveRun);
  }
  cr_assert_eq(World.m_Metrics.m_Repeats, 3);
}

Test(forwardsession, silentTargetOfARepeatableRequestIsGivenUp) {
  auto World = ForwardingWorld();
  World.request("/look/1");
  World.connect();
  // Twice the route's objective of 600 ms.
  World.m_Timers.runFor(1190ms);
  cr_assert_eq(World.attempts().size(), 1U, "a busy target gets its time");
  World.m_Timers.runFor(20ms);
  cr_assert_eq(World.attempts().size(), 2U);
  cr_assert(World.attempts()[0]->m_IsClosed, "the first target must not go on working");
}

Test(forwardsession, silentTargetOfOtherRequestsIsWaitedFor) {
  auto World = ForwardingWorld();
  World.request("/book/1");
  World.connect();
  World.m_Timers.runFor(1900ms);
  cr_assert_eq(World.m_Caller->m_Status, 0);
  World.m_Timers.runFor(200ms);
  cr_assert_eq(World.m_Caller->m_Status, 504, "the caller's own time has passed");
  cr_assert(World.attempts()[0]->m_IsClosed);
}

Test(forwardsession, callerThatLeavesStopsTheTarget) {
  auto World = ForwardingWorld();
  World.request("/stream/1", true);
  World.connect();
  World.m_Session->onCallerGone();
  cr_assert(World.attempts()[0]->m_IsClosed);
  cr_assert_eq(World.m_Timers.waiting(), 0U, "nothing is left to wake the process");
  cr_assert_eq(World.m_Targets.find(World.attempts()[0]->m_TargetId)->ownLoad().m_Active, 0);
}

Test(forwardsession, eventsAreForwardedWhole) {
  auto World = ForwardingWorld();
  World.request("/stream/1", true);
  World.connect();
  World.answerHead(200, {"signed"});
  World.body("id: 1\ndata: a\n\nid: 2\nda");
  cr_assert_eq(World.m_Caller->m_Body, "id: 1\ndata: a\n\n");
  World.body("ta: b\n\n");
  World.end();
  cr_assert(World.m_Caller->m_IsComplete);
  cr_assert_eq(World.m_Caller->m_Body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

Test(forwardsession, brokenStreamGoesOnAfterItsLastEvent) {
  auto World = ForwardingWorld();
  World.request("/resumable/1", true);
  World.connect();
  World.answerHead(200, {"signed"});
  World.body("id: 1\ndata: a\n\nid: 2\nda");
  World.fail(Verdict::MayHaveRun);
  cr_assert_eq(World.attempts().size(), 2U);
  cr_assert(World.attempts()[1]->m_Head.find("after: 1\r\n") != std::string::npos);
  World.connect();
  World.answerHead(200, {"signed"});
  World.body("id: 2\ndata: b\n\n");
  World.end();
  cr_assert(World.m_Caller->m_IsComplete);
  cr_assert_eq(World.m_Caller->m_Body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

Test(forwardsession, brokenStreamThatMayNotGoOnIsNotCompleted) {
  auto World = ForwardingWorld();
  World.request("/stream/1", true);
  World.connect();
  World.answerHead(200, {"signed"});
  World.body("id: 1\ndata: a\n\n");
  World.fail(Verdict::MayHaveRun);
  cr_assert_eq(World.attempts().size(), 1U);
  cr_assert(World.m_Caller->m_IsBroken);
  cr_assert_not(World.m_Caller->m_IsComplete);
}

Test(forwardsession, streamThatEndsWithinAnEventIsNotComplete) {
  auto World = ForwardingWorld();
  World.request("/stream/1", true);
  World.connect();
  World.answerHead(200, {"signed"});
  World.body("id: 1\ndata: a\n\nid: 2\nda");
  World.end();
  cr_assert(World.m_Caller->m_IsBroken);
}

Test(forwardsession, pausedStreamGoesOnElsewhere) {
  auto World = ForwardingWorld();
  World.request("/resumable/1", true);
  World.connect();
  World.answerHead(200, {"signed"});
  World.body("id: 1\ndata: a\n\n");
  World.m_Timers.runFor(1100ms);
  cr_assert_eq(World.attempts().size(), 2U);
  cr_assert(World.attempts()[0]->m_IsClosed);
}

Test(forwardsession, tokensAreSettledByWhatWasDelivered) {
  auto World = ForwardingWorld();
  World.request("/stream/1", true);
  World.connect();
  World.answerHead(200, {"signed"});
  World.body("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  World.end();
  cr_assert_eq(World.m_Budgets.m_Used, 508, "500 of the prompt and two events of four tokens");
  World.request("/stream/1", true);
  World.connect();
  World.answerHead(503, {"not-run"});
  cr_assert_eq(World.m_Budgets.m_Used, 508, "a request that did not run costs nothing");
  World.request("/stream/1", true);
  World.connect();
  World.fail(Verdict::MayHaveRun);
  cr_assert_eq(World.m_Budgets.m_Used, 1008, "a prompt that may have been read is counted");
}

Test(forwardsession, requestBeyondTheBudgetIsNotSent) {
  auto World = ForwardingWorld();
  World.m_Budgets.m_Left = 599;
  World.request("/stream/1", true);
  cr_expect_eq(World.m_Caller->m_Status, 503);
  cr_expect(World.m_Caller->m_Head.m_Fields.has("Retry-After"));
  World.m_Budgets.m_Refusal = budget::ReservationOutcome::Exhausted;
  World.request("/stream/1", true);
  cr_expect_eq(World.m_Caller->m_Status, 402);
  cr_expect(World.attempts().empty());
}

Test(forwardsession, slowCallerPausesTheTarget) {
  auto World = ForwardingWorld();
  World.request("/stream/1", true);
  World.connect();
  World.answerHead(200, {"signed"});
  World.m_Caller->m_Unsent = std::size_t{1} << 20U;
  World.body("id: 1\ndata: a\n\n");
  cr_assert(World.attempts()[0]->m_IsPaused);
  World.m_Caller->m_Unsent = 0;
  World.m_Session->onCallerReady();
  cr_assert_not(World.attempts()[0]->m_IsPaused);
}

Test(forwardsession, stoppingRouterRefusesAtOnce) {
  auto World = ForwardingWorld();
  World.m_Context.m_IsStopping = true;
  World.request("/book/1");
  cr_assert_eq(World.m_Caller->m_Status, 503);
  cr_assert(World.attempts().empty());
}
