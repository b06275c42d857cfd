#include "forwarding/tests/forwardingfakes.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::forwarding;
using namespace geraniumlift::forwarding::tests;
using namespace std::chrono_literals;
using base::Verdict;

Test(forwardsession, wholeAnswerIsPassedOn) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/book/1");
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("do");
  Fixture.body("ne");
  Fixture.end();
  cr_assert_eq(Fixture.m_Caller->m_Status, 200);
  cr_assert_eq(Fixture.m_Caller->m_Body, "done");
  cr_assert(Fixture.m_Caller->m_Head.m_Fields.has("signed"));
  cr_assert_eq(Fixture.attempts().size(), 1U);
  cr_assert(Fixture.m_Log.has("request_ended", {"request=r1", "result=answered"}));
}

Test(forwardsession, keyAndRouteAreChecked) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/nowhere/1");
  cr_expect_eq(Fixture.m_Caller->m_Status, 404);
  Fixture.request("/book/1", false, "other");
  cr_expect_eq(Fixture.m_Caller->m_Status, 401);
  Fixture.m_Context.m_Table.reset();
  Fixture.request("/book/1");
  cr_expect_eq(Fixture.m_Caller->m_Status, 503);
  cr_expect(Fixture.attempts().empty());
}

// Guards against a response with status 503, which tells callers that the request did not run, when
// the target may have run it.
Test(forwardsession, nonIdempotentRequestIsNotRetriedAfterItMayHaveRun) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/book/1");
  Fixture.connect();
  Fixture.fail(Verdict::MayHaveRun);
  cr_assert_eq(Fixture.attempts().size(), 1U);
  cr_assert_eq(Fixture.m_Caller->m_Status, 502);
  cr_assert(Fixture.m_Log.has("request_refused", {"request=r1", "verdict=may_have_run"}));
}

Test(forwardsession, requestThatDidNotRunIsRetriedAtAnotherTarget) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/book/1");
  Fixture.connect();
  Fixture.answerHead(503, {"not-run"});
  cr_assert_eq(Fixture.attempts().size(), 2U);
  cr_assert_neq(Fixture.attempts()[0]->m_TargetId, Fixture.attempts()[1]->m_TargetId);
  cr_assert(Fixture.attempts()[0]->m_IsClosed);
}

Test(forwardsession, connectFailureDoesNotCountAsAttempt) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1");
  Fixture.fail(Verdict::DidNotRun);
  cr_assert_eq(Fixture.attempts().size(), 2U);
  Fixture.connect();
  Fixture.answerHead(503, {"not-run"});
  cr_assert_eq(Fixture.attempts().size(), 2U, "this route allows only one attempt");
  cr_assert_eq(Fixture.m_Caller->m_Status, 503);
}

// Guards against passing on a target's own 408, 429 or 503 without its not-run mark: the target may
// send it after the request ran, but callers take it to mean that the request did not run.
Test(forwardsession, refusalWithoutNotRunMarkIsNotPassedOn) {
  for (const auto Status : {408, 429, 503}) {
    auto Fixture = ForwardingFixture();
    Fixture.request("/book/1");
    Fixture.connect();
    Fixture.answerHead(Status, {"signed"});
    cr_expect_eq(Fixture.m_Caller->m_Status, 502);
    cr_expect_not(Fixture.m_Caller->m_Head.m_Fields.has("signed"));
  }
}

Test(forwardsession, answerOfAnotherRequestIsNotPassedOn) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/book/1");
  Fixture.connect();
  Fixture.answerHead(200, {"signed"}, "r0");
  cr_assert_eq(Fixture.m_Caller->m_Status, 502);
}

Test(forwardsession, unsignedSuccessIsNotPassedOn) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/book/1");
  Fixture.connect();
  Fixture.answerHead(200, {});
  cr_assert_eq(Fixture.m_Caller->m_Status, 502);
}

Test(forwardsession, idempotentRequestIsRetriedAfterAFailure) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/look/1");
  Fixture.connect();
  Fixture.answerHead(500, {"signed"});
  Fixture.end();
  cr_assert_eq(Fixture.attempts().size(), 2U);
  Fixture.connect();
  Fixture.answerHead(500, {"signed"});
  Fixture.end();
  cr_assert_eq(Fixture.m_Caller->m_Status, 500, "the last target's own response is passed on");
  cr_assert_eq(Fixture.m_Metrics.m_Retries, 1);
}

Test(forwardsession, retriesStayWithinTheRetryBudget) {
  auto Fixture = ForwardingFixture();
  Fixture.m_Context.m_Options.m_Retry = {retry::RetryStrategy::Budgeted, 0.0, 3.0, 3, 50ms, 2000ms};
  for (auto Round = 0; Round < 10; ++Round) {
    Fixture.request("/look/1");
    Fixture.connect();
    Fixture.fail(Verdict::MayHaveRun);
  }
  cr_assert_eq(Fixture.m_Metrics.m_Retries, 3);
}

