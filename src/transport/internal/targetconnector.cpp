#include "transport/targetconnector.h"

#include "transport/requestexchange.h"
#include "transport/tunnelserver.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace geraniumlift::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Verdict;
using boost::system::error_code;

/// Maximum header and body size of a target's response in bytes.
constexpr auto ResponseLimits = http1::MessageLimits{16 * 1024, std::uint64_t{1} << 30U};

/// Maximum header size of the answer to a request for a tunnel. The bytes of the target follow.
constexpr auto TunnelLimits = http1::MessageLimits{4 * 1024, std::uint64_t{1} << 31U};

/// How often it is checked whether this router is cut off while connecting is slow.
constexpr auto SlowCheckPeriod = std::chrono::milliseconds(40);

/// A timer that is later than this shows that the process is slow, not the connection.
constexpr auto MaxTimerDelay = std::chrono::milliseconds(25);

constexpr auto StatusOk = 200;
constexpr auto StatusBadGateway = 502;

/// The connection of one attempt. Its pending operations and the session's handle keep it alive;
/// destroying the handle closes it.
class Attempt final : public IResponseHandler, public std::enable_shared_from_this<Attempt> {
public:
  Attempt(asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
          ITargetPath *Path, std::string Head, std::shared_ptr<const std::string> Body,
          bool IsHeadMethod, forwarding::ITargetEventHandler &Events)
      : m_Socket(Loop), m_Timers(Timers), m_Clock(Clock), m_Path(Path), m_Head(std::move(Head)),
        m_Body(std::move(Body)), m_IsHeadMethod(IsHeadMethod), m_Events(&Events) {}

  auto start(const forwarding::TargetRecord &Target, std::chrono::milliseconds ConnectTimeout,
             std::chrono::milliseconds TimeLeft) -> void {
    m_Started = m_Clock.steadyNow();
    m_ConnectBy = m_Started + ConnectTimeout;
    m_TargetId = Target.m_Id;
    auto Ip = Target.m_Address;
    auto Port = Target.m_Port;
    if (m_Path != nullptr) {
      m_Via = m_Path->chooseTunnel();
    }
    if (m_Via) {
      Ip = m_Via->m_Ip;
      Port = m_Via->m_Port;
      m_TunnelRequest = formatTunnelRequest(Target.m_Id, Target.m_Incarnation, TimeLeft);
    }
    auto Error = error_code();
    const auto Address = asio::ip::make_address_v4(Ip, Error);
    if (!Error) {
      m_Socket.open(tcp::v4(), Error);
    }
    if (Error) {
      asio::post(m_Socket.get_executor(),
                 [Self = shared_from_this()] { Self->fail(Verdict::DidNotRun, "no_socket"); });
      return;
    }
    startConnectTimer(m_Path != nullptr && !m_Via
                          ? std::min(m_ConnectBy, m_Started + m_Path->slowConnectTime())
                          : m_ConnectBy);
    m_Socket.async_connect({Address, Port}, [Self = shared_from_this()](const error_code &Failure) {
      Self->onSocketConnected(Failure);
    });
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

  auto startConnectTimer(base::SteadyTime When) -> void {
    m_ConnectTimer = m_Timers.start(When, [Weak = weak_from_this(), When] {
      if (const auto Self = Weak.lock()) {
        Self->m_ConnectTimer = 0;
        Self->onConnectTimer(When);
      }
    });
  }

  auto onConnectTimer(base::SteadyTime When) -> void {
    if (When >= m_ConnectBy) {
      failToConnect(forwarding::ConnectTimeoutReason);
      return;
    }
    const auto Now = m_Clock.steadyNow();
    if (Now - When <= MaxTimerDelay && isHopeless()) {
      fail(Verdict::DidNotRun, forwarding::RouterCutOffReason);
      return;
    }
    startConnectTimer(std::min(m_ConnectBy, Now + SlowCheckPeriod));
  }

  /// Whether connecting is slow because this router is cut off.
  auto isHopeless() -> bool {
    return std::exchange(m_IsSlow, true) ? m_Path->isCutOff()
                                         : m_Path->onDirectConnect(m_TargetId, false, elapsed());
  }

  [[nodiscard]] auto elapsed() const -> std::chrono::milliseconds {
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_Clock.steadyNow() - m_Started);
  }

