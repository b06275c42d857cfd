#include "gatewayfakes.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::gateway;

namespace {

auto testObjects() -> objects::ObjectSet {
  auto Set = objects::ObjectSet();
  Set.m_Budgets["office"] = {"office"};
  Set.m_PriorityClasses["paid"] = {"paid", 1, 0.5};
  Set.m_Workspaces["office"] = {"office", "office", "paid", 1.0, {base::sha256Hex("key")}};
  auto Engines = objects::ModelPool();
  Engines.m_Name = "advice";
  Engines.m_Models = {"fern"};
  Set.m_ModelPools["advice"] = Engines;
  auto Bookings = objects::ModelPool();
  Bookings.m_Name = "bookings";
  Bookings.m_Kind = objects::TargetKind::Service;
  Bookings.m_Idempotent = false;
  Bookings.m_TokensPerCall = 5;
  Set.m_ModelPools["bookings"] = Bookings;
  auto Target = objects::Target();
  Target.m_Name = "target";
  Target.m_Pool = "advice";
  Target.m_Url = "http://127.0.0.1:1";
  Set.m_Targets["target"] = Target;
  return Set;
}

/// A gateway whose dependencies are all fakes.
struct Fixture {
  Fixture() {
    m_Configuration.m_Snapshot = std::make_shared<configuration::Snapshot>(
        configuration::Snapshot{1, "publication", testObjects()});
    m_Dispatcher.m_Target = "target";
    m_Gateway.emplace(GatewayOptions{{"entry-1", 1}},
                      GatewayDependencies{m_Clock, m_Scheduler, m_Configuration, m_Budgets,
                                          m_Claims, m_Dispatcher, m_Targets, m_Peers, m_Forwarder,
                                          m_Metrics, m_Tracer});
  }

  auto send(std::string Method, const std::string &Path, std::string Body,
            std::map<std::string, std::string, std::less<>> Headers = {})
      -> std::shared_ptr<FakeExchange> {
    Headers.emplace("authorization", "Bearer key");
    auto Exchange = std::make_shared<FakeExchange>(
        CallerRequest{std::move(Method), Path, Path, std::move(Headers), std::move(Body)});
    m_Gateway->handle(Exchange);
    m_Scheduler.runFor(std::chrono::nanoseconds{0});
    return Exchange;
  }

  auto sendCompletion(bool Stream) -> std::shared_ptr<FakeExchange> {
    return send("POST", "/v1/chat/completions",
                std::string(R"({"model":"fern","messages":[{"role":"user","content":"water"}],)") +
                    R"("stream":)" + (Stream ? "true" : "false") + "}");
  }

  auto book(const std::string &Key) -> std::shared_ptr<FakeExchange> {
    return send("POST", "/services/bookings/refill", "{}", {{"idempotency-key", Key}});
  }

  auto event(std::size_t Stream, std::uint64_t Offset, const std::string &Text) -> void {
    m_Targets.m_Streams.at(Stream)->onEvent(
        {Offset, R"({"choices":[{"delta":{"content":")" + Text + R"("}}]})"});
    m_Scheduler.runFor(std::chrono::nanoseconds{0});
  }

  auto end(std::size_t Stream, targets::StreamEnd End) -> void {
    m_Targets.m_Streams.at(Stream)->onEnd(std::move(End));
    m_Scheduler.runFor(std::chrono::nanoseconds{0});
  }

  auto answerService(std::size_t Index, targets::ServiceResult Result) -> void {
    m_Targets.m_ServiceCalls.at(Index)(std::move(Result));
    m_Scheduler.runFor(std::chrono::nanoseconds{0});
  }

  auto settle() -> void {
    m_Budgets.settleAll();
    m_Scheduler.runFor(std::chrono::nanoseconds{0});
  }