// Guards against a router that keeps the whole fleet's retries because it opened its budget alone.
Test(forwardsession, openRetryBudgetFollowsTheSizeOfTheFleet) {
  auto Fixture = ForwardingFixture();
  Fixture.m_Context.m_Options.m_Retry.m_Burst = 112.0;
  cr_assert_geq(Fixture.m_Context.retryBudget("plain").available(), 100.0);
  Fixture.m_Context.m_Options.m_Retry.m_Burst = 1.5;
  cr_assert_leq(Fixture.m_Context.retryBudget("plain").available(), 1.5);
}

Test(forwardsession, retryableRequestLeavesAnUnresponsiveTarget) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/look/1");
  Fixture.connect();
  // The timeout is twice the route's objective of 600 ms.
  Fixture.m_Timers.runFor(1190ms);
  cr_assert_eq(Fixture.attempts().size(), 1U, "the timeout has not passed yet");
  Fixture.m_Timers.runFor(20ms);
  cr_assert_eq(Fixture.attempts().size(), 2U);
  cr_assert(Fixture.attempts()[0]->m_IsClosed, "the first attempt must be cancelled");
}

Test(forwardsession, nonRetryableRequestWaitsUntilItsDeadline) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/book/1");
  Fixture.connect();
  Fixture.m_Timers.runFor(1900ms);
  cr_assert_eq(Fixture.m_Caller->m_Status, 0);
  Fixture.m_Timers.runFor(200ms);
  cr_assert_eq(Fixture.m_Caller->m_Status, 504, "the caller's deadline has passed");
  cr_assert(Fixture.attempts()[0]->m_IsClosed);
}

Test(forwardsession, callerDisconnectClosesTheAttempt) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.m_Session->onCallerGone();
  cr_assert(Fixture.attempts()[0]->m_IsClosed);
  cr_assert_eq(Fixture.m_Timers.waiting(), 0U, "no timer is left");
  cr_assert_eq(
      Fixture.m_Targets.find(Fixture.attempts()[0]->m_TargetId)->ownLoad().m_ActiveRequests, 0);
}

