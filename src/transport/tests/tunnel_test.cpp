#include "base/systemclock.h"
#include "transport/asiotimers.h"
#include "transport/targetconnector.h"
#include "transport/tests/earlyserver.h"
#include "transport/tunnelserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace geraniumlift;
using namespace geraniumlift::transport;
using namespace geraniumlift::transport::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Returns a free port of the loopback interface.
auto freePort() -> std::uint16_t {
  auto Loop = boost::asio::io_context();
  return tcp::acceptor(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
      .local_endpoint()
      .port();
}

/// Sends all connections through one router.
struct TunnelledPath final : ITargetPath {
  auto chooseTunnel() -> std::optional<TunnelRouter> override {
    return TunnelRouter{"carrier", "127.0.0.1", m_Port};
  }
  auto onDirectConnect(const std::string &, bool, std::chrono::milliseconds) -> bool override {
    return true;
  }
  [[nodiscard]] auto slowConnectTime() const -> std::chrono::milliseconds override { return 120ms; }
  [[nodiscard]] auto isCutOff() const -> bool override { return true; }
  auto onTunnelEnded(const std::string &Router, TunnelResult Result) -> void override {
    if (Result != TunnelResult::Opened) {
      m_Failed.push_back(Router);
    }
  }

  std::uint16_t m_Port = 0;
  std::vector<std::string> m_Failed;
};

/// Records what an attempt led to.
struct Recorder final : forwarding::ITargetEventHandler {
  auto onConnected() -> void override { m_IsConnected = true; }
  auto onHead(http1::ResponseHead &Head) -> void override { m_Status = Head.m_Status; }
  auto onBody(std::string Bytes) -> void override { m_Body += Bytes; }
  auto onEnd() -> void override { m_HasEnded = true; }
  auto onFailed(base::Verdict Outcome, std::string_view Reason) -> void override {
    m_Verdict = Outcome;
    m_Reason = Reason;
  }
  [[nodiscard]] auto isDone() const -> bool { return m_HasEnded || m_Verdict.has_value(); }

  bool m_IsConnected = false;
  int m_Status = 0;
  std::string m_Body;
  bool m_HasEnded = false;
  std::optional<base::Verdict> m_Verdict;
  std::string m_Reason;
};

/// A connector whose connections another router carries to the target with ID `t`.
struct TunnelFixture {
  explicit TunnelFixture(std::uint16_t TargetPort, TunnelOptions Options = {}) {
    m_Target.m_Id = "t";
    m_Target.m_Incarnation = 7;
    // The connector itself could not reach it.
    m_Target.m_Address = "127.0.0.1";
    m_Target.m_Port = 1;
    m_Server.emplace(
        m_Loop, m_Timers, m_Clock, Options,
        [TargetPort](const std::string &Id, std::int64_t Incarnation) {
          return Id == "t" && Incarnation == 7
                     ? std::optional(TunnelTarget{"127.0.0.1", TargetPort})
                     : std::nullopt;
        },
        [this](const std::string &, bool IsConnected) { m_Reached.push_back(IsConnected); });
    m_Path.m_Port = freePort();
    cr_assert(m_Server->listen("127.0.0.1", m_Path.m_Port).ok());
    m_Connector.setPath(m_Path);
  }

  auto send(std::size_t BodyBytes) -> void {
    m_Attempt = m_Connector.send(
        m_Target, fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", BodyBytes),
        std::make_shared<const std::string>(BodyBytes, 'x'), false, 1000ms, m_Events);
  }

  auto play(std::size_t BodyBytes) -> void {
    send(BodyBytes);
    const auto End = m_Clock.steadyNow() + 5s;
    while (!m_Events.isDone() && m_Clock.steadyNow() < End) {
      m_Loop.run_one_for(100ms);
    }
  }

  boost::asio::io_context m_Loop;
  AsioTimers m_Timers{m_Loop};
  base::SystemClock m_Clock;
  std::optional<TunnelServer> m_Server;
  TunnelledPath m_Path;
  TargetConnector m_Connector{m_Loop, m_Timers, m_Clock, 400ms};
  forwarding::TargetRecord m_Target;
  Recorder m_Events;
  std::vector<bool> m_Reached;
  std::unique_ptr<forwarding::ITargetAttempt> m_Attempt;
};

/// Plays an upload to a target that answers early and ends like this.
auto playEnding(const std::string &Answer, EarlyServer::Ending How, std::size_t BodyBytes)
    -> Recorder {
  auto Loop = boost::asio::io_context();
  auto Timers = AsioTimers(Loop);
  auto Server = EarlyServer(Loop, Timers, Answer, How);
  auto Fixture = TunnelFixture(Server.port());
  Fixture.send(BodyBytes);
  const auto End = Fixture.m_Clock.steadyNow() + 5s;
  while (!Fixture.m_Events.isDone() && Fixture.m_Clock.steadyNow() < End) {
    Loop.run_for(2ms);
    Fixture.m_Loop.run_for(2ms);
  }
  return Fixture.m_Events;
}

} // namespace