  /// Handles that the target was not reached. Nothing was sent to it.
  auto failToConnect(std::string_view Reason) -> void {
    if (m_Events == nullptr) {
      return;
    }
    if (m_Via) {
      m_Path->onTunnelEnded(m_Via->m_Name, Reason == forwarding::ConnectTimeoutReason
                                               ? TunnelResult::TimedOut
                                               : TunnelResult::Refused);
      fail(Verdict::DidNotRun, forwarding::RouterCutOffReason);
      return;
    }
    const auto IsCutOff =
        m_Path != nullptr && m_Path->onDirectConnect(m_TargetId, false, elapsed());
    fail(Verdict::DidNotRun, IsCutOff ? forwarding::RouterCutOffReason : Reason);
  }

  auto onSocketConnected(const error_code &Error) -> void {
    if (m_Events == nullptr) {
      return;
    }
    if (Error) {
      failToConnect("connect_failed");
      return;
    }
    auto Ignored = error_code();
    m_Socket.set_option(tcp::no_delay(true), Ignored);
    if (m_Via) {
      openTunnel();
      return;
    }
    if (m_Path != nullptr) {
      m_Path->onDirectConnect(m_TargetId, true, elapsed());
    }
    onConnected();
  }

  auto openTunnel() -> void {
    m_Tunnel.emplace(TunnelLimits);
    asio::async_write(m_Socket, asio::buffer(m_TunnelRequest),
                      [Self = shared_from_this()](const error_code &Error, std::size_t) {
                        if (Error) {
                          Self->failToConnect("tunnel_failed");
                        } else {
                          Self->readTunnelHead();
                        }
                      });
  }

  auto readTunnelHead() -> void {
    m_Socket.async_read_some(
        asio::buffer(m_TunnelBuffer),
        [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
          if (Self->m_Events == nullptr) {
            return;
          }
          const auto Bytes = std::string_view(Self->m_TunnelBuffer.data(), Size);
          if (Error || !Self->m_Tunnel->feed(Bytes).ok()) {
            Self->failToConnect("tunnel_failed");
          } else if (!Self->m_Tunnel->isHeadDone()) {
            Self->readTunnelHead();
          } else {
            Self->onTunnelHead();
          }
        });
  }

  auto onTunnelHead() -> void {
    const auto Status = m_Tunnel->head().m_Status;
    if (Status == StatusOk) {
      m_Path->onTunnelEnded(m_Via->m_Name, TunnelResult::Opened);
      onConnected();
    } else if (Status == StatusBadGateway) {
      // The other router has tried to connect to the target.
      fail(Verdict::DidNotRun, "connect_failed");
    } else {
      failToConnect("tunnel_refused");
    }
  }

  auto onConnected() -> void {
    m_Timers.cancel(std::exchange(m_ConnectTimer, 0));
    m_Events->onConnected();
    if (m_Events == nullptr) {
      return;
    }
    m_Exchange = std::make_shared<RequestExchange>(std::move(m_Socket), ResponseLimits,
                                                   m_IsHeadMethod, shared_from_this());
    if (m_Tunnel) {
      m_Exchange->setTunnel(*std::move(m_Tunnel));
    }
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
  const base::IClock &m_Clock;
  ITargetPath *m_Path;
  std::string m_TargetId;
  base::SteadyTime m_Started;
  base::SteadyTime m_ConnectBy;

  /// Whether connecting has taken longer than usual.
  bool m_IsSlow = false;

  /// The router that carries the connection, and what it is sent and has answered.
  std::optional<TunnelRouter> m_Via;
  std::string m_TunnelRequest;
  std::optional<http1::ResponseParser> m_Tunnel;
  std::array<char, 1024> m_TunnelBuffer{};
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
                           std::chrono::milliseconds TimeLeft,
                           forwarding::ITargetEventHandler &Events)
    -> std::unique_ptr<forwarding::ITargetAttempt> {
  auto Started = std::make_shared<Attempt>(m_Loop, m_Timers, m_Clock, m_Path, std::move(Head),
                                           std::move(Body), IsHeadMethod, Events);
  Started->start(Target, m_ConnectTimeout, TimeLeft);
  return std::make_unique<AttemptHandle>(std::move(Started));
}

} // namespace geraniumlift::transport