Test(forwardsession, eventsAreForwardedWhole) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\nid: 2\nda");
  cr_assert_eq(Fixture.m_Caller->m_Body, "id: 1\ndata: a\n\n");
  Fixture.body("ta: b\n\n");
  Fixture.end();
  cr_assert(Fixture.m_Caller->m_IsComplete);
  cr_assert_eq(Fixture.m_Caller->m_Body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

Test(forwardsession, brokenStreamResumesAfterItsLastEvent) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/resumable/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\nid: 2\nda");
  Fixture.fail(Verdict::MayHaveRun);
  cr_assert_eq(Fixture.attempts().size(), 2U);
  cr_assert(Fixture.attempts()[1]->m_Head.find("after: 1\r\n") != std::string::npos);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 2\ndata: b\n\n");
  Fixture.end();
  cr_assert(Fixture.m_Caller->m_IsComplete);
  cr_assert_eq(Fixture.m_Caller->m_Body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against texts joined from two versions of a target's software, in one answer.
Test(forwardsession, brokenStreamResumesOnlyAtItsVersion) {
  for (const auto HasOther : {false, true}) {
    auto Fixture = ForwardingFixture();
    for (const auto *Id : {"e1", "e2", "e3"}) {
      auto Record = ForwardingFixture::target(Id, "engines");
      Record.m_Version = *(Id + 1) == '1' || (HasOther && *(Id + 1) == '2') ? "v1" : "v2";
      Fixture.m_Targets.put(Record);
    }
    Fixture.m_StreamVersions.m_NewVersions = {"v2"};
    Fixture.request("/resumable/1", true);
    Fixture.connect();
    Fixture.answerHead(200, {"signed"});
    Fixture.body("id: 1\ndata: a\n\n");
    Fixture.m_StreamVersions.m_NewVersions.clear();
    Fixture.fail(Verdict::MayHaveRun);
    cr_assert_eq(Fixture.attempts().size(), HasOther ? 2U : 1U);
    cr_expect_eq(Fixture.m_Caller->m_IsAborted, !HasOther);
    if (HasOther) {
      Fixture.connect();
      Fixture.answerHead(200, {"signed"});
      Fixture.body("id: 2\ndata: b\n\n");
      Fixture.end();
      cr_expect(Fixture.m_Caller->m_IsComplete);
    }
  }
}

// Guards against a stream that goes on at a process which has another version, at the ID of the one
// that began it, while this router still has the old registration.
Test(forwardsession, streamContinuesOnlyAtAProcessThatIsStillThere) {
  auto Fixture = ForwardingFixture();
  auto Checked = std::vector<std::string>();
  auto Former = std::set<std::string>();
  Fixture.m_Context.m_TargetCheck = [&](const TargetRecord &Record,
                                        const std::function<void(bool)> &Done) {
    Checked.push_back(Record.m_Id);
    Done(!Former.contains(Record.m_Id));
  };
  Fixture.request("/resumable/1", true);
  cr_expect(Checked.empty(), "a new stream may begin anywhere");
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\n");
  const auto First = Fixture.attempts()[0]->m_TargetId;
  for (const auto *Id : {"e1", "e2", "e3"}) {
    if (Id != First && Former.empty()) {
      Former.insert(Id);
    }
  }
  Fixture.fail(Verdict::MayHaveRun);
  cr_assert_eq(Fixture.attempts().size(), 2U);
  cr_expect_not(Former.contains(Fixture.attempts()[1]->m_TargetId));
  cr_expect_not(Checked.empty());
}

// Guards against texts joined over several requests of a caller.
Test(forwardsession, streamIsTakenUpOnlyAtItsVersion) {
  for (const auto *Version : {"v1", "v2", "v3"}) {
    auto Fixture = ForwardingFixture();
    for (const auto *Id : {"e1", "e2", "e3"}) {
      auto Record = ForwardingFixture::target(Id, "engines");
      Record.m_Version = *(Id + 1) == '2' ? "v2" : "v1";
      Fixture.m_Targets.put(Record);
    }
    Fixture.m_StreamVersions.m_Fallback.reset();
    Fixture.m_StreamVersions.m_Origins[streamversions::streamKey("w", "r0")] = {"engines", Version};
    Fixture.takeUp("/resumable/1", "r0");
    if (std::string(Version) == "v3") {
      cr_expect_eq(Fixture.m_Caller->m_Status, 503);
      cr_expect_eq(Fixture.attempts().size(), 0U);
      continue;
    }
    cr_assert_eq(Fixture.attempts().size(), 1U);
    cr_expect_eq(Fixture.attempts()[0]->m_TargetId == "e2", std::string(Version) == "v2");
    Fixture.connect();
    Fixture.answerHead(200, {"signed"});
    Fixture.body("id: 5\ndata: e\n\n");
    Fixture.end();
    cr_expect(Fixture.m_Caller->m_IsComplete);
  }
}

Test(forwardsession, takeUpOfUnknownOriginIsRefusedAtOnce) {
  auto Fixture = ForwardingFixture();
  Fixture.m_StreamVersions.m_Fallback.reset();
  Fixture.m_StreamVersions.m_Origins[streamversions::streamKey("other", "r0")] = {"engines", ""};
  Fixture.takeUp("/resumable/1", "r0");
  cr_expect_eq(Fixture.m_Caller->m_Status, 503);
  cr_expect(Fixture.m_Log.has("request_refused", {"reason=stream_origin_unknown"}));
  cr_expect_eq(Fixture.attempts().size(), 0U);
  cr_expect_eq(Fixture.m_Budgets.m_Used, 0);
}

// Guards against one stream of a workspace that is taken for another one.
Test(forwardsession, takeUpThatNamesNoStreamIsNotRemembered) {
  auto Fixture = ForwardingFixture();
  Fixture.takeUp("/resumable/1", "", "7");
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 8\ndata: h\n\n");
  cr_expect_eq(Fixture.m_Caller->m_Status, 200);
  cr_expect(Fixture.m_StreamVersions.m_Origins.empty());
}

Test(forwardsession, streamsWaitForTheRecordOfANewVersion) {
  auto Fixture = ForwardingFixture();
  for (const auto *Id : {"e1", "e2", "e3"}) {
    auto Record = ForwardingFixture::target(Id, "engines");
    Record.m_Version = *(Id + 1) == '1' ? "v1" : "v2";
    Fixture.m_Targets.put(Record);
  }
  Fixture.m_StreamVersions.m_NewVersions = {"v2"};
  for (auto Number = 0; Number < 5; ++Number) {
    Fixture.request("/resumable/1", true);
    cr_expect_eq(Fixture.attempts().back()->m_TargetId, "e1");
  }
}

// Guards against the text of an error, or its whole head, in the middle of a stream, and against a
// stream that ends as if it were complete: the target that is to resume it answers with an error.
Test(forwardsession, errorOfTheNextTargetIsNoPartOfTheStream) {
  struct Answer {
    int m_Status;
    std::vector<std::string> m_Marks;
    std::string m_MediaType;
  };
  const auto Error = std::string("{\"error\":\"boom\"}\n\n");
  for (const auto &Next :
       {Answer{500, {"signed"}, "text/event-stream"}, Answer{503, {"not-run"}, ""},
        Answer{503, {"signed"}, "application/json"}, Answer{404, {"signed"}, "text/plain"},
        Answer{200, {"signed"}, "application/json"}, Answer{200, {"signed"}, "text/html"},
        Answer{202, {"signed"}, "text/event-stream"}, Answer{204, {"signed"}, ""},
        Answer{200, {}, "text/event-stream"}, Answer{304, {"signed"}, ""}}) {
    auto Fixture = ForwardingFixture();
    Fixture.request("/resumable/1", true);
    Fixture.connect();
    Fixture.answerHead(200, {"signed"}, "r1", "text/event-stream; charset=utf-8");
    Fixture.body("id: 1\ndata: a\n\nid: 2\nda");
    Fixture.fail(Verdict::MayHaveRun);
    cr_assert_eq(Fixture.attempts().size(), 2U);
    Fixture.connect();
    Fixture.answerHead(Next.m_Status, Next.m_Marks, "r1", Next.m_MediaType);
    if (!Fixture.attempts().back()->m_IsClosed) {
      Fixture.body(Error);
    }
    if (!Fixture.attempts().back()->m_IsClosed) {
      Fixture.end();
    }
    cr_expect_eq(Fixture.m_Caller->m_Body, "id: 1\ndata: a\n\n", "%d %s: %s", Next.m_Status,
                 Next.m_MediaType.c_str(), Fixture.m_Caller->m_Body.c_str());
    cr_expect_not(Fixture.m_Caller->m_IsComplete, "%d %s", Next.m_Status, Next.m_MediaType.c_str());
    cr_expect(Fixture.m_Caller->m_IsAborted);
    cr_expect_eq(Fixture.m_Caller->m_Status, 200);
  }
}

// Guards against a target that sends bytes without end which never become an event: they would fill
// the memory, and the caller would wait until its deadline.
Test(forwardsession, eventWithoutEndFailsTheAttempt) {
  constexpr auto Kilobyte = std::size_t{1024};
  const auto Piece = std::string(16 * Kilobyte, 'x');
  for (const auto *Path : {"/stream/1", "/resumable/1"}) {
    auto Fixture = ForwardingFixture();
    Fixture.request(Path, true);
    Fixture.connect();
    Fixture.answerHead(200, {"signed"});
    Fixture.body("id: 1\ndata: a\n\n");
    auto Sent = std::size_t{0};
    while (!Fixture.attempts()[0]->m_IsClosed && Sent < 1024 * Kilobyte) {
      Fixture.body(Piece);
      Sent += Piece.size();
    }
    cr_expect_leq(Sent, 300 * Kilobyte, "%s", Path);
    cr_expect_not(Fixture.m_Caller->m_IsComplete);
    cr_expect_eq(Fixture.m_Caller->m_Body, "id: 1\ndata: a\n\n", "only whole events are passed on");
    const auto IsResumed = std::string(Path) == "/resumable/1";
    cr_expect_eq(Fixture.attempts().size(), IsResumed ? 2U : 1U);
    cr_expect_eq(Fixture.m_Caller->m_IsAborted, !IsResumed);
  }
}

Test(forwardsession, brokenStreamThatIsNotResumableIsAborted) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\n");
  Fixture.fail(Verdict::MayHaveRun);
  cr_assert_eq(Fixture.attempts().size(), 1U);
  cr_assert(Fixture.m_Caller->m_IsAborted);
  cr_assert_not(Fixture.m_Caller->m_IsComplete);
}

Test(forwardsession, streamThatEndsWithinAnEventIsAborted) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\nid: 2\nda");
  Fixture.end();
  cr_assert(Fixture.m_Caller->m_IsAborted);
}

