#include "targets/internal/servicecall.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace geraniumlift::targets {

namespace {

auto checkRequest(const HttpRequest &Request) -> void {
  if (!hasValidHeaders(Request)) {
    throw std::invalid_argument("A header contains a control character.");
  }
  // A URI reference that begins with two slashes names a host.
  if (!Request.m_Path.starts_with('/') || Request.m_Path.starts_with("//")) {
    throw std::invalid_argument("The path does not start with one slash.");
  }
}

} // namespace

ServiceCall::ServiceCall(const TargetContext &Context, ServiceRequest Request,
                         std::function<void(ServiceResult)> Done)
    : m_Context(Context), m_Request(std::move(Request)), m_Done(std::move(Done)) {}

ServiceCall::~ServiceCall() {
  m_Context.m_Buffers.setHeld(*this, 0);
  if (m_Exchange) {
    m_Exchange->cancel();
  }
}

auto ServiceCall::start(const std::shared_ptr<HttpClient> &Client) -> void {
  const auto Left = timeLeft(m_Context.m_Clock, m_Request.m_Deadline);
  if (Left.count() == 0) {
    fail(base::Verdict::DidNotRun, "The deadline passed before the request was sent.");
    return;
  }
  try {
    const auto Request = httpRequest();
    checkRequest(Request);
    m_Exchange = HttpExchange::start(Client, Request, *m_Context.m_Scheduler, weak_from_this());
  } catch (const std::exception &Error) {
    fail(base::Verdict::DidNotRun, Error.what());
    return;
  }
  m_Context.m_Scheduler->after(Left, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->fail(base::Verdict::MayHaveRun, "The deadline passed before the whole response.");
    }
  });
}

auto ServiceCall::onHead(const HttpResponseHead &Head) -> void { m_Head = Head; }

auto ServiceCall::onBytes(std::string_view Bytes) -> void {
  if (m_Body.size() + Bytes.size() > MaxBodyBytes) {
    fail(base::Verdict::MayHaveRun, "The response is larger than 1 MB.");
    return;
  }
  m_Body += Bytes;
  m_Context.m_Buffers.setHeld(*this, m_Body.size());
}

auto ServiceCall::dropBuffer() -> void {
  fail(base::Verdict::MayHaveRun, "The responses of all targets take too much memory.");
}

auto ServiceCall::onEnd(const HttpEnd &End) -> void {
  if (!End.m_Complete) {
    fail(End.m_Verdict, End.m_Detail);
    return;
  }
  m_Context.m_Buffers.setHeld(*this, 0);
  // The connection returns to the client's pool; cancelling the exchange now would close it.
  m_Exchange.reset();
  finish({.m_Verdict = End.m_Verdict,
          .m_Status = m_Head.m_Status,
          .m_ContentType = m_Head.m_ContentType,
          .m_Body = std::move(m_Body),
          .m_TargetLeaving = m_Head.m_Leaving,
          .m_Detail = ""});
}

auto ServiceCall::fail(base::Verdict Verdict, const std::string &Detail) -> void {
  finish({.m_Verdict = Verdict,
          .m_Status = 0,
          .m_ContentType = "",
          .m_Body = "",
          .m_TargetLeaving = false,
          .m_Detail = Detail});
}

auto ServiceCall::finish(ServiceResult Result) -> void {
  m_Body = std::string();
  m_Context.m_Buffers.setHeld(*this, 0);
  if (m_Exchange) {
    m_Exchange->cancel();
  }
  if (const auto Done = std::exchange(m_Done, nullptr)) {
    Done(std::move(Result));
  }
}

auto ServiceCall::httpRequest() const -> HttpRequest {
  const auto Left = timeLeft(m_Context.m_Clock, m_Request.m_Deadline);
  auto Request = HttpRequest{.m_Url = m_Request.m_Url,
                             .m_Method = m_Request.m_Method,
                             .m_Path = m_Request.m_Path,
                             .m_Headers = {{"X-Deadline-Ms", std::to_string(Left.count())}},
                             .m_ContentType = m_Request.m_ContentType,
                             .m_Body = m_Request.m_Body};
  const auto Optional = std::array{HttpHeader{"X-Request-Id", m_Request.m_RequestId},
                                   HttpHeader{"Idempotency-Key", m_Request.m_IdempotencyKey},
                                   HttpHeader{"traceparent", m_Request.m_TraceParent}};
  for (const auto &Header : Optional) {
    if (!Header.m_Value.empty()) {
      Request.m_Headers.push_back(Header);
    }
  }
  return Request;
}

} // namespace geraniumlift::targets
