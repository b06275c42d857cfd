#include "transport/tunnelserver.h"

#include "http1/messageparser.h"
#include "transport/internal/listener.h"
#include "transport/internal/socketstate.h"

#include <absl/strings/numbers.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <set>

namespace geraniumlift::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr auto TunnelPath = "/tunnel";
constexpr auto TargetField = "Target";
constexpr auto IncarnationField = "Incarnation";
constexpr auto TimeLeftField = "Time-Left";

constexpr auto ListenBacklog = 256;
constexpr auto RequestLimits = http1::MessageLimits{4 * 1024, 0};

/// Delay before accepting again after a failure, which is most likely a lack of file descriptors.
constexpr auto AcceptRetryDelay = milliseconds(50);

/// How often it is checked whether a target that has ended its side reads the rest of a request.
constexpr auto UploadCheckPeriod = milliseconds(10);

/// Longest time that a tunnel may be asked for.
constexpr auto MaxTimeLeft = milliseconds(600000);

template <typename Number>
auto readNumber(const http1::HeaderFields &Fields, std::string_view Name) -> std::optional<Number> {
  auto Value = Number{0};
  const auto Text = Fields.find(Name);
  if (!Text || !absl::SimpleAtoi(std::string(*Text), &Value)) {
    return std::nullopt;
  }
  return Value;
}

auto formatReply(int Status, std::string_view Phrase, http1::Framing Body) -> std::string {
  return http1::formatResponseHead({Status, std::string(Phrase), {}}, Body, 0);
}

class Tunnel;

} // namespace

struct TunnelServerState : std::enable_shared_from_this<TunnelServerState> {
  TunnelServerState(asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
                    TunnelOptions Options, TunnelServer::Resolver Resolve,
                    TunnelServer::ConnectObserver OnConnectEnded)
      : m_Acceptor(Loop), m_Timers(Timers), m_Clock(Clock), m_Options(Options),
        m_Resolve(std::move(Resolve)), m_OnConnectEnded(std::move(OnConnectEnded)) {}

  auto open(const std::string &Address, std::uint16_t Port) -> absl::Status;
  auto accept() -> void;
  auto onAccepted(const error_code &Error, tcp::socket Socket) -> void;

  tcp::acceptor m_Acceptor;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  TunnelOptions m_Options;
  TunnelServer::Resolver m_Resolve;
  TunnelServer::ConnectObserver m_OnConnectEnded;
  std::set<std::shared_ptr<Tunnel>> m_Tunnels;
  std::uint64_t m_Opened = 0;
};

namespace {

/// One connection of another router and the connection to its target.
class Tunnel final : public std::enable_shared_from_this<Tunnel> {
public:
  Tunnel(tcp::socket Router, std::weak_ptr<TunnelServerState> Server, base::ITimers &Timers,
         const base::IClock &Clock, const TunnelOptions &Options)
      : m_Router(std::move(Router)), m_Target(m_Router.get_executor()), m_Server(std::move(Server)),
        m_Timers(Timers), m_Clock(Clock), m_Options(Options), m_Parser(RequestLimits) {}

  auto start() -> void {
    auto Ignored = error_code();
    m_Router.set_option(tcp::no_delay(true), Ignored);
    restartTimer(m_Options.m_RequestTimeout);
    readRequest();
  }