Test(forwardsession, idleStreamResumesAtAnotherTarget) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/resumable/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\n");
  Fixture.m_Timers.runFor(1100ms);
  cr_assert_eq(Fixture.attempts().size(), 2U);
  cr_assert(Fixture.attempts()[0]->m_IsClosed);
}

Test(forwardsession, tokensAreSettledByDeliveredEvents) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  Fixture.end();
  cr_assert_eq(Fixture.m_Budgets.m_Used, 508,
               "500 prompt tokens and two events of four tokens each");
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(503, {"not-run"});
  cr_assert_eq(Fixture.m_Budgets.m_Used, 508, "a request that did not run costs nothing");
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.fail(Verdict::MayHaveRun);
  cr_assert_eq(Fixture.m_Budgets.m_Used, 1008, "a prompt that may have been read is counted");
}

Test(forwardsession, requestBeyondTheBudgetIsNotSent) {
  auto Fixture = ForwardingFixture();
  Fixture.m_Budgets.m_Left = 599;
  Fixture.request("/stream/1", true);
  cr_expect_eq(Fixture.m_Caller->m_Status, 503);
  cr_expect(Fixture.m_Caller->m_Head.m_Fields.has("Retry-After"));
  Fixture.m_Budgets.m_Refusal = budget::ReservationOutcome::Exhausted;
  Fixture.request("/stream/1", true);
  cr_expect_eq(Fixture.m_Caller->m_Status, 402);
  cr_expect(Fixture.attempts().empty());
}

