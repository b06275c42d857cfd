#include "targets/internal/httpexchange.h"

#include "targets/verdictrules.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_client.h>
#include <netinet/tcp.h>
#include <utility>

namespace geraniumlift::targets {

namespace {

using boost::asio::ip::tcp;
using web::http::http_response;

/// Longest time without progress that the library allows within an exchange. EngineStream and
/// ServiceCall enforce progress timeouts and deadlines, so this only bounds the lifetime of an
/// exchange that nobody cancels. It is above the longest deadline of a request (600 s).
constexpr auto LibraryTimeout = std::chrono::seconds{700};

/// Maximum number of bytes read from a response at once.
constexpr std::size_t ChunkBytes = std::size_t{8} * 1024;

/// Opens the socket before the library connects it and sets TCP_USER_TIMEOUT to limit the time to
/// connect. The library has only one timeout, which also covers the wait for the response.
auto prepareSocket(tcp::socket &Socket, bool IsVersion6, std::chrono::milliseconds ConnectTimeout)
    -> void {
  if (Socket.is_open()) {
    return;
  }
  auto Error = boost::system::error_code();
  Socket.open(IsVersion6 ? tcp::v6() : tcp::v4(), Error);
  if (Error) {
    return;
  }
  Socket.set_option(tcp::no_delay(true), Error);
  using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(static_cast<int>(ConnectTimeout.count())), Error);
}

auto isHeaderTrue(const http_response &Response, const std::string &Name) -> bool {
  const auto Found = Response.headers().find(Name);
  return Found != Response.headers().end() && Found->second == "true";
}

auto toResponseHead(const http_response &Response) -> HttpResponseHead {
  auto Head = HttpResponseHead();
  Head.m_Status = Response.status_code();
  Head.m_ContentType = Response.headers().content_type();
  Head.m_NotRun = isHeaderTrue(Response, "X-Not-Run");
  Head.m_Leaving = isHeaderTrue(Response, "X-Leaving");
  return Head;
}

auto toLibraryRequest(const HttpRequest &Request) -> web::http::http_request {
  auto Result = web::http::http_request(Request.m_Method);
  Result.set_request_uri(web::uri(Request.m_Path));
  for (const auto &Header : Request.m_Headers) {
    Result.headers().add(Header.m_Name, Header.m_Value);
  }
  if (!Request.m_Body.empty()) {
    Result.set_body(Request.m_Body, Request.m_ContentType);
  }
  return Result;
}

} // namespace

struct HttpClient {
  std::unique_ptr<web::http::client::http_client> m_LibraryClient;

  /// Whether an exchange was started, after which a further one may reuse a connection.
  std::atomic<bool> m_StartedExchange = false;
};

auto makeHttpClient(const std::string &Url, std::chrono::milliseconds ConnectTimeout)
    -> std::shared_ptr<HttpClient> {
  const auto Address = web::uri(Url);
  const auto IsVersion6 = Address.host().starts_with('[');
  auto Settings = web::http::client::http_client_config();
  Settings.set_timeout(LibraryTimeout);
  // Following a redirect would send a call a second time, to a host that is not configured.
  Settings.set_max_redirects(0);
  Settings.set_nativehandle_options([IsVersion6, ConnectTimeout](void *Handle) {
    prepareSocket(*static_cast<tcp::socket *>(Handle), IsVersion6, ConnectTimeout);
  });
  auto Result = std::make_shared<HttpClient>();
  Result->m_LibraryClient = std::make_unique<web::http::client::http_client>(Address, Settings);
  return Result;
}

auto hasValidHeaders(const HttpRequest &Request) -> bool {
  return std::ranges::none_of(Request.m_Headers, [](const HttpHeader &Header) {
    return std::ranges::any_of(Header.m_Value, [](char Character) {
      const auto Byte = static_cast<unsigned char>(Character);
      return Byte < 0x20 || Byte == 0x7f;
    });
  });
}

/// State of an exchange, shared with the continuations that the library runs on its own threads.
struct HttpExchange::State : std::enable_shared_from_this<HttpExchange::State> {
  using ReceiverFunction = std::function<void(IHttpReceiver &)>;

  auto postToReceiver(ReceiverFunction Function) -> void {
    const auto Scheduler = m_Scheduler.lock();
    if (!Scheduler) {
      return;
    }
    Scheduler->post([Self = shared_from_this(), Run = std::move(Function)] {
      if (const auto Receiver = Self->m_Receiver.lock()) {
        Run(*Receiver);
      }
    });
  }

  auto fail(const std::string &Message) -> void {
    const auto Verdict =
        m_Response ? base::Verdict::MayHaveRun : verdictOfFailure({m_FreshConnection, Message});
    postToReceiver([Verdict, Message](IHttpReceiver &Receiver) {
      Receiver.onEnd({false, Verdict, Message});
    });
  }