// Guards against a router without a way to targets that cannot have another one reach them.
Test(tunnel, answerOfTheTargetArrivesWhole) {
  for (const auto Size : {std::size_t{0}, std::size_t{64} * 1024, std::size_t{1024} * 1024}) {
    for (const auto *Answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\n\r\n{}"}) {
      const auto Events = playEnding(Answer, EarlyServer::Ending::HalfClose, Size);
      cr_expect(Events.m_HasEnded, "%zu bytes: %s", Size, Events.m_Reason.c_str());
      cr_expect_eq(Events.m_Status, 200);
      cr_expect_eq(Events.m_Body, "{}");
    }
  }
}

// Guards against a part of an answer that passes for the whole: the target resets its connection
// behind the other router.
Test(tunnel, unframedAnswerOfAResetConnectionIsNotComplete) {
  using Ending = EarlyServer::Ending;
  for (const auto How : {Ending::Reset, Ending::LateReset, Ending::HalfCloseAndReset}) {
    const auto Events = playEnding("HTTP/1.1 200 OK\r\n\r\n{}", How, std::size_t{1024} * 1024);
    cr_expect_not(Events.m_HasEnded, "ending %d", static_cast<int>(How));
    cr_expect(Events.m_Verdict == std::optional(base::Verdict::MayHaveRun), "ending %d",
              static_cast<int>(How));
  }
}

