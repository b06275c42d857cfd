#include "targets/internal/httpexchange.h"

#include "targets/verdictrules.h"
#include "transport/idleconnections.h"
#include "transport/requestexchange.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <netinet/tcp.h>
#include <stdexcept>
#include <utility>
#include <vector>

namespace geraniumlift::targets {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Maximum header and body size of a response in bytes. Receivers bound what they keep of a body.
constexpr auto ResponseLimits = http1::MessageLimits{16 * 1024, std::uint64_t{1} << 30U};

/// Maximum number of idle connections to keep for one base URL.
constexpr auto MaxIdleConnections = std::size_t{8};

/// Opens a socket and sets TCP_USER_TIMEOUT to limit the time to connect and the time without an
/// acknowledgement.
auto openSocket(tcp::socket &Socket, const tcp::endpoint &Peer,
                std::chrono::milliseconds ConnectTimeout) -> error_code {
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  auto Error = error_code();
  Socket.open(Peer.protocol(), Error);
  if (!Error) {
    Socket.set_option(tcp::no_delay(true), Error);
  }
  if (!Error) {
    Socket.set_option(UserTimeout(static_cast<int>(ConnectTimeout.count())), Error);
  }
  return Error;
}

/// Whether all characters are visible ones of ASCII, so that the text is one word of a start line.
auto isWord(std::string_view Text) -> bool {
  return !Text.empty() && std::ranges::all_of(Text, [](char Character) {
    return Character > 0x20 && Character < 0x7f;
  });
}

auto formatHead(const HttpRequest &Request, const std::string &Host) -> std::string {
  if (!isWord(Request.m_Method) || !isWord(Request.m_Path)) {
    throw std::invalid_argument("The method or the path cannot be sent.");
  }
  auto Head = http1::RequestHead{Request.m_Method, Request.m_Path, {}};
  Head.m_Fields.add("Host", Host);
  for (const auto &Header : Request.m_Headers) {
    Head.m_Fields.add(Header.m_Name, Header.m_Value);
  }
  if (!Request.m_Body.empty()) {
    Head.m_Fields.add("Content-Type", Request.m_ContentType);
  }
  const auto HasBody = !Request.m_Body.empty() || Request.m_Method == "POST";
  return formatRequestHead(Head, HasBody ? http1::Framing::Length : http1::Framing::None,
                           Request.m_Body.size());
}

auto isTrue(const http1::HeaderFields &Fields, std::string_view Name) -> bool {
  return Fields.find(Name) == "true";
}

auto toResponseHead(const http1::ResponseHead &Head) -> HttpResponseHead {
  auto Result = HttpResponseHead();
  Result.m_Status = Head.m_Status;
  Result.m_ContentType = Head.m_Fields.find("Content-Type").value_or("");
  Result.m_NotRun = isTrue(Head.m_Fields, "X-Not-Run");
  Result.m_Leaving = isTrue(Head.m_Fields, "X-Leaving");
  return Result;
}

/// Whether the header tells where the body ends. A response that ends with its connection counts as
/// incomplete: no target sends one, and a process that ends in the middle of its response would
/// look the same.
auto isFramed(const http1::ResponseHead &Head, bool IsHeadRequest) -> bool {
  return IsHeadRequest || Head.m_Status == 204 || Head.m_Status == 304 ||
         Head.m_Fields.has("Content-Length") || Head.m_Fields.has("Transfer-Encoding");
}

} // namespace

struct HttpClient {
  /// Address and port as in the URL.
  std::string m_Host;
  tcp::endpoint m_Endpoint;
  std::chrono::milliseconds m_ConnectTimeout;

  /// Connections that wait for the next request.
  std::vector<tcp::socket> m_Idle;
};

auto makeHttpClient(const std::string &Url, std::chrono::milliseconds ConnectTimeout)
    -> std::shared_ptr<HttpClient> {
  constexpr auto Scheme = std::string_view("http://");
  const auto Host = Url.substr(std::min(Scheme.size(), Url.size()));
  const auto Colon = Host.rfind(':');
  auto Port = std::uint32_t{0};
  if (!Url.starts_with(Scheme) || Colon == std::string::npos ||
      !absl::SimpleAtoi(Host.substr(Colon + 1), &Port) || Port > 65535) {
    throw std::invalid_argument("The URL is not http://ADDRESS:PORT.");
  }
  auto Address = Host.substr(0, Colon);
  if (Address.starts_with('[') && Address.ends_with(']')) {
    Address = Address.substr(1, Address.size() - 2);
  }
  const auto Ip = asio::ip::make_address(Address);
  return std::make_shared<HttpClient>(
      HttpClient{std::string(Host), {Ip, static_cast<std::uint16_t>(Port)}, ConnectTimeout, {}});
}

auto hasValidHeaders(const HttpRequest &Request) -> bool {
  return std::ranges::none_of(Request.m_Headers, [](const HttpHeader &Header) {
    return std::ranges::any_of(Header.m_Value, [](char Character) {
      const auto Byte = static_cast<unsigned char>(Character);
      return Byte < 0x20 || Byte == 0x7f;
    });
  });
}