Test(forwardsession, slowCallerPausesTheTarget) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.m_Caller->m_UnsentBytes = std::size_t{1} << 20U;
  Fixture.body("id: 1\ndata: a\n\n");
  cr_assert(Fixture.attempts()[0]->m_IsPaused);
  Fixture.m_Caller->m_UnsentBytes = 0;
  Fixture.m_Session->onCallerReady();
  cr_assert_not(Fixture.attempts()[0]->m_IsPaused);
}

Test(forwardsession, stoppingRouterRefusesAtOnce) {
  auto Fixture = ForwardingFixture();
  Fixture.m_Context.m_IsStopping = true;
  Fixture.request("/book/1");
  cr_assert_eq(Fixture.m_Caller->m_Status, 503);
  cr_assert(Fixture.attempts().empty());
}

Test(forwardsession, requestWithAQuarantinedPartIsRefusedUnsent) {
  auto Fixture = ForwardingFixture();
  Fixture.m_Quarantine.m_Blocked = {quarantine::hashParts({"shared"})[0]};
  Fixture.request("/resumable/1", true);
  cr_expect_eq(Fixture.m_Caller->m_Status, 503);
  cr_expect_eq(Fixture.m_Caller->m_Head.m_Fields.find("Retry-After").value_or(""), "90.000");
  cr_expect(Fixture.attempts().empty());
  cr_expect(Fixture.m_Log.has(
      "request_refused", {"reason=part_quarantined", "verdict=did_not_run", "shared_part=shared"}));
  cr_expect_eq(Fixture.m_Budgets.m_Left, 1000000);
}

// Guards against a retry that carries a deadly part to the next target.
Test(forwardsession, requestWhoseTargetCrashedIsNotRetriedOnceItsPartIsQuarantined) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/resumable/1", true);
  Fixture.connect();
  Fixture.m_Quarantine.m_Blocked = {quarantine::hashParts({"shared"})[0]};
  Fixture.fail(Verdict::MayHaveRun);
  cr_expect_eq(Fixture.attempts().size(), 1U);
  cr_expect_eq(Fixture.m_Caller->m_Status, 502);
  cr_assert_eq(Fixture.m_Quarantine.m_Lost.size(), 1U);
  cr_expect_eq(Fixture.m_Quarantine.m_Lost[0].first, Fixture.attempts()[0]->m_TargetId);
  cr_expect(Fixture.m_Quarantine.m_Lost[0].second == quarantine::hashParts({"shared"}));
}

Test(forwardsession, streamThatHasBegunClearsItsPartsAndIsResumed) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/resumable/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  cr_expect(Fixture.m_Quarantine.m_Answered.empty(), "a header is not an answer");
  Fixture.body("id: 1\ndata: a\n\n");
  cr_expect(Fixture.m_Quarantine.m_Answered.contains(quarantine::hashParts({"shared"})[0]));
  Fixture.m_Quarantine.m_Blocked = {quarantine::hashParts({"shared"})[0]};
  Fixture.fail(Verdict::MayHaveRun);
  cr_expect(Fixture.m_Quarantine.m_Lost.empty());
  cr_expect_eq(Fixture.attempts().size(), 2U);
}

// Guards against a stream of a crashed target that reaches the caller as a complete empty one.
Test(forwardsession, unframedStreamThatEndsBeforeItsFirstEventIsBroken) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.end();
  cr_expect_eq(Fixture.m_Caller->m_Status, 502);
  cr_expect_eq(Fixture.m_Quarantine.m_Lost.size(), 1U);
}

Test(forwardsession, unframedStreamThatEndsBehindAnEventIsComplete) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\n");
  Fixture.end();
  cr_expect(Fixture.m_Caller->m_IsComplete);
}

Test(forwardsession, framedStreamWithoutEventsIsComplete) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed", "Transfer-Encoding"});
  Fixture.end();
  cr_expect(Fixture.m_Caller->m_IsComplete);
  cr_expect_eq(Fixture.m_Caller->m_Status, 200);
}

