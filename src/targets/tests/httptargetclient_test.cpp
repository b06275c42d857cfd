#include "targets/httptargetclient.h"

#include "targets/tests/clientfixture.h"
#include "targets/tests/rawserver.h"
#include "targets/tests/standinprocess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <future>
#include <thread>

using namespace geraniumlift;
using namespace geraniumlift::targets;
using boost::asio::ip::tcp;

namespace {

constexpr auto ForeignEvents = "geraniumlift_targets_foreign_events_total";

auto completionBody(int Tokens) -> std::string {
  return R"({"stream":true,"max_tokens":1000,"x_tokens":)" + std::to_string(Tokens) + "}";
}

/// Describes how a stream differs from a complete one of this many tokens; empty if it does not.
auto describeMismatch(RecordingObserver &Observer, std::size_t Tokens) -> std::string {
  const auto End = Observer.waitForEnd();
  if (!End || !End->m_Complete || End->m_Verdict != base::Verdict::Ran) {
    return "not complete: " + (End ? End->m_Detail : "no end");
  }
  if (End->m_Usage->m_CompletionTokens != static_cast<base::Tokens>(Tokens)) {
    return "wrong usage";
  }
  const auto Events = Observer.events();
  for (std::size_t At = 0; At < Events.size(); ++At) {
    const auto Content = "\"t" + std::to_string(At) + " \"";
    if (Events[At].m_Offset != At || !Events[At].m_Data.starts_with(R"({"id":"ws/key 1")") ||
        Events[At].m_Data.find(Content) == std::string::npos) {
      return "wrong event: " + Events[At].m_Data;
    }
  }
  return Events.size() == Tokens ? "" : "wrong number of events";
}

auto assertComplete(RecordingObserver &Observer, std::size_t Tokens) -> void {
  const auto Mismatch = describeMismatch(Observer, Tokens);
  cr_assert(Mismatch.empty(), "%s", Mismatch.c_str());
}

auto waitUntil(const std::function<bool()> &Condition) -> bool {
  const auto Limit = std::chrono::steady_clock::now() + WaitLimit;
  while (!Condition() && std::chrono::steady_clock::now() < Limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return Condition();
}

} // namespace

// Guards against lost events, a lost usage report and a request that runs twice.
Test(stream, arrivesComplete) {
  auto Engine = StandinProcess(STANDIN_ENGINE, {"--ttft_ms=5", "--token_ms=1"});
  auto Setup = ClientFixture();
  const auto Observer = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(50), Observer);
  assertComplete(*Observer, 50);
  cr_assert_eq(Engine.count("by_request", "ws/key 1"), 1);
  cr_assert_eq(Engine.count("resumed"), 0);
}

// Guards against buffering that delays the first token (the second one is not sent within the
// test), and against a cancellation that leaves the engine generating.
Test(stream, firstEventIsNotDelayedAndCancelReachesTheEngine) {
  auto Engine = StandinProcess(STANDIN_ENGINE, {"--ttft_ms=5", "--token_ms=60000"});
  auto Setup = ClientFixture();
  const auto Observer = std::make_shared<RecordingObserver>();
  const auto Stream = Setup.stream(Engine.url(), completionBody(3), Observer);
  cr_assert(Observer->waitForEvents(1));
  Stream->cancel();
  const auto End = Observer->waitForEnd();
  cr_assert(End && !End->m_Complete && End->m_Verdict == base::Verdict::MayHaveRun);
  cr_assert(waitUntil([&] { return Engine.count("cancelled") == 1; }));
}

// Guards against a destructor that blocks on an open stream, and against calls of an observer after
// it.
Test(stream, clientIsDestroyedWithOpenStreams) {
  auto Engine = StandinProcess(STANDIN_ENGINE, {"--ttft_ms=5", "--token_ms=5"});
  const auto Observer = std::make_shared<RecordingObserver>();
  auto Handle = std::shared_ptr<IEngineStream>();
  auto Setup = std::make_unique<ClientFixture>();
  Handle = Setup->stream(Engine.url(), completionBody(1000), Observer);
  cr_assert(Observer->waitForEvents(2));
  Setup.reset();
  const auto Seen = Observer->events().size();
  Handle->cancel();
  cr_assert(waitUntil([&] { return Engine.count("total") == 1; }));
  cr_assert_eq(Observer->events().size(), Seen);
}

// Guards against a stream that hangs when its connection goes silent, and against gaps or repeats
// after the resumption.
Test(stream, silentConnectionIsResumed) {
  auto Engine = StandinProcess(STANDIN_ENGINE, {"--ttft_ms=5", "--token_ms=20"});
  auto Setup = ClientFixture();
  const auto Observer = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(40), Observer);
  cr_assert(Observer->waitForEvents(3));
  Engine.control(R"({"silent":true})");
  assertComplete(*Observer, 40);
  cr_assert_eq(Engine.count("by_request", "ws/key 1"), 1);
  cr_assert_geq(Engine.count("resumed"), 1);
}