  base::ManualClock m_Clock;
  fakes::ManualScheduler m_Scheduler{m_Clock};
  FakeConfiguration m_Configuration;
  FakeBudgets m_Budgets;
  FakeClaims m_Claims;
  FakeDispatcher m_Dispatcher;
  FakeTargets m_Targets;
  FakePeers m_Peers;
  FakeForwarder m_Forwarder;
  NullMetrics m_Metrics;
  RecordingTracer m_Tracer;
  std::optional<Gateway> m_Gateway;
};

const auto CompleteEnd =
    targets::StreamEnd{true, base::Verdict::Ran, 200, false, targets::Usage{10, 2}, ""};
const auto TruncatedEnd =
    targets::StreamEnd{false, base::Verdict::MayHaveRun, 200, false, std::nullopt, "cut"};
const auto Booked =
    targets::ServiceResult{base::Verdict::Ran, 200, "application/json", "{\"id\":1}", false, ""};

} // namespace

// Guards against a stream that is completed before its bill is settled.
Test(gateway, endMarkerWaitsForTheBill) {
  auto Test = Fixture();
  const auto Exchange = Test.sendCompletion(true);
  Test.event(0, 0, "a");
  cr_assert(Exchange->m_Written.find("\"a\"") != std::string::npos);
  Test.end(0, CompleteEnd);
  cr_assert(Exchange->m_Written.find("[DONE]") == std::string::npos);
  cr_assert_eq(Test.m_Budgets.m_Billed, 12);
  Test.settle();
  cr_assert(Exchange->m_Written.ends_with("data: [DONE]\n\n"));
  cr_assert(Exchange->m_Ended);
}

// Guards against a non-streamed response that is sent before its bill is settled or loses text.
Test(gateway, nonStreamedResponseCombinesEvents) {
  auto Test = Fixture();
  const auto Exchange = Test.sendCompletion(false);
  Test.event(0, 0, "wa");
  Test.event(0, 1, "ter");
  Test.end(0, CompleteEnd);
  cr_assert_not(Exchange->m_Response.has_value());
  Test.settle();
  cr_assert(Exchange->answered("\"content\":\"water\""));
}

// Guards against a truncated stream that is presented as complete, or billed.
Test(gateway, truncatedStreamIsAbortedAndNotBilled) {
  auto Test = Fixture();
  const auto Exchange = Test.sendCompletion(true);
  Test.event(0, 0, "a");
  Test.end(0, TruncatedEnd);
  cr_assert(Exchange->m_Aborted);
  cr_assert_not(Exchange->m_Ended);
  cr_assert(Exchange->m_Written.find("[DONE]") == std::string::npos);
  cr_assert_eq(Test.m_Budgets.m_Billed, 0);
  cr_assert(Test.m_Budgets.m_Open.empty());
}

// Guards against events of an abandoned attempt that reach the caller after a retry.
Test(gateway, eventsOfAnEarlierAttemptAreDropped) {
  auto Test = Fixture();
  Test.m_Dispatcher.m_Retries = 1;
  const auto Exchange = Test.sendCompletion(true);
  Test.end(0, TruncatedEnd);
  cr_assert_eq(Test.m_Targets.m_Streams.size(), 2U);
  Test.event(0, 0, "late");
  Test.event(1, 0, "fresh");
  cr_assert(Exchange->m_Written.find("late") == std::string::npos);
  cr_assert(Exchange->m_Written.find("fresh") != std::string::npos);
}

// Guards against a caller that disconnects before the end of its stream to avoid the bill.
Test(gateway, callerThatDisconnectsPaysForGeneratedTokens) {
  auto Test = Fixture();
  const auto Exchange = Test.sendCompletion(true);
  Test.event(0, 0, "a");
  Test.event(0, 1, "b");
  Exchange->m_OnDisconnect();
  Test.m_Scheduler.runFor(std::chrono::nanoseconds{0});
  cr_assert_eq(Test.m_Budgets.m_Billed, 2);
  cr_assert_eq(Test.m_Dispatcher.m_Cancelled, 1);
  auto Idle = false;
  Test.m_Gateway->whenIdle([&] { Idle = true; });
  Test.m_Scheduler.runFor(std::chrono::nanoseconds{0});
  cr_assert(Idle);
}