// Guards against a stream that was broken in the middle and whose end seems to follow at the target
// that was to resume it.
Test(forwardsession, unframedStreamIsNotCompletedByAResumptionWithoutEvents) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/resumable/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: a\n\n");
  Fixture.fail(Verdict::MayHaveRun);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.end();
  cr_expect(Fixture.m_Caller->m_IsAborted);
  cr_expect_not(Fixture.m_Caller->m_IsComplete);
}

Test(forwardsession, failureToConnectIsNoLostConnection) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/resumable/1", true);
  Fixture.fail(Verdict::DidNotRun);
  cr_expect(Fixture.m_Quarantine.m_Lost.empty());
}

Test(forwardsession, requestWaitsForAPermitOfATargetWithALimit) {
  auto Fixture = ForwardingFixture();
  for (const auto *Id : {"e1", "e2", "e3"}) {
    Fixture.m_Limits.m_Limited.insert(Fixture.m_Targets.find(Id)->limitKey());
  }
  Fixture.request("/stream/1", true);
  cr_expect(Fixture.attempts().empty());
  cr_assert_eq(Fixture.m_Limits.m_Requests.size(), 1U);
  Fixture.m_Limits.answer(true);
  cr_assert_eq(Fixture.attempts().size(), 1U);
  cr_expect(Fixture.m_Limits.m_Permits.empty(), "the permit is used");
}

Test(forwardsession, requestForWhichNoTargetHasAPermitIsRefusedWithTheTimeOfTheNext) {
  auto Fixture = ForwardingFixture();
  for (const auto *Id : {"e1", "e2", "e3"}) {
    Fixture.m_Limits.m_Limited.insert(Fixture.m_Targets.find(Id)->limitKey());
  }
  Fixture.request("/stream/1", true);
  for (auto Number = 0; Number < 3; ++Number) {
    cr_assert_eq(Fixture.m_Limits.m_Requests.size(), 1U);
    Fixture.m_Limits.answer(false);
  }
  cr_expect_eq(Fixture.m_Caller->m_Status, 503);
  cr_expect(
      Fixture.m_Log.has("request_refused", {"reason=targets_limited", "verdict=did_not_run"}));
  const auto Wait = std::stod(std::string(*Fixture.m_Caller->m_Head.m_Fields.find("Retry-After")));
  cr_expect_geq(Wait, 0.4);
  cr_expect(Fixture.attempts().empty());
  cr_expect_eq(Fixture.m_Budgets.m_Left, 1000000);
}

Test(forwardsession, requestThatEndsWhileItWaitsForAPermitIsNotSent) {
  auto Fixture = ForwardingFixture();
  for (const auto *Id : {"e1", "e2", "e3"}) {
    Fixture.m_Limits.m_Limited.insert(Fixture.m_Targets.find(Id)->limitKey());
  }
  Fixture.request("/stream/1", true);
  Fixture.m_Session->onCallerGone();
  Fixture.m_Limits.answer(true);
  cr_expect(Fixture.attempts().empty());
  cr_expect_eq(Fixture.m_Budgets.m_Left, 1000000);
}

Test(forwardsession, limitsThatTargetsNameAreRecorded) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  const auto Key = Fixture.m_Targets.find(Fixture.attempts()[0]->m_TargetId)->limitKey();
  Fixture.answerHead(200, {"signed", "limited"});
  cr_expect(Fixture.m_Limits.m_Stated[Key] == std::optional(2.0));
  Fixture.end();
  Fixture.request("/stream/2", true);
  Fixture.connect();
  Fixture.answerHead(503, {"not-run"});
  cr_expect_not(Fixture.m_Limits.m_Stated
                    .at(Fixture.m_Targets.find(Fixture.attempts().back()->m_TargetId)->limitKey())
                    .has_value());
}

// Guards against a fleet that does not learn what brittle targets turn away.
Test(forwardsession, needsAndRejectionsOfBrittleTargetsAreRecorded) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  const auto First = Fixture.m_Targets.find(Fixture.attempts()[0]->m_TargetId)->limitKey();
  Fixture.answerHead(503, {"not-run", "brittle"});
  cr_expect(Fixture.m_Limits.m_Brittle[First] == std::optional(3.0));
  cr_assert_eq(Fixture.m_Limits.m_Outcomes.size(), 1U);
  cr_expect(Fixture.m_Limits.m_Outcomes[0] == std::pair(First, true));
  Fixture.request("/look/1");
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  cr_assert_eq(Fixture.m_Limits.m_Outcomes.size(), 2U);
  cr_expect_not(Fixture.m_Limits.m_Outcomes[1].second);
}