  /// Ends both connections, so that both sides see that the rest is missing.
  auto abort() -> void;

private:
  auto restartTimer(milliseconds Limit) -> void {
    m_Timers.cancel(m_Timer);
    m_Timer = m_Timers.start(m_Clock.steadyNow() + Limit, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->m_Timer = 0;
        Self->onTimeout();
      }
    });
  }

  auto onTimeout() -> void {
    if (m_IsConnecting) {
      onConnected(asio::error::timed_out);
      return;
    }
    abort();
  }

  auto readRequest() -> void {
    m_Router.async_read_some(
        asio::buffer(m_FromRouter),
        [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
          Self->onRequestRead(Error, Size);
        });
  }

  auto onRequestRead(const error_code &Error, std::size_t Size) -> void {
    if (Error) {
      abort();
      return;
    }
    const auto Used = m_Parser.feed(std::string_view(m_FromRouter.data(), Size));
    if (!Used.ok() || *Used != Size) {
      abort();
      return;
    }
    if (!m_Parser.isDone()) {
      readRequest();
      return;
    }
    connect();
  }

  auto connect() -> void;
  auto onConnected(const error_code &Error) -> void;

  /// Answers that there is no tunnel, and closes.
  auto refuse(int Status, std::string_view Phrase) -> void {
    m_ToRouter = formatReply(Status, Phrase, http1::Framing::Length);
    asio::async_write(
        m_Router, asio::buffer(m_ToRouter),
        [Self = shared_from_this()](const error_code &, std::size_t) { Self->closeAll(false); });
  }

  /// Copies what the router sends to the target.
  auto copyUp() -> void {
    m_Router.async_read_some(
        asio::buffer(m_FromRouter),
        [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
          if (Error) {
            Self->abort();
            return;
          }
          Self->m_IsUploading = true;
          asio::async_write(Self->m_Target, asio::buffer(Self->m_FromRouter.data(), Size),
                            [Self](const error_code &Failure, std::size_t) {
                              Self->m_IsUploading = false;
                              // A whole response may have arrived before the write failed.
                              Self->m_HasUploadFailed |= Failure.failed();
                              if (!Self->m_HasUploadFailed) {
                                Self->copyUp();
                              }
                            });
        });
  }

  /// Copies what the target sends to the router, in chunks.
  auto copyDown() -> void {
    m_Target.async_read_some(
        asio::buffer(m_FromTarget),
        [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
          if (Error == asio::error::eof) {
            Self->onTargetEnded();
            return;
          }
          if (Error) {
            Self->abort();
            return;
          }
          Self->send(http1::formatChunk(std::string_view(Self->m_FromTarget.data(), Size)),
                     &Tunnel::copyDown);
        });
  }

  auto onTargetEnded() -> void {
    if (m_HasUploadFailed || hasPendingError(m_Target)) {
      abort();
      return;
    }
    // A target that has ended only its own side reads the rest of the request. One that has ended
    // resets the connection instead.
    if (m_IsUploading || hasUnacknowledgedBytes(m_Target)) {
      m_Timers.start(m_Clock.steadyNow() + UploadCheckPeriod, [Weak = weak_from_this()] {
        const auto Self = Weak.lock();
        if (Self && Self->m_Target.is_open()) {
          Self->onTargetEnded();
        }
      });
      return;
    }
    restartTimer(m_Options.m_Grace);
    send(std::string(http1::LastChunk), &Tunnel::endRouterSide);
  }

  /// The router closes the connection once it has read the end.
  auto endRouterSide() -> void {
    auto Ignored = error_code();
    m_Router.shutdown(tcp::socket::shutdown_send, Ignored);
  }

  auto send(std::string Bytes, void (Tunnel::*Next)()) -> void {
    m_ToRouter = std::move(Bytes);
    asio::async_write(m_Router, asio::buffer(m_ToRouter),
                      [Self = shared_from_this(), Next](const error_code &Error, std::size_t) {
                        if (Error) {
                          Self->abort();
                        } else {
                          (Self.get()->*Next)();
                        }
                      });
  }

  auto closeAll(bool IsAborted) -> void;

  tcp::socket m_Router;
  tcp::socket m_Target;
  std::weak_ptr<TunnelServerState> m_Server;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  const TunnelOptions m_Options;
  http1::RequestParser m_Parser;
  std::string m_TargetId;
  base::TimerId m_Timer = 0;
  bool m_IsConnecting = false;
  bool m_IsUploading = false;
  bool m_HasUploadFailed = false;
  std::string m_ToRouter;
  std::array<char, 16384> m_FromRouter;
  std::array<char, 16384> m_FromTarget;
};

auto Tunnel::connect() -> void {
  const auto Server = m_Server.lock();
  const auto &Fields = m_Parser.head().m_Fields;
  const auto Id = Fields.find(TargetField);
  const auto Incarnation = readNumber<std::int64_t>(Fields, IncarnationField);
  const auto TimeLeft = readNumber<std::int64_t>(Fields, TimeLeftField);
  if (!Server || m_Parser.head().m_Target != TunnelPath || !Id || !Incarnation || !TimeLeft ||
      *TimeLeft < 0) {
    refuse(400, "Bad Request");
    return;
  }
  m_TargetId = *Id;
  const auto Address = Server->m_Resolve(m_TargetId, *Incarnation);
  if (!Address) {
    refuse(404, "Not Found");
    return;
  }
  if (Server->m_Tunnels.size() > m_Options.m_MaxTunnels) {
    refuse(503, "Service Unavailable");
    return;
  }
  auto Error = error_code();
  const auto Ip = asio::ip::make_address_v4(Address->m_Ip, Error);
  if (!Error) {
    m_Target.open(tcp::v4(), Error);
  }
  if (Error) {
    refuse(503, "Service Unavailable");
    return;
  }
  m_IsConnecting = true;
  restartTimer(m_Options.m_ConnectTimeout);
  m_Target.async_connect(
      {Ip, Address->m_Port},
      [Self = shared_from_this()](const error_code &Failure) { Self->onConnected(Failure); });
}