// Guards against a truncated stream that is presented as complete.
Test(stream, cutStreamIsResumed) {
  auto Engine = StandinProcess(STANDIN_ENGINE, {"--ttft_ms=5", "--token_ms=1"});
  Engine.control(R"({"cut_after_events":4})");
  auto Setup = ClientFixture();
  const auto Observer = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(18), Observer);
  assertComplete(*Observer, 18);
  cr_assert_eq(Engine.count("by_request", "ws/key 1"), 1);
  cr_assert_geq(Engine.count("resumed"), 4);
}

// Guards against the delivery of another request's events, both when a few events of a stream and
// when all of them belong to another request.
Test(stream, crossedEventsAreNeverDelivered) {
  auto Engine = StandinProcess(STANDIN_ENGINE, {"--ttft_ms=5", "--token_ms=1"});
  Engine.control(R"({"crossed_events":2})");
  auto Setup = ClientFixture();
  const auto Passing = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(10), Passing);
  assertComplete(*Passing, 10);
  cr_assert_geq(Setup.m_Metrics.counter(ForeignEvents), 2);
  Engine.control(R"({"crossed":true})");
  const auto Lasting = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(10), Lasting);
  const auto End = Lasting->waitForEnd();
  cr_assert(End && !End->m_Complete && End->m_Verdict == base::Verdict::MayHaveRun);
  cr_assert(Lasting->events().empty());
}

// Guards against a wrong verdict when the engine refuses, is leaving, is killed or is not running.
Test(stream, failuresHaveAccurateVerdicts) {
  auto Engine = StandinProcess(STANDIN_ENGINE, {"--ttft_ms=5", "--token_ms=60000"});
  auto Setup = ClientFixture();
  Engine.control(R"({"refuse":true})");
  const auto Refused = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(3), Refused);
  auto End = Refused->waitForEnd();
  cr_assert(End && End->m_Verdict == base::Verdict::DidNotRun && End->m_Status == 503);
  Engine.control(R"({"refuse":false,"leaving":true})");
  const auto Leaving = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(3), Leaving);
  End = Leaving->waitForEnd();
  cr_assert(End && End->m_Verdict == base::Verdict::DidNotRun && End->m_TargetLeaving);
  cr_assert_eq(Engine.count("total"), 0);
  Engine.control(R"({"leaving":false})");
  const auto Killed = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(3), Killed);
  cr_assert(Killed->waitForEvents(1));
  Engine.kill();
  End = Killed->waitForEnd();
  cr_assert(End && !End->m_Complete && End->m_Verdict == base::Verdict::MayHaveRun);
  const auto Absent = std::make_shared<RecordingObserver>();
  Setup.stream(Engine.url(), completionBody(3), Absent);
  End = Absent->waitForEnd();
  cr_assert(End && End->m_Verdict == base::Verdict::DidNotRun && End->m_Status == 0);
}

// Guards against waiting for the whole deadline when a host drops SYN packets. The test uses a
// listener with a full accept queue, which drops them too.
Test(service, unopenedConnectionGivesDidNotRun) {
  auto Context = boost::asio::io_context();
  auto Acceptor = tcp::acceptor(Context);
  Acceptor.open(tcp::v4());
  Acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
  Acceptor.listen(0);
  auto Fillers = std::vector<tcp::socket>();
  for (auto Count = 0; Count < 4; ++Count) {
    // Calls ::connect directly, as Asio's connect waits even on a non-blocking socket.
    auto &Filler = Fillers.emplace_back(Context, tcp::v4());
    Filler.native_non_blocking(true);
    auto Endpoint = Acceptor.local_endpoint();
    const auto Result =
        ::connect(Filler.native_handle(), Endpoint.data(), static_cast<socklen_t>(Endpoint.size()));
    cr_assert(Result == 0 || errno == EINPROGRESS);
  }
  auto Setup = ClientFixture();
  const auto Url = "http://127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  const auto Start = std::chrono::steady_clock::now();
  const auto Result = Setup.call(Url, "POST", false);
  cr_assert(Result.m_Verdict == base::Verdict::DidNotRun, "%s", Result.m_Detail.c_str());
  cr_assert(std::chrono::steady_clock::now() - Start < WaitLimit / 2);
  const auto Absent = "http://127.0.0.1:" + std::to_string(freePort());
  cr_assert(Setup.call(Absent, "POST", false).m_Verdict == base::Verdict::DidNotRun);
}

// Guards against a non-idempotent call that is sent twice, or that is reported as DidNotRun
// although it may have run.
Test(service, dyingServiceGetsOneCallWithMayHaveRun) {
  auto Service = StandinProcess(STANDIN_SERVICE);
  auto Setup = ClientFixture();
  Service.control(R"({"die_before_read":1})");
  cr_assert(Setup.call(Service.url(), "POST", false).m_Verdict == base::Verdict::MayHaveRun);
  cr_assert_eq(Service.count("by_key", "k1"), 0);
  Service.control(R"({"die_after_run":1})");
  cr_assert(Setup.call(Service.url(), "POST", false).m_Verdict == base::Verdict::MayHaveRun);
  cr_assert_eq(Service.count("by_key", "k1"), 1);
  Service.control(R"({"refuse":true})");
  cr_assert(Setup.call(Service.url(), "POST", false).m_Verdict == base::Verdict::DidNotRun);
  cr_assert_eq(Service.count("by_key", "k1"), 1);
}