// Guards against requests that wait behind the full link of their VM until their callers have left.
Test(forwardsession, requestIsRefusedAtOnceWhileHardlyAnyTargetIsReached) {
  auto Fixture = ForwardingFixture();
  for (auto Number = 0; Number < 2; ++Number) {
    Fixture.request("/stream/1");
    for (auto Tries = 0; Tries < 3; ++Tries) {
      Fixture.attempts().back()->m_Events->onFailed(Verdict::DidNotRun, ConnectTimeoutReason);
    }
  }
  auto Sessions = std::vector<std::shared_ptr<ForwardSession>>();
  const auto Before = Fixture.attempts().size();
  for (auto Number = 0; Number < 4; ++Number) {
    Fixture.request("/stream/1");
    Sessions.push_back(Fixture.m_Session);
  }
  cr_expect_eq(Fixture.attempts().size(), Before + 4, "a few are sent, to see whether it ends");
  Fixture.request("/stream/1");
  cr_expect_eq(Fixture.attempts().size(), Before + 4);
  cr_expect_eq(Fixture.m_Caller->m_Status, 503);
  cr_expect(
      Fixture.m_Log.has("request_refused", {"reason=targets_unreachable", "verdict=did_not_run"}));
  cr_expect(Fixture.m_Caller->m_Head.m_Fields.has("Retry-After"));
}

// Guards against requests to a target that says in its responses that it leaves, whatever its
// record in the store says. Every kind of response counts.
Test(forwardsession, targetThatSaysItLeavesGetsNoFurtherRequests) {
  for (const auto &Marks : {std::vector<std::string>{"signed", "leaving"},
                            std::vector<std::string>{"not-run", "leaving"}}) {
    auto Fixture = ForwardingFixture();
    Fixture.request("/book/1");
    Fixture.connect();
    const auto Leaving = Fixture.attempts()[0]->m_TargetId;
    Fixture.answerHead(Marks[0] == "signed" ? 200 : 503, Marks);
    for (auto Number = 0; Number < 5; ++Number) {
      Fixture.request("/book/2");
      Fixture.connect();
      cr_expect_neq(Fixture.attempts().back()->m_TargetId, Leaving);
    }
  }
}

// Guards against requests that wait for a pool that leaves as a whole.
Test(forwardsession, requestIsRefusedAtOnceWhenAllTargetsHaveLeft) {
  auto Fixture = ForwardingFixture();
  for (const auto *Id : {"s1", "s2"}) {
    Fixture.m_Targets.recordLeaving(Id, 0, Fixture.m_Clock.steadyNow());
  }
  Fixture.m_Clock.advance(1500ms);
  Fixture.request("/book/1");
  cr_expect(Fixture.attempts().empty());
  cr_expect_eq(Fixture.m_Caller->m_Status, 503);
  cr_expect(Fixture.m_Log.has("request_refused", {"reason=no_target", "verdict=did_not_run"}));
}

// Guards against requests to a target that has asked for a pause, against its ejection, and against
// callers who all return at the moment when the pause ends.
Test(forwardsession, callersAreToldWhenThePauseOfAllTargetsEnds) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/book/1");
  for (auto Number = 0; Number < 2; ++Number) {
    Fixture.connect();
    Fixture.answerHead(503, {"not-run", "pause"});
  }
  cr_expect_eq(Fixture.attempts().size(), 2U);
  cr_expect_eq(Fixture.m_Caller->m_Status, 503);
  cr_expect_not(Fixture.m_Targets.find("s1")->isEjected(Fixture.m_Clock.steadyNow()));
  cr_expect_eq(Fixture.m_Targets.find("s1")->failureRate(), 0.0);
  auto Times = std::set<std::string>();
  for (auto Number = 0; Number < 8; ++Number) {
    Fixture.request("/book/2");
    const auto RetryAfter =
        std::string(Fixture.m_Caller->m_Head.m_Fields.find("Retry-After").value());
    Times.insert(RetryAfter);
    cr_expect_geq(std::stod(RetryAfter), 3.0);
    cr_expect_leq(std::stod(RetryAfter), 3.75);
  }
  cr_expect_gt(Times.size(), 4U);
  cr_expect_eq(Fixture.attempts().size(), 2U);
  cr_expect(Fixture.m_Log.has("request_refused", {"reason=targets_paused"}));
}

// Guards against the ejection of a target that asks for a pause without saying whether the request
// ran.
Test(forwardsession, pauseIsNoFailureOfTheTarget) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/book/1");
  Fixture.connect();
  const auto Id = Fixture.attempts()[0]->m_TargetId;
  Fixture.answerHead(503, {"pause"});
  cr_expect_eq(Fixture.m_Targets.find(Id)->failureRate(), 0.0);
  cr_expect_eq(Fixture.m_Caller->m_Status, 502);
}

