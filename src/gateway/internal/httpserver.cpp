#include "gateway/httpserver.h"

#include "base/log.h"

#include <absl/strings/ascii.h>
#include <atomic>
#include <cpprest/containerstream.h>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <mutex>

namespace geraniumlift::gateway {

namespace {

using web::http::experimental::listener::http_listener;
using StreamBuffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

constexpr std::size_t HeaderLimitBytes = 16'384;

/// Timeout of a connection, long enough for the slowest caller that still reads; it also closes
/// idle keep-alive connections.
constexpr auto ConnectionTimeout = std::chrono::seconds{120};

/// One exchange over the HTTP library.
class HttpExchange final : public ICallerExchange,
                           public std::enable_shared_from_this<HttpExchange> {
public:
  HttpExchange(const web::http::http_request &Request, CallerRequest Parsed)
      : m_Http(Request), m_Request(std::move(Parsed)) {}

  [[nodiscard]] auto request() const -> const CallerRequest & override { return m_Request; }

  auto respond(CallerResponse Answer) -> void override {
    auto Response = web::http::http_response(static_cast<web::http::status_code>(Answer.m_Status));
    Response.set_body(std::move(Answer.m_Body), Answer.m_ContentType);
    for (const auto &[Name, Value] : Answer.m_Headers) {
      Response.headers().add(Name, Value);
    }
    send(Response);
  }

  auto beginStream(std::string ContentType, std::map<std::string, std::string> Headers)
      -> void override {
    auto Response = web::http::http_response(web::http::status_codes::OK);
    Response.set_body(m_Buffer.create_istream(), ContentType);
    for (const auto &[Name, Value] : Headers) {
      Response.headers().add(Name, Value);
    }
    send(Response);
  }

  auto write(std::string Bytes) -> void override {
    // The buffer copies the bytes; sync() makes them available without waiting for a full block.
    // Both operations are complete when they return; a continuation for each would cost a thread
    // switch per token.
    const auto Written =
        m_Buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size());
    ignoreFailure(Written);
    ignoreFailure(m_Buffer.sync());
  }

  auto endStream() -> void override {
    m_Buffer.close(std::ios_base::out).then([](const pplx::task<void> &Closed) {
      ignoreFailure(Closed);
    });
  }

  auto abortStream() -> void override {
    const auto Cause = std::make_exception_ptr(std::runtime_error("the answer is incomplete"));
    m_Buffer.close(std::ios_base::out, Cause).then([](const pplx::task<void> &Closed) {
      ignoreFailure(Closed);
    });
  }

  auto setDisconnectHandler(std::function<void()> OnDisconnect) -> void override {
    const auto Lock = std::lock_guard(m_Mutex);
    m_OnDisconnect = std::move(OnDisconnect);
  }

private:
  /// Logs a failed write. The reply's task fails as well and reports that the caller has
  /// disconnected.
  template <typename Result>
  static auto ignoreFailure(const pplx::task<Result> &Task) -> void {
    try {
      Task.get();
    } catch (const std::exception &Error) {
      base::logEvent(base::LogLevel::Debug, "caller_write_failed", {{"error", Error.what()}});
    }
  }

  auto send(const web::http::http_response &Response) -> void {
    m_Http.reply(Response).then([Self = shared_from_this()](const pplx::task<void> &Sent) {
      auto Failed = false;
      try {
        Sent.get();
      } catch (const std::exception &) {
        Failed = true;
      }
      Self->finish(Failed);
    });
  }

  auto finish(bool Failed) -> void {
    auto OnDisconnect = std::function<void()>();
    {
      const auto Lock = std::lock_guard(m_Mutex);
      OnDisconnect.swap(m_OnDisconnect);
    }
    if (Failed && OnDisconnect) {
      OnDisconnect();
    }
  }