// Guards against a part of an unframed answer that passes for the whole, because the router that
// carries the connection ends.
Test(tunnel, endOfTheOtherRouterIsNoEndOfTheAnswer) {
  auto Loop = boost::asio::io_context();
  auto Acceptor = tcp::acceptor(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  auto Fixture = TunnelFixture(Acceptor.local_endpoint().port());
  Fixture.send(0);
  Fixture.m_Loop.run_for(50ms);
  auto Target = Acceptor.accept();
  boost::asio::write(Target, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n{}")));
  Fixture.m_Loop.restart();
  Fixture.m_Loop.run_for(50ms);
  cr_assert_eq(Fixture.m_Events.m_Body, "{}");
  Fixture.m_Server.reset();
  Fixture.m_Loop.restart();
  Fixture.m_Loop.run_for(50ms);
  cr_expect_not(Fixture.m_Events.m_HasEnded);
  cr_expect(Fixture.m_Events.m_Verdict == std::optional(base::Verdict::MayHaveRun));
}

// Guards against targets that work on for a caller that has left, behind another router.
Test(tunnel, abortedAttemptReachesTheTarget) {
  auto Loop = boost::asio::io_context();
  auto Acceptor = tcp::acceptor(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  auto Fixture = TunnelFixture(Acceptor.local_endpoint().port());
  Fixture.send(10);
  Fixture.m_Loop.run_for(50ms);
  auto Target = Acceptor.accept();
  auto Request = std::string(256, ' ');
  const auto Size = Target.read_some(boost::asio::buffer(Request));
  cr_expect(Request.substr(0, Size).starts_with("POST / HTTP/1.1"));
  Fixture.m_Attempt.reset();
  Fixture.m_Loop.restart();
  Fixture.m_Loop.run_for(50ms);
  cr_expect_eq(Fixture.m_Server->tunnels(), 0U);
  auto Error = boost::system::error_code();
  boost::asio::read(Target, boost::asio::buffer(Request), Error);
  cr_expect(Error == boost::asio::error::connection_reset || Error == boost::asio::error::eof);
}

// Guards against a target that is blamed for what lies with the other router, and the reverse.
Test(tunnel, failureToConnectSaysWhoseItIs) {
  auto Unreachable = TunnelFixture(freePort());
  Unreachable.play(0);
  cr_expect(Unreachable.m_Events.m_Verdict == std::optional(base::Verdict::DidNotRun));
  cr_expect_eq(Unreachable.m_Events.m_Reason, "connect_failed");
  cr_expect(Unreachable.m_Reached == std::vector<bool>{false});
  cr_expect(Unreachable.m_Path.m_Failed.empty());

  auto Unknown = TunnelFixture(freePort());
  Unknown.m_Target.m_Incarnation = 8;
  Unknown.play(0);
  cr_expect(Unknown.m_Events.m_Verdict == std::optional(base::Verdict::DidNotRun));
  cr_expect_eq(Unknown.m_Events.m_Reason, forwarding::RouterCutOffReason);
  cr_expect_eq(Unknown.m_Path.m_Failed.size(), 1U);

  auto Gone = TunnelFixture(freePort());
  Gone.m_Server.reset();
  Gone.play(0);
  cr_expect_eq(Gone.m_Events.m_Reason, forwarding::RouterCutOffReason);
  cr_expect_not(Gone.m_Events.m_IsConnected);
}

// Guards against a router whose memory the connections of others take up.
Test(tunnel, tunnelsBeyondTheLimitAreRefused) {
  auto Loop = boost::asio::io_context();
  auto Acceptor = tcp::acceptor(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  auto Options = TunnelOptions();
  Options.m_MaxTunnels = 1;
  auto Fixture = TunnelFixture(Acceptor.local_endpoint().port(), Options);
  Fixture.send(0);
  Fixture.m_Loop.run_for(50ms);
  cr_expect(Fixture.m_Events.m_IsConnected);
  auto Second = Recorder();
  const auto Attempt =
      Fixture.m_Connector.send(Fixture.m_Target, "GET / HTTP/1.1\r\n\r\n",
                               std::make_shared<const std::string>(), false, 1000ms, Second);
  Fixture.m_Loop.restart();
  Fixture.m_Loop.run_for(50ms);
  cr_expect_not(Second.m_IsConnected);
  cr_expect_eq(Second.m_Reason, forwarding::RouterCutOffReason);
}

// Guards against connections that ask for nothing and stay.
Test(tunnel, connectionWithoutARequestIsClosed) {
  auto Options = TunnelOptions();
  Options.m_RequestTimeout = 50ms;
  auto Fixture = TunnelFixture(freePort(), Options);
  auto Loop = boost::asio::io_context();
  auto Idle = tcp::socket(Loop);
  auto Garbage = tcp::socket(Loop);
  Idle.connect({boost::asio::ip::address_v4::loopback(), Fixture.m_Path.m_Port});
  Garbage.connect({boost::asio::ip::address_v4::loopback(), Fixture.m_Path.m_Port});
  boost::asio::write(Garbage, boost::asio::buffer(std::string("\x01\x02 no request\r\n\r\n")));
  Fixture.m_Loop.run_for(150ms);
  cr_expect_eq(Fixture.m_Server->tunnels(), 0U);
}
