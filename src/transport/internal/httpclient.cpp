#include "transport/httpclient.h"

#include "transport/idleconnections.h"
#include "transport/requestexchange.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <vector>

namespace geraniumlift::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Maximum number of idle connections to keep. Concurrent calls need one connection each.
constexpr auto MaxIdleConnections = std::size_t{3};

/// Limits of a response, which may be a page of about a megabyte, base64 included.
constexpr auto ResponseLimits = http1::MessageLimits{16 * 1024, std::uint64_t{8} * 1024 * 1024};

/// TCP keep-alive probes: the first after one second without traffic, then one each second. Three
/// unanswered probes close the connection.
constexpr auto KeepAliveIdleSeconds = 1;
constexpr auto KeepAliveIntervalSeconds = 1;
constexpr auto KeepAliveMaxLostProbes = 3;

/// Enables TCP keep-alive, since a connection that went silent reports no error by itself while a
/// call waits for its response.
auto setKeepAlive(tcp::socket &Socket) -> void {
  using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  auto Ignored = error_code();
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(KeepIdle(KeepAliveIdleSeconds), Ignored);
  Socket.set_option(KeepInterval(KeepAliveIntervalSeconds), Ignored);
  Socket.set_option(KeepCount(KeepAliveMaxLostProbes), Ignored);
}

/// The address of the service and its idle connections.
struct ConnectionPool {
  asio::io_context &m_Loop;
  base::ITimers &m_Timers;
  std::string m_Address;
  std::uint16_t m_Port;
  std::vector<tcp::socket> m_Idle = {};
  std::optional<base::SteadyTime> m_LastHeardAt = {};
};

/// One call. Its timer keeps it alive until it ends.
class Call final : public IResponseHandler, public std::enable_shared_from_this<Call> {
public:
  Call(std::shared_ptr<ConnectionPool> Pool, CallRequest Request, HttpClient::Callback Done)
      : m_Pool(std::move(Pool)), m_Socket(m_Pool->m_Loop), m_Request(std::move(Request)),
        m_Done(std::move(Done)) {}

  auto start() -> void {
    auto Head = http1::RequestHead{m_Request.m_Method, m_Request.m_Target, {}};
    Head.m_Fields.add("Host", fmt::format("{}:{}", m_Pool->m_Address, m_Pool->m_Port));
    if (!m_Request.m_Body.empty()) {
      Head.m_Fields.add("Content-Type", "application/json");
    }
    const auto HasBody = m_Request.m_Method != "GET";
    m_HeadText = formatRequestHead(Head, HasBody ? http1::Framing::Length : http1::Framing::None,
                                   m_Request.m_Body.size());
    m_Body = std::make_shared<const std::string>(std::move(m_Request.m_Body));
    m_EndsBy = base::SteadyTime::clock::now() + m_Request.m_MaxTime;
    restartTimer();
    if (auto Kept = takeIdleConnection(m_Pool->m_Idle)) {
      m_Socket = std::move(*Kept);
      m_IsReused = true;
      send();
      return;
    }
    connect();
  }

private:
  /// Begins to wait for the next progress.
  auto restartTimer() -> void {
    m_Pool->m_Timers.cancel(m_Timer);
    m_Timer = m_Pool->m_Timers.start(
        std::min(base::SteadyTime::clock::now() + m_Request.m_Timeout, m_EndsBy),
        [Self = shared_from_this()] {
          Self->m_Timer = 0;
          Self->fail();
        });
  }

  auto connect() -> void {
    auto Error = error_code();
    const auto Ip = asio::ip::make_address_v4(m_Pool->m_Address, Error);
    m_Socket = tcp::socket(m_Pool->m_Loop);
    if (!Error) {
      m_Socket.open(tcp::v4(), Error);
    }
    if (Error) {
      asio::post(m_Pool->m_Loop, [Self = shared_from_this()] { Self->fail(); });
      return;
    }
    m_Socket.async_connect({Ip, m_Pool->m_Port},
                           [Self = shared_from_this()](const error_code &Failure) {
                             if (Failure) {
                               Self->fail();
                               return;
                             }
                             auto Ignored = error_code();
                             Self->m_Socket.set_option(tcp::no_delay(true), Ignored);
                             setKeepAlive(Self->m_Socket);
                             Self->send();
                           });
  }