  web::http::http_request m_Http;
  CallerRequest m_Request;
  StreamBuffer m_Buffer;
  std::mutex m_Mutex;
  std::function<void()> m_OnDisconnect;
};

auto headerBytes(const CallerRequest &Request) -> std::size_t {
  auto Bytes = Request.m_Target.size();
  for (const auto &[Name, Value] : Request.m_Headers) {
    Bytes += Name.size() + Value.size();
  }
  return Bytes;
}

auto parseHead(const web::http::http_request &Http) -> CallerRequest {
  auto Request = CallerRequest();
  Request.m_Method = Http.method();
  Request.m_Target = Http.relative_uri().to_string();
  Request.m_Path = web::uri::decode(Http.relative_uri().path());
  for (const auto &[Name, Value] : Http.headers()) {
    Request.m_Headers.emplace(absl::AsciiStrToLower(Name), Value);
  }
  return Request;
}

auto refuseOversized(const web::http::http_request &Http, std::string_view Part,
                     std::size_t LimitBytes) -> void {
  const auto Body = fmt::format(
      R"({{"type":"about:blank","title":"body_too_large","status":413,"code":"body_too_large",)"
      R"("detail":"The {} is larger than {} bytes.","verdict":"did_not_run"}})",
      Part, LimitBytes);
  auto Response = web::http::http_response(web::http::status_codes::RequestEntityTooLarge);
  Response.set_body(Body, "application/problem+json");
  Http.reply(Response).then([](const pplx::task<void> &Sent) {
    try {
      Sent.get();
    } catch (const std::exception &Error) {
      base::logEvent(base::LogLevel::Debug, "caller_write_failed", {{"error", Error.what()}});
    }
  });
}

} // namespace

class HttpServer::Implementation {
public:
  Implementation(HttpServerOptions Options, Handler Handle)
      : m_Options(std::move(Options)), m_Handle(std::move(Handle)),
        m_Listener(web::uri(m_Options.m_Url), configuration()) {
    m_Listener.support([this](const web::http::http_request &Http) { receive(Http); });
  }

  auto listener() -> http_listener & { return m_Listener; }

private:
  static auto configuration() -> web::http::experimental::listener::http_listener_config {
    auto Configuration = web::http::experimental::listener::http_listener_config();
    Configuration.set_timeout(ConnectionTimeout);
    return Configuration;
  }

  /// Reads at most one byte more than allowed, so that a chunked body, whose length is not known in
  /// advance, is limited too.
  auto receive(const web::http::http_request &Http) -> void {
    auto Request = parseHead(Http);
    if (headerBytes(Request) > HeaderLimitBytes) {
      refuseOversized(Http, "header", HeaderLimitBytes);
      return;
    }
    const auto Limit = static_cast<std::size_t>(m_Options.m_BodyLimitBytes);
    if (Http.headers().content_length() > Limit) {
      refuseOversized(Http, "body", Limit);
      return;
    }
    const auto Chunked = Http.headers().has(web::http::header_names::transfer_encoding);
    const auto Expected = Chunked ? Limit + 1 : Http.headers().content_length();
    if (Expected == 0) {
      m_Handle(std::make_shared<HttpExchange>(Http, std::move(Request)));
      return;
    }
    // read() allocates the full length it is given, so Content-Length is used where there is one.
    auto Body = concurrency::streams::container_buffer<std::string>();
    Http.body()
        .read(Body, Expected)
        .then([this, Http, Body, Limit,
               Parsed = std::move(Request)](const pplx::task<std::size_t> &Read) mutable {
          onBodyRead(Http, std::move(Parsed), Body, Limit, Read);
        });
  }

  auto onBodyRead(const web::http::http_request &Http, CallerRequest Request,
                  concurrency::streams::container_buffer<std::string> &Body, std::size_t Limit,
                  const pplx::task<std::size_t> &Read) -> void {
    try {
      const auto Size = Read.get();
      if (Size > Limit) {
        refuseOversized(Http, "body", Limit);
        return;
      }
      Request.m_Body = std::move(Body.collection());
      Request.m_Body.resize(Size);
      m_Handle(std::make_shared<HttpExchange>(Http, std::move(Request)));
    } catch (const std::exception &Error) {
      base::logEvent(base::LogLevel::Info, "caller_read_failed", {{"error", Error.what()}});
    }
  }

  HttpServerOptions m_Options;
  Handler m_Handle;
  http_listener m_Listener;
};

HttpServer::HttpServer(HttpServerOptions Options, Handler Handle)
    : m_Implementation(std::make_unique<Implementation>(std::move(Options), std::move(Handle))) {}

HttpServer::~HttpServer() = default;

auto HttpServer::open() -> absl::Status {
  try {
    m_Implementation->listener().open().wait();
    return absl::OkStatus();
  } catch (const std::exception &Error) {
    return absl::UnavailableError(Error.what());
  }
}

auto HttpServer::close() -> void {
  try {
    m_Implementation->listener().close().wait();
  } catch (const std::exception &Error) {
    base::logEvent(base::LogLevel::Warning, "listener_close_failed", {{"error", Error.what()}});
  }
}

} // namespace geraniumlift::gateway