  auto handleResponse(const pplx::task<http_response> &Answer) -> void {
    try {
      m_Response = Answer.get();
      postToReceiver(
          [Head = toResponseHead(*m_Response)](IHttpReceiver &Receiver) { Receiver.onHead(Head); });
      readNextChunk();
    } catch (const std::exception &Error) {
      fail(Error.what());
    }
  }

  /// Waits for one byte, then reads what is available: waiting for a full chunk would delay events
  /// that are smaller than a chunk.
  auto readNextChunk() -> void {
    auto Source = m_Response->body().streambuf();
    Source.getc().then([Self = shared_from_this()](const pplx::task<int> &Peeked) {
      try {
        Self->readAvailable(Peeked.get());
      } catch (const std::exception &Error) {
        Self->fail(Error.what());
      }
    });
  }

  auto readAvailable(int Peeked) -> void {
    auto Source = m_Response->body().streambuf();
    if (Peeked == concurrency::streams::char_traits<std::uint8_t>::eof()) {
      finish();
      return;
    }
    const auto Count = std::clamp<std::size_t>(Source.in_avail(), 1, ChunkBytes);
    Source.getn(m_Chunk.data(), Count)
        .then([Self = shared_from_this()](const pplx::task<std::size_t> &Read) {
          try {
            Self->deliver(Read.get());
          } catch (const std::exception &Error) {
            Self->fail(Error.what());
          }
        });
  }

  auto deliver(std::size_t Count) -> void {
    auto Bytes = std::string(reinterpret_cast<const char *>(m_Chunk.data()), Count);
    postToReceiver(
        [Moved = std::move(Bytes)](IHttpReceiver &Receiver) { Receiver.onBytes(Moved); });
    m_BodyBytes += Count;
    readNextChunk();
  }

  /// Called at the end of the body; content_ready reports whether the library read all of it.
  auto finish() -> void {
    m_Response->content_ready().then(
        [Self = shared_from_this()](const pplx::task<http_response> &Ready) {
          try {
            Ready.get();
            Self->reportEnd();
          } catch (const std::exception &Error) {
            Self->fail(Error.what());
          }
        });
  }

  auto reportEnd() -> void {
    if (!isComplete()) {
      fail("The response ended before its length was reached.");
      return;
    }
    const auto Verdict = verdictOfResponse(
        m_Response->status_code(), isHeaderTrue(*m_Response, "X-Not-Run"), m_FreshConnection);
    postToReceiver([Verdict](IHttpReceiver &Receiver) { Receiver.onEnd({true, Verdict, ""}); });
  }

  /// Whether the framing shows that the whole body was read. A response with neither Content-Length
  /// nor Transfer-Encoding ends with its connection. It counts as incomplete, as a truncated one
  /// would look the same.
  [[nodiscard]] auto isComplete() const -> bool {
    const auto &Headers = m_Response->headers();
    const auto Status = m_Response->status_code();
    if (m_IsHeadRequest || Status == web::http::status_codes::NoContent ||
        Status == web::http::status_codes::NotModified) {
      return true;
    }
    if (Headers.has("Content-Length")) {
      return m_BodyBytes == Headers.content_length();
    }
    return Headers.has("Transfer-Encoding");
  }

  std::weak_ptr<base::IScheduler> m_Scheduler;
  std::weak_ptr<IHttpReceiver> m_Receiver;
  std::shared_ptr<HttpClient> m_HttpClient;
  pplx::cancellation_token_source m_Cancellation;
  std::optional<http_response> m_Response;
  std::array<std::uint8_t, ChunkBytes> m_Chunk{};
  std::uint64_t m_BodyBytes = 0;
  bool m_FreshConnection = false;
  bool m_IsHeadRequest = false;
};

HttpExchange::HttpExchange(std::weak_ptr<base::IScheduler> Scheduler,
                           std::weak_ptr<IHttpReceiver> Receiver)
    : m_State(std::make_shared<State>()) {
  m_State->m_Scheduler = std::move(Scheduler);
  m_State->m_Receiver = std::move(Receiver);
}

HttpExchange::~HttpExchange() = default;

auto HttpExchange::cancel() -> void { m_State->m_Cancellation.cancel(); }

auto HttpExchange::start(const std::shared_ptr<HttpClient> &Client, const HttpRequest &Request,
                         std::weak_ptr<base::IScheduler> Scheduler,
                         std::weak_ptr<IHttpReceiver> Receiver) -> std::shared_ptr<HttpExchange> {
  auto Exchange = std::make_shared<HttpExchange>(std::move(Scheduler), std::move(Receiver));
  const auto Started = Exchange->m_State;
  Started->m_HttpClient = Client;
  Started->m_FreshConnection = !Client->m_StartedExchange.exchange(true);
  Started->m_IsHeadRequest = Request.m_Method == "HEAD";
  Client->m_LibraryClient->request(toLibraryRequest(Request), Started->m_Cancellation.get_token())
      .then(
          [Started](const pplx::task<http_response> &Answer) { Started->handleResponse(Answer); });
  return Exchange;
}

} // namespace geraniumlift::targets
