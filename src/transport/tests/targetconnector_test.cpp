#include "transport/targetconnector.h"

#include "base/systemclock.h"
#include "transport/asiotimers.h"
#include "transport/tests/earlyserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace geraniumlift;
using namespace geraniumlift::transport;
using namespace geraniumlift::transport::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A target that answers with fixed bytes, and then repeats others until its peer closes.
class EndlessTarget {
public:
  EndlessTarget(boost::asio::io_context &Loop, std::string Start, std::string Endless)
      : m_Acceptor(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), m_Socket(Loop),
        m_Bytes(std::move(Start)), m_Endless(std::move(Endless)) {
    m_Acceptor.async_accept(m_Socket, [this](const boost::system::error_code &Error) {
      if (!Error) {
        write();
      }
    });
  }

  [[nodiscard]] auto record() const -> forwarding::TargetRecord {
    auto Record = forwarding::TargetRecord();
    Record.m_Id = "t";
    Record.m_Address = "127.0.0.1";
    Record.m_Port = m_Acceptor.local_endpoint().port();
    return Record;
  }

  std::size_t m_Sent = 0;
  bool m_IsClosedByPeer = false;

private:
  auto write() -> void {
    boost::asio::async_write(m_Socket, boost::asio::buffer(m_Bytes),
                             [this](const boost::system::error_code &Error, std::size_t Size) {
                               m_Sent += Size;
                               if (Error) {
                                 m_IsClosedByPeer = true;
                                 return;
                               }
                               m_Bytes = m_Endless;
                               if (!m_Bytes.empty()) {
                                 write();
                               }
                             });
  }

  tcp::acceptor m_Acceptor;
  tcp::socket m_Socket;
  std::string m_Bytes;
  std::string m_Endless;
};

/// Records what an attempt led to.
struct Recorder final : forwarding::ITargetEventHandler {
  auto onConnected() -> void override {}
  auto onHead(http1::ResponseHead &Head) -> void override { m_Status = Head.m_Status; }
  auto onBody(std::string Bytes) -> void override { m_BodyBytes += Bytes.size(); }
  auto onEnd() -> void override { m_HasEnded = true; }
  auto onFailed(base::Verdict Outcome, std::string_view Reason) -> void override {
    m_Verdict = Outcome;
    m_Reason = Reason;
  }

  int m_Status = 0;
  std::size_t m_BodyBytes = 0;
  bool m_HasEnded = false;
  std::optional<base::Verdict> m_Verdict;
  std::string m_Reason;
};

/// Uploads a body to an EarlyServer and waits for the end of the attempt.
auto upload(std::size_t BodyBytes, const std::string &Answer, EarlyServer::Ending How) -> Recorder {
  auto Loop = boost::asio::io_context();
  auto Timers = AsioTimers(Loop);
  auto Clock = base::SystemClock();
  auto Server = EarlyServer(Loop, Timers, Answer, How);
  auto Target = forwarding::TargetRecord();
  Target.m_Address = "127.0.0.1";
  Target.m_Port = Server.port();
  auto Connector = TargetConnector(Loop, Timers, Clock, 400ms);
  auto Events = Recorder();
  const auto Attempt = Connector.send(
      Target, fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", BodyBytes),
      std::make_shared<const std::string>(BodyBytes, 'x'), false, 5000ms, Events);
  const auto End = Clock.steadyNow() + 5s;
  while (!Events.m_HasEnded && !Events.m_Verdict && Clock.steadyNow() < End) {
    Loop.run_one_for(100ms);
  }
  return Events;
}

/// Sends a request to a target that answers like this, and waits for the end of the attempt.
struct Play {
  Play(const std::string &Start, const std::string &Endless) : m_Target(m_Loop, Start, Endless) {
    auto Connector = TargetConnector(m_Loop, m_Timers, m_Clock, 400ms);
    const auto Attempt =
        Connector.send(m_Target.record(), "GET / HTTP/1.1\r\n\r\n",
                       std::make_shared<const std::string>(), false, 5000ms, m_Events);
    const auto End = m_Clock.steadyNow() + 5s;
    while (!m_Events.m_HasEnded && !m_Events.m_Verdict && m_Clock.steadyNow() < End) {
      m_Loop.run_one_for(100ms);
    }
    m_Loop.run_for(50ms);
  }

  boost::asio::io_context m_Loop;
  AsioTimers m_Timers{m_Loop};
  base::SystemClock m_Clock;
  EndlessTarget m_Target;
  Recorder m_Events;
};

} // namespace

