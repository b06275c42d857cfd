#include "transport/targetconnector.h"

#include "transport/requestexchange.h"

#include <boost/asio/post.hpp>

namespace geraniumlift::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Verdict;
using boost::system::error_code;

/// Maximum header and body size of a target's response in bytes.
constexpr auto ResponseLimits = http1::MessageLimits{16 * 1024, std::uint64_t{1} << 30U};

/// The connection of one attempt. Its pending operations and the session's handle keep it alive;
/// destroying the handle closes it.
class Attempt final : public IResponseHandler, public std::enable_shared_from_this<Attempt> {
public:
  Attempt(asio::io_context &Loop, base::ITimers &Timers, std::string Head,
          std::shared_ptr<const std::string> Body, bool IsHeadMethod,
          forwarding::ITargetEventHandler &Events)
      : m_Socket(Loop), m_Timers(Timers), m_Head(std::move(Head)), m_Body(std::move(Body)),
        m_IsHeadMethod(IsHeadMethod), m_Events(&Events) {}

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

  auto abort() -> void {
    m_Events = nullptr;
    closeSocket();
    if (const auto Exchange = std::exchange(m_Exchange, nullptr)) {
      Exchange->abort();
    }
  }

  auto pause(bool IsPaused) -> void {
    if (m_Exchange) {
      m_Exchange->pause(IsPaused);
    }
  }

private:
  auto closeSocket() -> void {
    m_Timers.cancel(std::exchange(m_ConnectTimer, 0));
    auto Ignored = error_code();
    m_Socket.close(Ignored);
  }

  auto fail(Verdict Outcome, std::string_view Reason) -> void {
    if (auto *Events = std::exchange(m_Events, nullptr)) {
      closeSocket();
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
    m_Exchange = std::make_shared<RequestExchange>(std::move(m_Socket), ResponseLimits,
                                                   m_IsHeadMethod, shared_from_this());
    m_Exchange->start(std::move(m_Head), std::move(m_Body));
  }

  auto onHead(http1::ResponseHead &Head) -> void override { m_Events->onHead(Head); }

  auto onBody(std::string Bytes) -> void override { m_Events->onBody(std::move(Bytes)); }

  auto onEnd(bool) -> void override {
    auto *Events = m_Events;
    abort();
    Events->onEnd();
  }

  auto onBroken(std::string_view Reason) -> void override { fail(Verdict::MayHaveRun, Reason); }

  tcp::socket m_Socket;
  base::ITimers &m_Timers;
  std::string m_Head;
  std::shared_ptr<const std::string> m_Body;
  bool m_IsHeadMethod;
  forwarding::ITargetEventHandler *m_Events;
  base::TimerId m_ConnectTimer = 0;

  /// Set once the connection is open.
  std::shared_ptr<RequestExchange> m_Exchange;
};

/// The session's handle of an attempt. Destroying it closes the connection.
class AttemptHandle final : public forwarding::ITargetAttempt {
public:
  explicit AttemptHandle(std::shared_ptr<Attempt> Shared) : m_Attempt(std::move(Shared)) {}
  ~AttemptHandle() override { m_Attempt->abort(); }
  auto pause(bool IsPaused) -> void override { m_Attempt->pause(IsPaused); }

private:
  std::shared_ptr<Attempt> m_Attempt;
};

} // namespace

auto TargetConnector::send(const forwarding::TargetRecord &Target, std::string Head,
                           std::shared_ptr<const std::string> Body, bool IsHeadMethod,
                           forwarding::ITargetEventHandler &Events)
    -> std::unique_ptr<forwarding::ITargetAttempt> {
  auto Started = std::make_shared<Attempt>(m_Loop, m_Timers, std::move(Head), std::move(Body),
                                           IsHeadMethod, Events);
  Started->start(Target, m_Clock.steadyNow() + m_ConnectTimeout);
  return std::make_unique<AttemptHandle>(std::move(Started));
}

} // namespace geraniumlift::transport
