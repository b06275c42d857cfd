#include "transport/targetconnector.h"

#include "http1/messageparser.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace geraniumlift::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Verdict;
using boost::system::error_code;

/// Size of the read buffer in bytes.
constexpr auto ReadBytes = std::size_t{16} * 1024;

/// Maximum header and body size of a target's response in bytes.
constexpr auto ResponseLimits = http1::MessageLimits{64 * 1024, std::uint64_t{1} << 30U};

/// Interim (1xx) responses that a target may send before the final one. Targets of HTTP/1.1 send at
/// most one or two.
constexpr auto MaxInterimResponses = 8;

/// The connection of one attempt. Its pending operations and the session's handle keep it alive;
/// destroying the handle closes it.
class Exchange final : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(asio::io_context &Loop, base::ITimers &Timers, std::string Head,
           std::shared_ptr<const std::string> Body, bool IsHeadMethod,
           forwarding::ITargetEventHandler &Events)
      : m_Socket(Loop), m_Timers(Timers), m_Head(std::move(Head)), m_Body(std::move(Body)),
        m_IsHeadMethod(IsHeadMethod), m_Parser(ResponseLimits, IsHeadMethod), m_Events(&Events) {}

  auto start(const forwarding::TargetRecord &Target, base::SteadyTime ConnectBy) -> void {
    auto Error = error_code();
    const auto Address = asio::ip::make_address_v4(Target.m_Address, Error);
    if (!Error) {
      m_Socket.open(tcp::v4(), Error);
    }
    if (Error) {
      asio::post(m_Socket.get_executor(),
                 [Self = shared_from_this()] { Self->fail(Verdict::DidNotRun, "no_socket"); });
      return;
    }
    m_ConnectTimer = m_Timers.start(ConnectBy, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->m_ConnectTimer = 0;
        Self->fail(Verdict::DidNotRun, forwarding::ConnectTimeoutReason);
      }
    });
    m_Socket.async_connect(
        {Address, Target.m_Port},
        [Self = shared_from_this()](const error_code &Failure) { Self->onConnected(Failure); });
  }

  /// Ends the attempt. If it has not ended by itself, what is not sent yet is discarded: behind a
  /// full link it would reach the target after the caller has left.
  auto abort() -> void {
    if (m_Events != nullptr) {
      auto Ignored = error_code();
      m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    }
    close();
  }

  auto close() -> void {
    m_Events = nullptr;
    m_Timers.cancel(std::exchange(m_ConnectTimer, 0));
    auto Ignored = error_code();
    m_Socket.close(Ignored);
  }

  auto pause(bool IsPaused) -> void {
    m_IsPaused = IsPaused;
    if (!IsPaused && !m_IsReading && m_Events != nullptr) {
      read();
    }
  }