auto Tunnel::onConnected(const error_code &Error) -> void {
  if (!std::exchange(m_IsConnecting, false)) {
    return;
  }
  const auto Server = m_Server.lock();
  if (Server) {
    Server->m_OnConnectEnded(m_TargetId, !Error);
  }
  if (Error || !Server) {
    auto Ignored = error_code();
    m_Target.close(Ignored);
    refuse(502, "Bad Gateway");
    return;
  }
  ++Server->m_Opened;
  auto Ignored = error_code();
  m_Target.set_option(tcp::no_delay(true), Ignored);
  const auto TimeLeft =
      readNumber<std::int64_t>(m_Parser.head().m_Fields, TimeLeftField).value_or(0);
  restartTimer(std::min(milliseconds(TimeLeft), MaxTimeLeft) + m_Options.m_Grace);
  copyUp();
  send(formatReply(200, "OK", http1::Framing::Chunked), &Tunnel::copyDown);
}

auto Tunnel::abort() -> void { closeAll(true); }

auto Tunnel::closeAll(bool IsAborted) -> void {
  m_Timers.cancel(std::exchange(m_Timer, 0));
  m_IsConnecting = false;
  auto Ignored = error_code();
  if (IsAborted) {
    // What is not sent yet is discarded: it would reach the target after the caller has left.
    m_Target.set_option(asio::socket_base::linger(true, 0), Ignored);
  }
  m_Target.close(Ignored);
  m_Router.close(Ignored);
  if (const auto Server = m_Server.lock()) {
    Server->m_Tunnels.erase(shared_from_this());
  }
}

} // namespace

auto TunnelServerState::open(const std::string &Address, std::uint16_t Port) -> absl::Status {
  auto Status = openListener(m_Acceptor, Address, Port, ListenBacklog);
  if (Status.ok()) {
    accept();
  }
  return Status;
}

auto TunnelServerState::accept() -> void {
  m_Acceptor.async_accept([Self = shared_from_this()](const error_code &Error, tcp::socket Socket) {
    Self->onAccepted(Error, std::move(Socket));
  });
}

auto TunnelServerState::onAccepted(const error_code &Error, tcp::socket Socket) -> void {
  if (Error == asio::error::operation_aborted) {
    return;
  }
  if (Error) {
    m_Timers.start(m_Clock.steadyNow() + AcceptRetryDelay, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->accept();
      }
    });
    return;
  }
  const auto Item =
      std::make_shared<Tunnel>(std::move(Socket), weak_from_this(), m_Timers, m_Clock, m_Options);
  m_Tunnels.insert(Item);
  Item->start();
  accept();
}

TunnelServer::TunnelServer(asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
                           TunnelOptions Options, Resolver Resolve, ConnectObserver OnConnectEnded)
    : m_State(std::make_shared<TunnelServerState>(Loop, Timers, Clock, Options, std::move(Resolve),
                                                  std::move(OnConnectEnded))) {}

TunnelServer::~TunnelServer() {
  auto Ignored = error_code();
  m_State->m_Acceptor.close(Ignored);
  for (const auto &Item : std::set(m_State->m_Tunnels)) {
    Item->abort();
  }
}

auto TunnelServer::listen(const std::string &Address, std::uint16_t Port) -> absl::Status {
  return m_State->open(Address, Port);
}

auto TunnelServer::tunnels() const -> std::size_t { return m_State->m_Tunnels.size(); }

auto TunnelServer::openedTunnels() const -> std::uint64_t { return m_State->m_Opened; }

auto formatTunnelRequest(const std::string &TargetId, std::int64_t Incarnation,
                         milliseconds TimeLeft) -> std::string {
  auto Head = http1::RequestHead{"GET", TunnelPath, {}};
  Head.m_Fields.add(TargetField, TargetId);
  Head.m_Fields.add(IncarnationField, fmt::format("{}", Incarnation));
  Head.m_Fields.add(TimeLeftField, fmt::format("{}", TimeLeft.count()));
  return formatRequestHead(Head, http1::Framing::None, 0);
}

} // namespace geraniumlift::transport
