#include "gateway/httppeerforwarder.h"

#include "base/hashing.h"
#include "base/log.h"
#include "targets/verdictrules.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cpprest/http_client.h>

namespace geraniumlift::gateway {

namespace {

constexpr auto ForwardedHeader = "x-geraniumlift-forwarded";

/// A signature older than this is rejected, so that a recorded header cannot be replayed later.
constexpr auto SignatureLifetime = std::chrono::seconds{60};

auto signedText(const CallerRequest &Request, std::int64_t Milliseconds) -> std::string {
  return fmt::format("{} {} {} {} {}", Milliseconds, Request.m_Method, Request.m_Target,
                     Request.header("authorization"), base::sha256Hex(Request.m_Body));
}

auto toUnixMilliseconds(base::SystemTime Time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time.time_since_epoch()).count();
}

using ByteBuffer = concurrency::streams::streambuf<std::uint8_t>;

/// Copies a peer's response to the caller; an event stream is copied as it arrives.
class ResponseCopier : public std::enable_shared_from_this<ResponseCopier> {
public:
  ResponseCopier(std::shared_ptr<ICallerExchange> Exchange, web::http::http_response Response,
                 std::function<void(ForwardOutcome)> Done)
      : m_Exchange(std::move(Exchange)), m_Response(std::move(Response)),
        m_Buffer(m_Response.body().streambuf()), m_Done(std::move(Done)) {}

  auto run() -> void {
    const auto ContentType = m_Response.headers().content_type();
    if (ContentType.starts_with("text/event-stream")) {
      m_Exchange->beginStream(ContentType, {});
      copyNext();
      return;
    }
    m_Response.extract_string(true).then(
        [Self = shared_from_this(), ContentType](const pplx::task<std::string> &Read) {
          Self->respondWhole(ContentType, Read);
        });
  }

private:
  auto respondWhole(const std::string &ContentType, const pplx::task<std::string> &Read) -> void {
    try {
      auto Answer = CallerResponse{m_Response.status_code(), ContentType, Read.get(), {}};
      for (const auto *Name : {"Retry-After", "X-Request-Id", "X-Verdict"}) {
        if (m_Response.headers().has(Name)) {
          Answer.m_Headers.emplace(Name, m_Response.headers()[Name]);
        }
      }
      m_Exchange->respond(std::move(Answer));
      m_Done(ForwardOutcome::Answered);
    } catch (const std::exception &) {
      m_Done(ForwardOutcome::Lost);
    }
  }

  /// Waits for one byte, then reads all the bytes available: waiting for a full block would delay
  /// tokens.
  auto copyNext() -> void {
    m_Buffer.getc().then([Self = shared_from_this()](const pplx::task<ByteBuffer::int_type> &Read) {
      try {
        Self->copyAvailable(Read.get());
      } catch (const std::exception &) {
        Self->m_Exchange->abortStream();
        Self->m_Done(ForwardOutcome::Answered);
      }
    });
  }

  auto copyAvailable(ByteBuffer::int_type First) -> void {
    if (First == ByteBuffer::traits::eof()) {
      m_Exchange->endStream();
      m_Done(ForwardOutcome::Answered);
      return;
    }
    auto Bytes = std::string(m_Buffer.in_avail(), '\0');
    m_Buffer.getn(reinterpret_cast<std::uint8_t *>(Bytes.data()), Bytes.size()).get();
    m_Exchange->write(std::move(Bytes));
    copyNext();
  }

  std::shared_ptr<ICallerExchange> m_Exchange;
  web::http::http_response m_Response;
  ByteBuffer m_Buffer;
  std::function<void(ForwardOutcome)> m_Done;
};

/// Classifies a failed request. Each client is used for one request, so its connection is new.
auto outcomeOfFailure(const web::http::http_exception &Error) -> ForwardOutcome {
  const auto Verdict = targets::verdictOfFailure({true, Error.what()});
  return Verdict == base::Verdict::DidNotRun ? ForwardOutcome::NotSent : ForwardOutcome::Lost;
}

auto buildRequest(const CallerRequest &Source) -> web::http::http_request {
  auto Request = web::http::http_request(Source.m_Method);
  Request.set_request_uri(web::uri(Source.m_Target));
  for (const auto *Name : {"authorization", "idempotency-key", "x-request-id"}) {
    if (const auto Value = Source.header(Name); !Value.empty()) {
      Request.headers().add(Name, Value);
    }
  }
  const auto ContentType = Source.header("content-type");
  if (!Source.m_Body.empty()) {
    Request.set_body(Source.m_Body, ContentType.empty() ? "application/json" : ContentType);
  }
  return Request;
}

} // namespace

HttpPeerForwarder::HttpPeerForwarder(std::string PeerKey, const base::IClock &Clock)
    : m_PeerKey(std::move(PeerKey)), m_Clock(Clock) {}

auto HttpPeerForwarder::forward(std::shared_ptr<ICallerExchange> Exchange, const PeerAddress &Peer,
                                std::string TraceParent, std::chrono::milliseconds Remaining,
                                std::function<void(ForwardOutcome)> Done) -> void {
  auto Request = buildRequest(Exchange->request());
  const auto Now = toUnixMilliseconds(m_Clock.systemNow());
  const auto Signature =
      absl::BytesToHexString(base::hmacSha256(m_PeerKey, signedText(Exchange->request(), Now)));
  Request.headers().add(ForwardedHeader, fmt::format("{};{}", Now, Signature));
  Request.headers().add("traceparent", TraceParent);
  Request.headers().add("x-deadline-ms", std::to_string(Remaining.count()));

  // A new client opens a new connection, so that a refused connection proves that nothing was sent.
  auto Options = web::http::client::http_client_config();
  Options.set_timeout(Remaining);
  Options.set_max_redirects(0); // Following a redirect would send the request twice.
  auto Client = std::make_shared<web::http::client::http_client>(web::uri(Peer.m_Url), Options);
  Client->request(Request).then([Client, Exchange,
                                 Done](const pplx::task<web::http::http_response> &Sent) {
    try {
      std::make_shared<ResponseCopier>(Exchange, Sent.get(),
                                       [Client, Done](ForwardOutcome Outcome) { Done(Outcome); })
          ->run();
    } catch (const web::http::http_exception &Error) {
      Done(outcomeOfFailure(Error));
    } catch (const std::exception &) {
      Done(ForwardOutcome::Lost);
    }
  });
}

auto HttpPeerForwarder::isForwarded(const CallerRequest &Request) const -> bool {
  const auto Header = Request.header(ForwardedHeader);
  const auto Parts = std::vector<std::string>(absl::StrSplit(Header, ';'));
  auto Milliseconds = std::int64_t{0};
  if (Parts.size() != 2 || !absl::SimpleAtoi(Parts[0], &Milliseconds)) {
    return false;
  }
  const auto Age =
      std::chrono::milliseconds{toUnixMilliseconds(m_Clock.systemNow()) - Milliseconds};
  const auto Expected =
      absl::BytesToHexString(base::hmacSha256(m_PeerKey, signedText(Request, Milliseconds)));
  return base::equalInConstantTime(Parts[1], Expected) && std::chrono::abs(Age) < SignatureLifetime;
}

} // namespace geraniumlift::gateway