// Guards against a request with an unknown API key or a malformed body that reserves tokens.
Test(gateway, invalidRequestsReserveNothing) {
  auto Test = Fixture();
  cr_assert(Test.send("POST", "/v1/chat/completions", "{}", {{"authorization", "Bearer no"}})
                ->answered("unknown_key"));
  cr_assert(Test.send("POST", "/v1/chat/completions", "{")->answered("bad_request"));
  cr_assert(Test.send("POST", "/v1/chat/completions", R"({"model":"oak","messages":[1]})")
                ->answered("unknown_model"));
  cr_assert(Test.send("POST", "/services/bookings/refill", "{}", {{"x-deadline-ms", "-1"}})
                ->answered("bad_request"));
  cr_assert_eq(Test.m_Budgets.m_Reserved, 0U);
}

// Guards against a non-idempotent call that is sent without an idempotency key, which is needed to
// recognise its retry.
Test(gateway, bookingWithoutIdempotencyKeyIsNotRun) {
  auto Test = Fixture();
  const auto Exchange = Test.send("POST", "/services/bookings/refill", "{}");
  cr_assert(Exchange->answered("idempotency_key_required"));
  cr_assert(Exchange->answered("did_not_run"));
  cr_assert(Test.m_Targets.m_ServiceCalls.empty());
}

// Guards against a booking whose response is sent before it is stored for retries, or not billed.
Test(gateway, bookingIsStoredThenBilled) {
  auto Test = Fixture();
  const auto Exchange = Test.book("k1");
  Test.answerService(0, Booked);
  cr_assert(Test.m_Claims.m_Stored.has_value());
  cr_assert_not(Exchange->m_Response.has_value());
  Test.settle();
  cr_assert(Exchange->answered("\"id\":1"));
  cr_assert_eq(Test.m_Budgets.m_Billed, 5);
}

// Guards against abandoning the claim of a booking that may have run, which would let a retry run
// it again.
Test(gateway, bookingThatMayHaveRunKeepsItsClaim) {
  auto Test = Fixture();
  const auto Exchange = Test.book("k1");
  Test.answerService(0, {base::Verdict::MayHaveRun, 0, "", "", false, "silent"});
  cr_assert(Exchange->answered("may_have_run"));
  cr_assert_eq(Test.m_Claims.m_Abandoned, 0);
  cr_assert_eq(Test.m_Targets.m_ServiceCalls.size(), 1U);
  cr_assert(Test.m_Budgets.m_Open.empty());
}

// Guards against a claim that blocks retries of a booking that provably did not run.
Test(gateway, bookingThatDidNotRunAbandonsItsClaim) {
  auto Test = Fixture();
  const auto Exchange = Test.book("k1");
  Test.answerService(0, {base::Verdict::DidNotRun, 0, "", "", false, "refused"});
  cr_assert(Exchange->answered("did_not_run"));
  cr_assert_eq(Test.m_Claims.m_Abandoned, 1);
}

// Guards against a retry that runs concurrently with the attempt in flight.
Test(gateway, retryJoinsTheBookingInFlight) {
  auto Test = Fixture();
  const auto First = Test.book("k1");
  const auto Retry = Test.book("k1");
  Test.answerService(0, Booked);
  Test.settle();
  cr_assert(First->answered("\"id\":1"));
  cr_assert(Retry->answered("\"id\":1"));
  cr_assert_eq(Test.m_Targets.m_ServiceCalls.size(), 1U);
  cr_assert_eq(Test.m_Budgets.m_Billed, 5);
}

// Guards against a retry that gets a definite outcome although none is known, or that runs again.
Test(gateway, claimOfAnUnknownRouterHasUnknownOutcome) {
  auto Test = Fixture();
  Test.m_Claims.m_Result = claims::ClaimedElsewhere{{"entry-2", 7}};
  const auto Exchange = Test.book("k1");
  cr_assert(Exchange->answered("outcome_unknown"));
  cr_assert(Exchange->answered("may_have_run"));
  cr_assert(Test.m_Targets.m_ServiceCalls.empty());
}