/// State of an exchange. Its pending operations keep it alive.
struct HttpExchange::State final : transport::IResponseHandler,
                                   std::enable_shared_from_this<HttpExchange::State> {
  State(std::shared_ptr<HttpClient> Client, std::weak_ptr<IHttpReceiver> Receiver,
        const HttpRequest &Request, asio::io_context &Loop)
      : m_HttpClient(std::move(Client)), m_Receiver(std::move(Receiver)), m_Socket(Loop),
        m_Head(formatHead(Request, m_HttpClient->m_Host)),
        m_Body(std::make_shared<const std::string>(Request.m_Body)),
        m_IsHeadRequest(Request.m_Method == "HEAD") {}

  auto start() -> void {
    if (auto Kept = transport::takeIdleConnection(m_HttpClient->m_Idle)) {
      m_Socket = std::move(*Kept);
      m_IsReused = true;
      send();
      return;
    }
    connect();
  }

  auto cancel() -> void {
    m_IsCancelled = true;
    auto Ignored = error_code();
    m_Socket.close(Ignored);
    if (const auto Exchange = m_Exchange.lock()) {
      Exchange->close();
    }
  }

  auto connect() -> void {
    m_Socket = tcp::socket(m_Socket.get_executor());
    const auto Failure =
        openSocket(m_Socket, m_HttpClient->m_Endpoint, m_HttpClient->m_ConnectTimeout);
    if (Failure) {
      asio::post(m_Socket.get_executor(),
                 [Self = shared_from_this(), Failure] { Self->onConnected(Failure); });
      return;
    }
    m_Socket.async_connect(
        m_HttpClient->m_Endpoint,
        [Self = shared_from_this()](const error_code &Error) { Self->onConnected(Error); });
  }

  auto onConnected(const error_code &Error) -> void {
    if (m_IsCancelled) {
      return;
    }
    if (Error) {
      // The attempt on a kept connection may have run.
      fail(m_WasSent ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun,
           "The connection could not be opened: " + Error.message());
      return;
    }
    send();
  }

  auto send() -> void {
    m_WasSent = true;
    const auto Exchange = std::make_shared<transport::RequestExchange>(
        std::move(m_Socket), ResponseLimits, m_IsHeadRequest, shared_from_this());
    m_Exchange = Exchange;
    Exchange->start(m_Head, m_Body);
  }

  auto onHead(http1::ResponseHead &Head) -> void override {
    m_Response = toResponseHead(Head);
    m_IsFramed = isFramed(Head, m_IsHeadRequest);
    if (const auto Receiver = m_Receiver.lock()) {
      Receiver->onHead(*m_Response);
    }
  }

  auto onBody(std::string Bytes) -> void override {
    if (const auto Receiver = m_Receiver.lock()) {
      Receiver->onBytes(Bytes);
    }
  }

  auto onEnd(bool IsReusable) -> void override {
    if (IsReusable && m_HttpClient->m_Idle.size() < MaxIdleConnections) {
      m_HttpClient->m_Idle.push_back(m_Exchange.lock()->takeSocket());
    }
    if (!m_IsFramed) {
      fail(base::Verdict::MayHaveRun, "The response has no length.");
      return;
    }
    const auto Verdict = verdictOfResponse(m_Response->m_Status, m_Response->m_NotRun, !m_IsReused);
    if (const auto Receiver = m_Receiver.lock()) {
      Receiver->onEnd({true, Verdict, ""});
    }
  }

  auto onBroken(std::string_view Reason) -> void override {
    // The target may have closed the kept connection before the request reached it. Only
    // connections of requests that may run twice are kept.
    if (m_IsReused && !m_HasReconnected && !m_Exchange.lock()->hasStarted()) {
      m_HasReconnected = true;
      connect();
      return;
    }
    fail(base::Verdict::MayHaveRun, "The response is broken: " + std::string(Reason));
  }

  auto fail(base::Verdict Verdict, const std::string &Message) -> void {
    if (const auto Receiver = m_Receiver.lock()) {
      Receiver->onEnd({false, Verdict, Message});
    }
  }

  std::shared_ptr<HttpClient> m_HttpClient;
  std::weak_ptr<IHttpReceiver> m_Receiver;
  tcp::socket m_Socket;
  std::string m_Head;
  std::shared_ptr<const std::string> m_Body;
  bool m_IsHeadRequest;

  /// Keeps this object alive.
  std::weak_ptr<transport::RequestExchange> m_Exchange;
  std::optional<HttpResponseHead> m_Response;
  bool m_IsFramed = false;

  /// Whether the request was first sent on a kept connection.
  bool m_IsReused = false;
  bool m_HasReconnected = false;
  bool m_WasSent = false;
  bool m_IsCancelled = false;
};

HttpExchange::HttpExchange(std::shared_ptr<State> Started) : m_State(std::move(Started)) {}

HttpExchange::~HttpExchange() = default;

auto HttpExchange::cancel() -> void { m_State->cancel(); }

auto HttpExchange::start(const std::shared_ptr<HttpClient> &Client, const HttpRequest &Request,
                         base::AsioScheduler &Scheduler, std::weak_ptr<IHttpReceiver> Receiver)
    -> std::shared_ptr<HttpExchange> {
  const auto Started =
      std::make_shared<State>(Client, std::move(Receiver), Request, Scheduler.context());
  Started->start();
  return std::make_shared<HttpExchange>(Started);
}

} // namespace geraniumlift::targets
