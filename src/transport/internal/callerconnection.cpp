#include "transport/internal/callerconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace geraniumlift::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using forwarding::RefusalReason;
using namespace std::chrono_literals;

namespace {

/// Bytes of later requests that are buffered while a request is served. Reading stops beyond that.
constexpr auto MaxReadAhead = std::size_t{16} * 1024;

/// How long a closing connection still reads. Otherwise, bytes that arrive late would reset the
/// connection before the caller has read the response.
constexpr auto LingerTime = 1000ms;

/// What a request that is being read holds besides its body: the parser, and bytes of the header.
constexpr auto ReadingOverheadBytes = std::size_t{16} * 1024;

/// Unsent bytes that are not counted, so that the events of a stream cost no accounting.
constexpr auto MaxUncountedUnsentBytes = std::size_t{4} * 1024;

/// Maximum body size of a request that is not forwarded.
constexpr auto MaxDirectBodyBytes = std::uint64_t{64} * 1024;

auto hasNoBody(int Status) -> bool { return Status == 204 || Status == 304; }

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket Socket,
                                   std::shared_ptr<SharedServerState> Shared)
    : m_Socket(std::move(Socket)), m_Shared(std::move(Shared)) {}

auto CallerConnection::limits() const -> forwarding::CallerLimits {
  const auto *Context = m_Shared->m_Context;
  auto Result = Context != nullptr && Context->m_Table ? Context->m_Table->limits()
                                                       : forwarding::CallerLimits();
  if (Context == nullptr) {
    Result.m_BodyBytes = std::min(Result.m_BodyBytes, MaxDirectBodyBytes);
  }
  return Result;
}

CallerConnection::~CallerConnection() { leaveAccount(); }

auto CallerConnection::updateAccount() -> void {
  if (!m_Place) {
    return;
  }
  auto Bytes = m_Input.size() + m_ServedBodyBytes;
  if (const auto Unsent = m_WriteQueue.size() + m_BytesInFlight.size();
      Unsent > MaxUncountedUnsentBytes) {
    Bytes += Unsent;
  }
  if (m_Phase == Phase::Reading) {
    Bytes += ReadingOverheadBytes + m_Parser->body().size();
  }
  auto When = Evictability::Always;
  if (m_Phase == Phase::Serving) {
    When = m_BytesInFlight.empty() ? Evictability::Never : Evictability::WhenStalled;
  }
  m_Shared->m_Memory.setHeld(*m_Place, Bytes, When);
}

auto CallerConnection::leaveAccount() -> void {
  if (const auto Place = std::exchange(m_Place, std::nullopt)) {
    m_Shared->m_Memory.leave(*Place);
  }
}

auto CallerConnection::evict(EvictionReason Reason) -> void {
  const auto Self = shared_from_this();
  if (m_Phase == Phase::Reading && Reason == EvictionReason::Memory) {
    refuse(RefusalReason::Overloaded);
  } else if (m_Phase == Phase::Serving) {
    onWriteTimeout();
  } else {
    close();
  }
}

auto CallerConnection::start() -> void {
  auto Ignored = error_code();
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  const auto Peer = m_Socket.remote_endpoint(Ignored);
  m_Place = m_Shared->m_Memory.enter(*this,
                                     Peer.address().is_v4() ? Peer.address().to_v4().to_uint() : 0);
  startTimer(limits().m_IdleTimeout, &CallerConnection::onIdleTimeout);
  read();
}

auto CallerConnection::startTimer(std::chrono::milliseconds Delay,
                                  void (CallerConnection::*Handler)()) -> void {
  stopTimer();
  m_Timer = m_Shared->m_Timers.start(base::SteadyTime::clock::now() + Delay,
                                     [Weak = weak_from_this(), Handler] {
                                       if (const auto Self = Weak.lock()) {
                                         Self->m_Timer = 0;
                                         (Self.get()->*Handler)();
                                       }
                                     });
}

auto CallerConnection::stopTimer() -> void { m_Shared->m_Timers.cancel(std::exchange(m_Timer, 0)); }

auto CallerConnection::read() -> void {
  if (m_IsReading || m_Phase == Phase::Closed || m_Input.size() > MaxReadAhead) {
    return;
  }
  const auto NeedsRoom =
      m_Phase == Phase::Reading || (m_Phase == Phase::Serving && !m_Input.empty());
  if (NeedsRoom && !m_Shared->m_Memory.mayRead(*m_Place, m_Buffer.size())) {
    return;
  }
  m_IsReading = true;
  m_Socket.async_read_some(asio::buffer(m_Buffer),
                           [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
                             Self->m_IsReading = false;
                             Self->onRead(Error, Size);
                           });
}