// Guards against a service that writes an earlier refusal once more on a kept connection: the
// caller of the next request would be told that it did not run.
Test(service, refusalOnAKeptConnectionProvesNothing) {
  const auto Refusal =
      std::string("HTTP/1.1 503 x\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n");
  auto Server = RawServer(Refusal, 2);
  auto Setup = ClientFixture();
  cr_assert(Setup.call(Server.url(), "GET", true).m_Verdict == base::Verdict::DidNotRun);
  const auto Second = Setup.call(Server.url(), "GET", true);
  cr_assert_eq(Second.m_Status, 503);
  cr_assert(Second.m_Verdict == base::Verdict::MayHaveRun);
}

// Guards against following a redirect, which would send a call a second time and to a host that is
// not a target.
Test(service, redirectIsNotFollowed) {
  auto Service = StandinProcess(STANDIN_SERVICE);
  auto Setup = ClientFixture();
  for (const auto *Status : {"302 Found", "307 Temporary Redirect"}) {
    auto Server = RawServer(fmt::format("HTTP/1.1 {}\r\nLocation: {}/book\r\n"
                                        "Content-Length: 0\r\n\r\n",
                                        Status, Service.url()));
    const auto Result = Setup.call(Server.url(), "POST", false);
    cr_assert(Result.m_Verdict == base::Verdict::Ran);
    cr_assert_eq(std::to_string(Result.m_Status), std::string(Status, 3));
  }
  cr_assert_eq(Service.count("total"), 0);
}

// Guards against lost headers, and against the reuse of a pooled connection that went silent.
Test(service, silentPooledConnectionIsReplaced) {
  auto Service = StandinProcess(STANDIN_SERVICE);
  auto Setup = ClientFixture();
  const auto First = Setup.call(Service.url(), "GET", true);
  cr_assert(First.m_Verdict == base::Verdict::Ran && First.m_Status == 200);
  for (const auto *Text : {R"("Idempotency-Key":"k1")", R"("path":"/book?x=1")", "0af7651916cd"}) {
    cr_assert(First.m_Body.find(Text) != std::string::npos, "%s", First.m_Body.c_str());
  }
  Service.control(R"({"silent":true})");
  const auto Booked = Setup.call(Service.url(), "POST", false);
  cr_assert(Booked.m_Verdict == base::Verdict::Ran);
  const auto Silent = Setup.call(Service.url(), "GET", true, std::chrono::milliseconds{400});
  cr_assert(Silent.m_Verdict == base::Verdict::MayHaveRun);
  cr_assert(Setup.call(Service.url(), "GET", true).m_Verdict == base::Verdict::Ran);
  cr_assert_eq(Service.count("total"), 1);
}

// Guards against accepting a truncated or oversized body as a complete response.
Test(service, incompleteAndOversizedResponsesMayHaveRun) {
  auto Setup = ClientFixture();
  const auto Head = std::string("HTTP/1.1 200 OK\r\n");
  for (const auto &Bytes : {Head + "Content-Length: 10\r\n\r\n12345",
                            Head + "Transfer-Encoding: chunked\r\n\r\n5\r\n12",
                            Head + "\r\nno length", std::string("HTTP/1.1 2"),
                            Head + "Content-Length: 1048577\r\n\r\n" + std::string(1048577, 'x')}) {
    auto Server = RawServer(Bytes);
    const auto Result = Setup.call(Server.url(), "POST", false);
    cr_assert(Result.m_Verdict == base::Verdict::MayHaveRun, "%s", Bytes.substr(0, 60).c_str());
    cr_assert(Result.m_Body.empty());
  }
}

// Guards against a load report that is parsed wrongly, and against a result from an engine that is
// not running.
Test(load, isReadFromTheEngine) {
  auto Engine = StandinProcess(STANDIN_ENGINE, {"--load_lag_ms=70"});
  auto Setup = ClientFixture();
  auto Read = [&Setup](const std::string &Url) {
    auto Result = std::promise<absl::StatusOr<EngineLoad>>();
    Setup.m_Client.readLoad(
        Url, [&](const absl::StatusOr<EngineLoad> &Load) { Result.set_value(Load); });
    return Result.get_future().get();
  };
  const auto Load = Read(Engine.url());
  cr_assert(Load.ok() && Load->m_RunningRequests == 0);
  cr_assert(Load->m_Age == std::chrono::milliseconds{70});
  Engine.kill();
  cr_assert_not(Read(Engine.url()).ok());
}