Test(forwardsession, unreadableStatementIsLoggedAndIgnored) {
  auto Fixture = ForwardingFixture();
  for (auto Number = 0; Number < 5; ++Number) {
    Fixture.request("/look/1");
    Fixture.connect();
    Fixture.answerHead(200, {"signed", "odd"});
    Fixture.end();
    cr_expect_eq(Fixture.m_Caller->m_Status, 200);
  }
  cr_expect(Fixture.m_Log.has("target_statement_unreadable", {"count=1"}));
  cr_expect_not(Fixture.m_Log.has("target_statement_unreadable", {"count=3"}));
}

// Guards against requests that leave the router although all targets have just turned others away.
Test(forwardsession, requestIsRefusedWhileAllTargetsAreFull) {
  auto Fixture = ForwardingFixture();
  for (const auto *Id : {"s1", "s2"}) {
    for (auto Number = 0; Number < 30; ++Number) {
      Fixture.m_Targets.recordSent(Id, nullptr, 0, Fixture.m_Clock.steadyNow());
    }
    Fixture.m_Targets.recordTurnedAway(Id, 0, 30, Fixture.m_Clock.steadyNow());
  }
  Fixture.request("/book/");
  cr_expect_eq(Fixture.attempts().size(), 0U);
  cr_expect(Fixture.m_Log.has("request_refused", {"reason=no_room", "verdict=did_not_run"}));
  cr_expect(Fixture.m_Log.has("room_refused", {"why=full"}));
  Fixture.m_Targets.recordEnd("s2");
  Fixture.request("/book/");
  cr_expect_eq(Fixture.attempts().size(), 1U, "a place has become free");
}

// Guards against a target whose answer has no end: it must not take the memory of other answers.
Test(forwardsession, largestAnswerFailsIfAllTakeTooMuchMemory) {
  auto Fixture = ForwardingFixture();
  Fixture.m_Context.m_ResponseBuffers.setLimit(100000);
  Fixture.request("/book/1");
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  const auto Ordinary = Fixture.m_Caller;
  const auto OrdinarySession = Fixture.m_Session;
  const auto OrdinaryAttempt = Fixture.attempts().back();
  OrdinaryAttempt->m_Events->onBody(std::string(20000, 'x'));
  Fixture.request("/book/2");
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  for (auto Part = 0; Part < 5; ++Part) {
    Fixture.body(std::string(16000, 'x'));
  }
  cr_expect_eq(Fixture.m_Caller->m_Status, 0);
  Fixture.body(std::string(16000, 'x'));
  cr_expect_eq(Fixture.m_Caller->m_Status, 502);
  cr_expect(Fixture.attempts().back()->m_IsClosed);
  cr_expect(Fixture.m_Log.has("attempt_failed", {"reason=answers_too_large", "repeats=false"}));
  OrdinaryAttempt->m_Events->onEnd();
  cr_expect_eq(Ordinary->m_Status, 200);
  cr_expect_eq(Ordinary->m_Body.size(), 20000U);
  cr_expect_eq(Fixture.m_Context.m_ResponseBuffers.heldBytes(), 0U);
}

// Guards against incomplete events that are kept apart from other buffers.
Test(forwardsession, incompleteEventsCountAsBuffered) {
  auto Fixture = ForwardingFixture();
  Fixture.request("/stream/1", true);
  Fixture.connect();
  Fixture.answerHead(200, {"signed"});
  Fixture.body("id: 1\ndata: " + std::string(20000, 'x'));
  cr_expect_gt(Fixture.m_Context.m_ResponseBuffers.heldBytes(), 20000U);
  Fixture.body("\n\n");
  cr_expect_eq(Fixture.m_Context.m_ResponseBuffers.heldBytes(), 0U);
  cr_expect_not(Fixture.m_Caller->m_IsAborted);
}

// Guards against requests that are cut without an answer when the router's time to stop is over,
// and against a promise that one did not run which a target has received.
Test(forwardsession, requestsAreAnsweredBeforeTheRouterStops) {
  auto Unsent = ForwardingFixture();
  Unsent.request("/book/1");
  Unsent.m_Session->onRouterStops();
  cr_expect_eq(Unsent.m_Caller->m_Status, 503);
  cr_expect(Unsent.attempts().back()->m_IsClosed);
  auto Sent = ForwardingFixture();
  Sent.request("/book/1");
  Sent.connect();
  Sent.m_Session->onRouterStops();
  cr_expect_eq(Sent.m_Caller->m_Status, 504);
  cr_expect(Sent.attempts().back()->m_IsClosed);
  auto Begun = ForwardingFixture();
  Begun.request("/stream/1", true);
  Begun.connect();
  Begun.answerHead(200, {"signed"});
  Begun.body("id: 1\ndata: a\n\n");
  Begun.m_Session->onRouterStops();
  cr_expect_not(Begun.m_Caller->m_IsAborted, "it has time until the exit");
  Begun.end();
  cr_expect(Begun.m_Caller->m_IsComplete);
}