// Guards against a target in trouble that sends a header without end: the attempt must end as one
// that may have run, and the connection must be closed.
Test(targetconnector, headerWithoutEndFailsTheAttempt) {
  for (const auto *Endless : {"a: b\r\n", "aaaaaaaa", "HTTP/1.1 "}) {
    const auto Result = Play("HTTP/1.1 200 OK\r\n", Endless);
    cr_assert(Result.m_Events.m_Verdict == base::Verdict::MayHaveRun, "%s", Endless);
    cr_expect(Result.m_Target.m_IsClosedByPeer);
    cr_expect_eq(Result.m_Events.m_Status, 0);
  }
}

// Guards against a request that reaches its target after the caller has left, because the system
// sends the rest of it behind a full link.
Test(targetconnector, abortedAttemptDiscardsWhatIsNotSentYet) {
  auto Loop = boost::asio::io_context();
  auto Clock = base::SystemClock();
  auto Timers = AsioTimers(Loop);
  auto Acceptor = tcp::acceptor(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  auto Target = forwarding::TargetRecord();
  Target.m_Address = "127.0.0.1";
  Target.m_Port = Acceptor.local_endpoint().port();
  auto Connector = TargetConnector(Loop, Timers, Clock, 400ms);
  auto Events = Recorder();
  const auto Body = std::make_shared<const std::string>(std::size_t{256} * 1024, 'x');
  auto Attempt = Connector.send(Target, "POST / HTTP/1.1\r\n\r\n", Body, false, 5000ms, Events);
  auto Peer = Acceptor.accept();
  Loop.run_for(100ms);
  Attempt.reset();
  Loop.restart();
  Loop.run_for(50ms);
  auto Received = std::string(std::size_t{512} * 1024, ' ');
  auto Error = boost::system::error_code();
  const auto Size = boost::asio::read(Peer, boost::asio::buffer(Received), Error);
  cr_expect_lt(Size, Body->size());
  cr_expect(Error == boost::asio::error::connection_reset);
}

Test(targetconnector, interimResponsesWithoutEndFailTheAttempt) {
  const auto Result = Play("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n");
  cr_assert(Result.m_Events.m_Verdict == base::Verdict::MayHaveRun);
  cr_expect_eq(Result.m_Events.m_Reason, "too_many_interim_responses");
  cr_expect(Result.m_Target.m_IsClosedByPeer);
}

Test(targetconnector, finalResponseAfterAnInterimOneIsRead) {
  const auto Result =
      Play("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
  cr_assert(Result.m_Events.m_HasEnded);
  cr_expect_eq(Result.m_Events.m_Status, 200);
  cr_expect_eq(Result.m_Events.m_BodyBytes, 2U);
}

// Guards against bytes after a complete answer that are taken for a part of it or of another one.
Test(targetconnector, bytesAfterTheAnswerAreDropped) {
  const auto Result = Play("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
  cr_assert(Result.m_Events.m_HasEnded);
  cr_expect_eq(Result.m_Events.m_BodyBytes, 2U);
  cr_expect(Result.m_Target.m_IsClosedByPeer);
}

Test(targetconnector, chunkLineWithoutEndFailsTheAttempt) {
  const auto Result =
      Play("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n5;", "extension");
  cr_assert(Result.m_Events.m_Verdict == base::Verdict::MayHaveRun);
  cr_expect_not(Result.m_Events.m_HasEnded, "the answer is not complete");
  cr_expect(Result.m_Target.m_IsClosedByPeer);
}

// Guards against a part of an answer that passes for the whole: the target resets the connection
// while the request is still being written, the write gets the error, and the read sees an end.
Test(targetconnector, unframedAnswerOfAResetConnectionIsNotComplete) {
  using Ending = EarlyServer::Ending;
  for (const auto Size : UploadBytes) {
    for (const auto How : {Ending::Reset, Ending::LateReset, Ending::HalfCloseAndReset}) {
      const auto Events = upload(Size, "HTTP/1.1 200 OK\r\n\r\npart", How);
      cr_expect(Events.m_Verdict == base::Verdict::MayHaveRun, "%zu bytes, ending %d", Size,
                static_cast<int>(How));
      cr_expect_not(Events.m_HasEnded, "%zu bytes, ending %d", Size, static_cast<int>(How));
    }
  }
}

// Guards against taking every early answer for a broken one.
Test(targetconnector, wholeAnswerBeforeTheEndOfTheUploadIsComplete) {
  for (const auto Size : UploadBytes) {
    const auto Unframed =
        upload(Size, "HTTP/1.1 200 OK\r\n\r\nwhole", EarlyServer::Ending::HalfClose);
    cr_expect(Unframed.m_HasEnded, "%zu bytes, no length", Size);
    cr_expect_eq(Unframed.m_BodyBytes, 5U);
    const auto Framed = upload(Size, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                               EarlyServer::Ending::Reset);
    cr_expect(Framed.m_HasEnded, "%zu bytes, with a length", Size);
    cr_expect_eq(Framed.m_BodyBytes, 5U);
  }
}