// Guards against a refusal while another router could serve the request, and against forwarding
// loops.
Test(gateway, requestWithoutGrantIsForwardedOnce) {
  auto Test = Fixture();
  Test.m_Budgets.m_Refusal =
      base::Refusal{base::RefusalCode::BudgetUnavailable, base::Verdict::DidNotRun, "no grant"};
  Test.m_Peers.m_Peers = {{{"entry-2", 1}, "http://127.0.0.1:2"}};
  Test.sendCompletion(true);
  cr_assert_eq(Test.m_Forwarder.m_Forwarded.size(), 1U);
  const auto Again = Test.send("POST", "/v1/chat/completions", R"({"model":"fern","messages":[1]})",
                               {{"x-geraniumlift-forwarded", "proof"}});
  cr_assert_eq(Test.m_Forwarder.m_Forwarded.size(), 1U);
  cr_assert(Again->answered("budget_unavailable"));
}

// Guards against a request that gets no response when every peer is unreachable.
Test(gateway, unreachablePeerYieldsTheRefusal) {
  auto Test = Fixture();
  Test.m_Budgets.m_Refusal =
      base::Refusal{base::RefusalCode::BudgetUnavailable, base::Verdict::DidNotRun, "no grant"};
  Test.m_Peers.m_Peers = {{{"entry-2", 1}, "http://127.0.0.1:2"}};
  Test.m_Forwarder.m_Outcome = ForwardOutcome::NotSent;
  cr_assert(Test.sendCompletion(true)->answered("budget_unavailable"));
}

// Guards against spans that do not belong to one trace.
Test(gateway, spansShareTheCallersTrace) {
  auto Test = Fixture();
  const auto Trace = std::string("4bf92f3577b34da6a3ce929d0e0e4736");
  Test.send("POST", "/v1/chat/completions", R"({"model":"fern","messages":[1],"stream":true})",
            {{"traceparent", "00-" + Trace + "-00f067aa0ba902b7-01"}});
  Test.event(0, 0, "a");
  Test.end(0, CompleteEnd);
  Test.settle();
  cr_assert_geq(Test.m_Tracer.m_Spans.size(), 5U);
  for (const auto &Span : Test.m_Tracer.m_Spans) {
    cr_assert_eq(Span.m_Context.m_TraceId, Trace);
  }
}

// Guards against different requests with the same idempotency key that are billed as one.
Test(gateway, keyReusedWithAnotherBodyIsAnotherRequest) {
  auto Test = Fixture();
  const auto Ask = [&](const char *Message) {
    Test.send("POST", "/v1/chat/completions",
              std::string(R"({"model":"fern","messages":[")") + Message + "\"]}",
              {{"idempotency-key", "k1"}});
  };
  Ask("water");
  Ask("water");
  Ask("light");
  cr_assert_eq(Test.m_Budgets.m_RequestIds[0], Test.m_Budgets.m_RequestIds[1]);
  cr_assert_neq(Test.m_Budgets.m_RequestIds[0], Test.m_Budgets.m_RequestIds[2]);
}

// Guards against a router that reports itself ready before its gateway knows the configuration: it
// then answers 401 to valid keys.
Test(gateway, generationIsInForceOnlyWhenRequestsAreHandledByIt) {
  auto Test = Fixture();
  cr_assert_eq(Test.m_Gateway->generationInForce(), 1U);
  Test.m_Gateway->setConfiguration(std::make_shared<configuration::Snapshot>(
      configuration::Snapshot{2, "publication", testObjects()}));
  cr_assert_eq(Test.m_Gateway->generationInForce(), 1U, "the scheduler has not run yet");
  Test.m_Scheduler.runFor(std::chrono::nanoseconds{0});
  cr_assert_eq(Test.m_Gateway->generationInForce(), 2U);
}