auto CallerConnection::onRead(const error_code &Error, std::size_t Size) -> void {
  if (m_Phase == Phase::Closed) {
    return;
  }
  if (Error) {
    if (const auto Session = m_Session; Session && m_Phase == Phase::Serving) {
      Session->onCallerGone();
    }
    close();
    return;
  }
  if (m_Phase == Phase::Closing) {
    read();
    return;
  }
  m_Shared->m_Memory.touch(*m_Place);
  m_Input.append(m_Buffer.data(), Size);
  process();
  updateAccount();
  read();
}

auto CallerConnection::process() -> void {
  if ((m_Phase != Phase::Idle && m_Phase != Phase::Reading) || m_Input.empty()) {
    return;
  }
  if (m_Phase == Phase::Idle) {
    m_Phase = Phase::Reading;
    const auto Limits = limits();
    m_Shared->m_Memory.setLargestRequest(Limits.m_HeaderBytes + Limits.m_BodyBytes);
    m_Parser.emplace(http1::MessageLimits{Limits.m_HeaderBytes, Limits.m_BodyBytes});
    m_HasSentContinue = false;
    m_IsHeaderTimerRunning = true;
    startTimer(Limits.m_HeaderTimeout, &CallerConnection::onRequestTimeout);
  }
  const auto Used = m_Parser->feed(m_Input);
  if (!Used.ok()) {
    onParseError(Used.status());
    return;
  }
  m_Input.erase(0, *Used);
  if (m_Parser->isDone()) {
    stopTimer();
    dispatch();
    return;
  }
  if (m_Parser->isHeadDone() && std::exchange(m_IsHeaderTimerRunning, false)) {
    startTimer(m_Shared->m_Options.m_BodyTimeout, &CallerConnection::onRequestTimeout);
    if (m_Parser->head().m_Fields.has("Expect") && !std::exchange(m_HasSentContinue, true)) {
      write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
}

auto CallerConnection::onParseError(const absl::Status &Status) -> void {
  switch (Status.code()) {
  case absl::StatusCode::kResourceExhausted:
    refuse(RefusalReason::HeaderTooLarge);
    break;
  case absl::StatusCode::kOutOfRange:
    refuse(RefusalReason::BodyTooLarge);
    break;
  default:
    refuse(RefusalReason::MalformedRequest);
    break;
  }
}

auto CallerConnection::refuse(RefusalReason Reason) -> void {
  stopTimer();
  m_Phase = Phase::Serving;
  m_KeepsConnection = false;
  const auto &Text = forwarding::refusalText(Reason);
  auto Head = http1::ResponseHead{Text.m_Status, std::string(Text.m_Phrase), {}};
  if (m_Shared->m_Context != nullptr && Text.m_Status == 503) {
    auto &Context = *m_Shared->m_Context;
    const auto Factor = boost::random::uniform_real_distribution(1.0, 2.0)(Context.m_Random);
    const auto Seconds =
        std::chrono::duration<double>(Context.m_Options.m_RetryAfterBase).count() * Factor;
    Head.m_Fields.add("Retry-After", fmt::format("{:.3f}", Seconds));
    if (m_Parser && m_Parser->isHeadDone()) {
      Context.m_HeaderCodec.markRouterResponse(
          Head, Context.m_HeaderCodec.decodeRequest(m_Parser->head()).m_RequestId);
    }
  }
  m_Parser.reset();
  m_Input = std::string();
  // Evictions are logged together, with their count.
  if (m_Shared->m_Context != nullptr && Reason != RefusalReason::Overloaded) {
    m_Shared->m_Context->m_Log.record(base::LogLevel::Warning, "request_unreadable",
                                      {{"reason", Text.m_Name}, {"status", Text.m_Status}});
  }
  sendComplete(std::move(Head),
               fmt::format(R"({{"detail":"{}","code":"{}","verdict":"did_not_run"}})",
                           Text.m_Detail, Text.m_Name));
}

auto CallerConnection::dispatch() -> void {
  m_Phase = Phase::Serving;
  m_IsResponseComplete = false;
  auto &Head = m_Parser->head();
  m_KeepsConnection = m_Parser->keepsConnection();
  m_IsHeadMethod = Head.m_Method == "HEAD";
  if (m_Shared->m_Handler) {
    auto Response = m_Shared->m_Handler(Head);
    auto ResponseStart = http1::ResponseHead{Response.m_Status, std::move(Response.m_Reason), {}};
    ResponseStart.m_Fields.add("Content-Type", Response.m_ContentType);
    m_Parser.reset();
    sendComplete(std::move(ResponseStart), std::move(Response.m_Body));
    return;
  }
  m_ServedBodyBytes = m_Parser->body().size();
  m_Session = std::make_shared<forwarding::ForwardSession>(
      *m_Shared->m_Context, std::move(Head), std::move(m_Parser->body()), shared_from_this());
  m_Parser.reset();
  // The session may end and be released within start(); this reference keeps it alive until then.
  const auto Session = m_Session;
  Session->start();
}

auto CallerConnection::addConnectionField(http1::ResponseHead &Head) -> void {
  m_KeepsConnection = m_KeepsConnection && !m_Shared->m_ClosesAfterResponses;
  if (!m_KeepsConnection) {
    Head.m_Fields.add("Connection", "close");
  }
}

auto CallerConnection::sendComplete(http1::ResponseHead Head, std::string Body) -> void {
  if (m_Phase != Phase::Serving) {
    return;
  }
  addConnectionField(Head);
  const auto Bodyless = hasNoBody(Head.m_Status);
  auto Text = formatResponseHead(Head, Bodyless ? http1::Framing::None : http1::Framing::Length,
                                 Body.size());
  if (!Bodyless && !m_IsHeadMethod) {
    Text += Body;
  }
  m_IsResponseComplete = true;
  write(Text);
}

auto CallerConnection::begin(http1::ResponseHead Head) -> void {
  if (m_Phase != Phase::Serving) {
    return;
  }
  addConnectionField(Head);
  // The header is written together with the first piece, which follows at once.
  m_WriteQueue += formatResponseHead(Head, http1::Framing::Chunked, 0);
}

auto CallerConnection::sendChunk(std::string Piece) -> void {
  if (m_Phase == Phase::Serving) {
    write(http1::formatChunk(Piece));
  }
}

auto CallerConnection::finish() -> void {
  if (m_Phase == Phase::Serving) {
    m_IsResponseComplete = true;
    write(http1::LastChunk);
  }
}

auto CallerConnection::abort() -> void {
  if (m_Phase == Phase::Serving) {
    close();
  }
}

auto CallerConnection::write(std::string_view Text) -> void {
  m_WriteQueue += Text;
  if (m_BytesInFlight.empty()) {
    flush();
  }
}

auto CallerConnection::flush() -> void {
  m_BytesInFlight = std::exchange(m_WriteQueue, {});
  startTimer(m_Shared->m_Options.m_WriteTimeout, &CallerConnection::onWriteTimeout);
  updateAccount();
  asio::async_write(m_Socket, asio::buffer(m_BytesInFlight),
                    [Self = shared_from_this()](const error_code &Error, std::size_t) {
                      Self->onWritten(Error);
                    });
}

auto CallerConnection::onWritten(const error_code &Error) -> void {
  if (m_Phase == Phase::Closed) {
    return;
  }
  m_BytesInFlight.clear();
  stopTimer();
  m_Shared->m_Memory.touch(*m_Place);
  updateAccount();
  if (Error) {
    if (const auto Session = m_Session; Session && m_Phase == Phase::Serving) {
      Session->onCallerGone();
    }
    close();
    return;
  }
  if (!m_WriteQueue.empty()) {
    flush();
    return;
  }
  if (const auto Session = m_Session;
      Session && m_Phase == Phase::Serving && !m_IsResponseComplete) {
    Session->onCallerReady();
    return;
  }
  if (m_Phase == Phase::Serving && m_IsResponseComplete) {
    onResponseSent();
  }
}

auto CallerConnection::onResponseSent() -> void {
  m_Session.reset();
  m_Parser.reset();
  m_ServedBodyBytes = 0;
  m_BytesInFlight = std::string();
  if (m_Input.empty()) {
    m_Input = std::string();
  }
  if (!m_KeepsConnection || m_Shared->m_ClosesAfterResponses) {
    startLingeringClose();
    return;
  }
  m_Phase = Phase::Idle;
  m_Shared->m_Memory.setServed(*m_Place);
  startTimer(limits().m_IdleTimeout, &CallerConnection::onIdleTimeout);
  process();
  updateAccount();
  read();
}

auto CallerConnection::startLingeringClose() -> void {
  m_Phase = Phase::Closing;
  m_Input.clear();
  updateAccount();
  auto Ignored = error_code();
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  startTimer(LingerTime, &CallerConnection::close);
  read();
}

auto CallerConnection::closeIfIdle() -> void {
  if (m_Phase == Phase::Idle) {
    close();
  }
}

auto CallerConnection::answerBeforeStop() -> void {
  if (const auto Session = m_Session; Session && m_Phase == Phase::Serving) {
    Session->onRouterStops();
  }
}

auto CallerConnection::close() -> void {
  if (m_Phase == Phase::Closed) {
    return;
  }
  m_Phase = Phase::Closed;
  stopTimer();
  const auto Self = shared_from_this();
  leaveAccount();
  auto Ignored = error_code();
  m_Socket.close(Ignored);
  m_Shared->m_Connections.erase(Self);
  // The session may be the caller of this function, so it is released later.
  asio::post(m_Socket.get_executor(), [Self] { Self->m_Session.reset(); });
}

auto CallerConnection::onRequestTimeout() -> void { refuse(RefusalReason::RequestTimeout); }

auto CallerConnection::onIdleTimeout() -> void { closeIfIdle(); }

auto CallerConnection::onWriteTimeout() -> void {
  if (const auto Session = m_Session; Session && m_Phase == Phase::Serving) {
    Session->onCallerGone();
  }
  close();
}

} // namespace geraniumlift::transport
