#include "transport/httpclient.h"

#include "transport/asiotimers.h"
#include "transport/tests/earlyserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <list>

using namespace geraniumlift;
using namespace geraniumlift::transport;
using namespace geraniumlift::transport::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A service that numbers its answers. It sends a second copy of the first one after a while.
class RepeatingService {
public:
  RepeatingService(boost::asio::io_context &Loop, AsioTimers &Timers)
      : m_Timers(Timers),
        m_Acceptor(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    accept();
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return m_Acceptor.local_endpoint().port(); }

private:
  struct Connection {
    tcp::socket m_Socket;
    std::array<char, 4096> m_Buffer;
    std::string m_Answer;
  };

  auto accept() -> void {
    m_Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
      if (!Error) {
        read(m_Connections.emplace_back(Connection{std::move(Socket), {}, {}}));
        accept();
      }
    });
  }

  auto read(Connection &Item) -> void {
    Item.m_Socket.async_read_some(boost::asio::buffer(Item.m_Buffer),
                                  [this, &Item](const error_code &Error, std::size_t) {
                                    if (!Error) {
                                      answer(Item);
                                      read(Item);
                                    }
                                  });
  }

  auto answer(Connection &Item) -> void {
    Item.m_Answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{}", ++m_Answers);
    boost::asio::write(Item.m_Socket, boost::asio::buffer(Item.m_Answer));
    if (m_Answers == 1) {
      m_Timers.start(base::SteadyTime::clock::now() + 20ms, [&Item, Copy = Item.m_Answer] {
        boost::asio::write(Item.m_Socket, boost::asio::buffer(Copy));
      });
    }
  }

  AsioTimers &m_Timers;
  tcp::acceptor m_Acceptor;
  std::list<Connection> m_Connections;
  int m_Answers = 0;
};

/// A service that answers one call in parts.
class SlowService {
public:
  SlowService(boost::asio::io_context &Loop, AsioTimers &Timers, int Parts, int SentParts)
      : m_Timers(Timers), m_Parts(Parts), m_SentParts(SentParts), m_Socket(Loop),
        m_Acceptor(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    m_Acceptor.async_accept(m_Socket, [this](const error_code &) {
      write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", m_Parts));
      sendPart();
    });
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return m_Acceptor.local_endpoint().port(); }

private:
  auto write(const std::string &Text) -> void {
    auto Ignored = error_code();
    boost::asio::write(m_Socket, boost::asio::buffer(Text), Ignored);
  }

  auto sendPart() -> void {
    if (m_SentParts-- > 0) {
      write("x");
      m_Timers.start(base::SteadyTime::clock::now() + 30ms, [this] { sendPart(); });
    }
  }

  AsioTimers &m_Timers;
  int m_Parts;
  int m_SentParts;
  tcp::socket m_Socket;
  tcp::acceptor m_Acceptor;
};

/// Plays a call of which so many parts arrive. Returns the length of the answer, or nothing if the
/// call failed, and -1 if it did not end.
auto playSlowCall(int SentParts) -> std::optional<int> {
  constexpr auto Parts = 20;
  auto Loop = boost::asio::io_context();
  auto Timers = AsioTimers(Loop);
  auto Service = SlowService(Loop, Timers, Parts, SentParts);
  auto Client = HttpClient(Loop, Timers, "127.0.0.1", Service.port());
  auto Result = std::optional(-1);
  Client.call({"GET", "/", "", 250ms}, [&Result](const CallResult &Outcome) {
    Result = Outcome.m_Response ? std::optional(static_cast<int>(Outcome.m_Response->m_Body.size()))
                                : std::nullopt;
  });
  Loop.run_for(1500ms);
  cr_expect_eq(Client.lastHeardAt().has_value(), SentParts > 0);
  return Result;
}

} // namespace

// Guards against large answers that never arrive behind a slow link, because a call ends while
// parts of its answer come in, and the next one begins anew.
Test(httpclient, callGoesOnWhilePartsOfItsAnswerArrive) {
  cr_expect(playSlowCall(20) == std::optional(20));
  cr_expect(playSlowCall(3) == std::nullopt, "no part arrives any more");
}

// Guards against a caller that gets the answer of an earlier call, because the service sent a
// second copy of it on a connection that was kept.
Test(httpclient, lateCopyOfAnAnswerIsNotTakenForTheNextOne) {
  auto Loop = boost::asio::io_context();
  auto Timers = AsioTimers(Loop);
  auto Service = RepeatingService(Loop, Timers);
  auto Client = HttpClient(Loop, Timers, "127.0.0.1", Service.port());
  auto Answers = std::vector<std::string>();
  for (auto Call = 0; Call < 3; ++Call) {
    Client.call({"POST", "/", "{}"}, [&Answers](const CallResult &Result) {
      Answers.push_back(Result.m_Response ? Result.m_Response->m_Body : "none");
    });
    Loop.run_for(100ms);
  }
  cr_assert(Answers == (std::vector<std::string>{"1", "2", "3"}));
}

// Guards against a part of an answer that passes for the whole, because the service resets the
// connection while the call's body is still being written.
Test(httpclient, unframedAnswerOfAResetConnectionIsNoResponse) {
  using Ending = EarlyServer::Ending;
  for (const auto Size : UploadBytes) {
    for (const auto How : {Ending::Reset, Ending::LateReset, Ending::HalfCloseAndReset}) {
      auto Loop = boost::asio::io_context();
      auto Timers = AsioTimers(Loop);
      auto Service = EarlyServer(Loop, Timers, "HTTP/1.1 200 OK\r\n\r\n{}", How);
      auto Client = HttpClient(Loop, Timers, "127.0.0.1", Service.port());
      auto Results = std::vector<CallResult>();
      Client.call({"POST", "/", std::string(Size, 'x')},
                  [&Results](const CallResult &Result) { Results.push_back(Result); });
      Loop.run_for(300ms);
      cr_assert_eq(Results.size(), 1U);
      cr_expect_not(Results[0].m_Response.has_value(), "%zu bytes, ending %d", Size,
                    static_cast<int>(How));
    }
  }
}

// Guards against a connection that is kept for the next call while the service still expects the
// rest of this one's body.
Test(httpclient, connectionOfAnEarlyAnswerIsNotKept) {
  auto Loop = boost::asio::io_context();
  auto Timers = AsioTimers(Loop);
  auto Service = EarlyServer(Loop, Timers, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                             EarlyServer::Ending::Stay);
  auto Client = HttpClient(Loop, Timers, "127.0.0.1", Service.port());
  auto Answers = 0;
  Client.call({"POST", "/", std::string(UploadBytes.back(), 'x')},
              [&Answers](const CallResult &Result) { Answers += Result.m_Response ? 1 : 0; });
  Loop.run_for(100ms);
  cr_expect_eq(Answers, 1);
  cr_expect(Service.isClosedByPeer());
}