  auto send() -> void {
    if (!m_Done) {
      return;
    }
    m_IsSent = true;
    m_Response.emplace();
    const auto Exchange = std::make_shared<RequestExchange>(std::move(m_Socket), ResponseLimits,
                                                            false, shared_from_this());
    m_Exchange = Exchange;
    Exchange->start(m_HeadText, m_Body);
  }

  auto onHead(http1::ResponseHead &Head) -> void override {
    m_Response->m_Status = Head.m_Status;
    m_Response->m_Fields = Head.m_Fields;
    onProgress();
  }

  auto onProgress() -> void {
    if (!m_Done) {
      return;
    }
    restartTimer();
    if (m_Response->m_Status >= 200 && m_Response->m_Status < 300) {
      m_Pool->m_LastHeardAt = base::SteadyTime::clock::now();
    }
  }

  auto onBody(std::string Bytes) -> void override {
    onProgress();
    auto &Body = m_Response->m_Body;
    if (Body.empty()) {
      Body = std::move(Bytes);
    } else {
      Body += Bytes;
    }
  }

  auto onEnd(bool IsReusable) -> void override {
    if (IsReusable && m_Pool->m_Idle.size() < MaxIdleConnections) {
      m_Pool->m_Idle.push_back(m_Exchange.lock()->takeSocket());
    }
    finish({std::move(m_Response)});
  }

  auto onBroken(std::string_view) -> void override {
    // The service may have closed the reused connection before the request reached it. A GET is
    // retried at once on a new connection. The outcome of a write is unknown, so the caller
    // decides.
    if (m_IsReused && !m_Exchange.lock()->hasStarted() && m_Request.m_Method == "GET") {
      m_IsReused = false;
      m_Pool->m_Idle.clear();
      connect();
      return;
    }
    fail();
  }

  auto fail() -> void {
    if (m_IsReused) {
      // What broke this connection has probably broken the other idle ones too.
      m_Pool->m_Idle.clear();
    }
    finish({std::nullopt, m_IsSent ? CallFailure::NoResponse : CallFailure::NotSent});
  }

  auto finish(CallResult Result) -> void {
    if (!m_Done) {
      return;
    }
    m_Pool->m_Timers.cancel(std::exchange(m_Timer, 0));
    auto Ignored = error_code();
    m_Socket.close(Ignored);
    if (const auto Exchange = m_Exchange.lock()) {
      Exchange->close();
    }
    const auto Done = std::exchange(m_Done, {});
    Done(std::move(Result));
  }

  std::shared_ptr<ConnectionPool> m_Pool;
  tcp::socket m_Socket;
  CallRequest m_Request;
  HttpClient::Callback m_Done;
  std::string m_HeadText;
  std::shared_ptr<const std::string> m_Body;

  /// Its pending operations keep it alive, and it keeps this call alive.
  std::weak_ptr<RequestExchange> m_Exchange;
  std::optional<CallResponse> m_Response;
  base::TimerId m_Timer = 0;
  base::SteadyTime m_EndsBy;
  bool m_IsReused = false;
  bool m_IsSent = false;
};

} // namespace

struct HttpClient::State : ConnectionPool {};

HttpClient::HttpClient(asio::io_context &Loop, base::ITimers &Timers, std::string Address,
                       std::uint16_t Port)
    : m_State(std::make_shared<State>(State{{Loop, Timers, std::move(Address), Port}})) {}

HttpClient::~HttpClient() = default;

auto HttpClient::call(CallRequest Request, Callback Done) -> void {
  std::make_shared<Call>(m_State, std::move(Request), std::move(Done))->start();
}

auto HttpClient::lastHeardAt() const -> std::optional<base::SteadyTime> {
  return m_State->m_LastHeardAt;
}

} // namespace geraniumlift::transport