private:
  auto fail(Verdict Outcome, std::string_view Reason) -> void {
    if (auto *Events = std::exchange(m_Events, nullptr)) {
      close();
      Events->onFailed(Outcome, Reason);
    }
  }

  auto onConnected(const error_code &Error) -> void {
    m_Timers.cancel(std::exchange(m_ConnectTimer, 0));
    if (m_Events == nullptr) {
      return;
    }
    if (Error) {
      fail(Verdict::DidNotRun, "connect_failed");
      return;
    }
    auto Ignored = error_code();
    m_Socket.set_option(tcp::no_delay(true), Ignored);
    m_Events->onConnected();
    if (m_Events == nullptr) {
      return;
    }
    const auto Buffers =
        std::array<asio::const_buffer, 2>{asio::buffer(m_Head), asio::buffer(*m_Body)};
    asio::async_write(m_Socket, Buffers,
                      [Self = shared_from_this()](const error_code &, std::size_t) {
                        // After a failed write the read fails too, but it first returns a response
                        // that the target sent before.
                      });
    read();
  }

  auto read() -> void {
    if (m_IsPaused) {
      return;
    }
    m_IsReading = true;
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
          Self->m_IsReading = false;
          Self->onRead(Error, Size);
        });
  }

  auto onRead(const error_code &Error, std::size_t Size) -> void {
    if (m_Events == nullptr) {
      return;
    }
    if (Error == asio::error::eof) {
      onClosed();
      return;
    }
    if (Error) {
      fail(Verdict::MayHaveRun, "reset");
      return;
    }
    auto Bytes = std::string_view(m_Buffer.data(), Size);
    while (!Bytes.empty() && m_Events != nullptr) {
      const auto Used = m_Parser.feed(Bytes);
      if (!Used.ok()) {
        fail(Verdict::MayHaveRun, "not_http");
        return;
      }
      Bytes.remove_prefix(*Used);
      deliver();
      if (m_Parser.isDone() && !skipInterimResponse()) {
        onDone();
        return;
      }
    }
    if (m_Events != nullptr) {
      read();
    }
  }

  auto deliver() -> void {
    if (!m_IsHeadDelivered && m_Parser.isHeadDone()) {
      if (m_Parser.head().m_Status < 200) {
        return;
      }
      m_IsHeadDelivered = true;
      m_Events->onHead(m_Parser.head());
    }
    if (m_IsHeadDelivered && m_Events != nullptr && !m_Parser.body().empty()) {
      m_Events->onBody(std::exchange(m_Parser.body(), {}));
    }
  }

  /// Prepares for the next response if the one that has ended is an interim (1xx) one; the final
  /// one follows, perhaps in the same packet. Returns false for a final response.
  auto skipInterimResponse() -> bool {
    if (m_Events == nullptr || m_IsHeadDelivered) {
      return false;
    }
    m_Parser = http1::ResponseParser(ResponseLimits, m_IsHeadMethod);
    if (++m_InterimResponses > MaxInterimResponses) {
      fail(Verdict::MayHaveRun, "too_many_interim_responses");
    }
    return true;
  }

  auto onDone() -> void {
    if (m_Events == nullptr) {
      return;
    }
    auto *Events = std::exchange(m_Events, nullptr);
    close();
    Events->onEnd();
  }

  auto onClosed() -> void {
    const auto Status = m_Parser.finishAtClose();
    // After an interim response the parser waits for the final one.
    if (!Status.ok() || !m_Parser.isDone()) {
      fail(Verdict::MayHaveRun, "closed_early");
      return;
    }
    deliver();
    onDone();
  }

  tcp::socket m_Socket;
  base::ITimers &m_Timers;
  std::string m_Head;
  std::shared_ptr<const std::string> m_Body;
  bool m_IsHeadMethod;
  http1::ResponseParser m_Parser;
  forwarding::ITargetEventHandler *m_Events;
  base::TimerId m_ConnectTimer = 0;
  int m_InterimResponses = 0;
  bool m_IsHeadDelivered = false;
  bool m_IsPaused = false;
  bool m_IsReading = false;
  std::array<char, ReadBytes> m_Buffer;
};

/// The session's handle of an attempt. Destroying it closes the connection.
class AttemptHandle final : public forwarding::ITargetAttempt {
public:
  explicit AttemptHandle(std::shared_ptr<Exchange> Shared) : m_Exchange(std::move(Shared)) {}
  ~AttemptHandle() override { m_Exchange->abort(); }
  auto pause(bool IsPaused) -> void override { m_Exchange->pause(IsPaused); }

private:
  std::shared_ptr<Exchange> m_Exchange;
};

} // namespace

auto TargetConnector::send(const forwarding::TargetRecord &Target, std::string Head,
                           std::shared_ptr<const std::string> Body, bool IsHeadMethod,
                           forwarding::ITargetEventHandler &Events)
    -> std::unique_ptr<forwarding::ITargetAttempt> {
  auto Connection = std::make_shared<Exchange>(m_Loop, m_Timers, std::move(Head), std::move(Body),
                                               IsHeadMethod, Events);
  Connection->start(Target, m_Clock.steadyNow() + m_ConnectTimeout);
  return std::make_unique<AttemptHandle>(std::move(Connection));
}

} // namespace geraniumlift::transport
