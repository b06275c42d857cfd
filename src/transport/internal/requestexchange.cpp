#include "transport/requestexchange.h"

#include "transport/internal/socketstate.h"

#include <boost/asio/write.hpp>

namespace geraniumlift::transport {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Interim (1xx) responses that a peer may send before the final one. Peers that speak HTTP/1.1
/// send at most one or two.
constexpr auto MaxInterimResponses = 8;

/// How often it is checked whether a peer that has ended its side reads the rest of a request.
constexpr auto UploadCheckPeriod = std::chrono::milliseconds(10);

} // namespace

RequestExchange::RequestExchange(asio::ip::tcp::socket Socket, const http1::MessageLimits &Limits,
                                 bool IsHeadMethod, std::shared_ptr<IResponseHandler> Handler)
    : m_Socket(std::move(Socket)), m_UploadCheck(m_Socket.get_executor()), m_Limits(Limits),
      m_IsHeadMethod(IsHeadMethod), m_Parser(Limits, IsHeadMethod), m_Handler(std::move(Handler)) {}

auto RequestExchange::start(std::string Head, std::shared_ptr<const std::string> Body) -> void {
  m_Head = std::move(Head);
  m_Body = std::move(Body);
  const auto Buffers =
      std::array<asio::const_buffer, 2>{asio::buffer(m_Head), asio::buffer(*m_Body)};
  asio::async_write(m_Socket, Buffers,
                    [Self = shared_from_this()](const error_code &Error, std::size_t) {
                      // Reading goes on after a failed write, since a whole response may have
                      // arrived before.
                      Self->m_Upload = Error ? Upload::Failed : Upload::Done;
                    });
  read();
}

auto RequestExchange::pause(bool IsPaused) -> void {
  m_IsPaused = IsPaused;
  if (!IsPaused && !m_IsReading && m_Handler) {
    read();
  }
}

auto RequestExchange::abort() -> void {
  if (m_Handler) {
    auto Ignored = error_code();
    m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  }
  close();
}

auto RequestExchange::close() -> void {
  m_Handler.reset();
  auto Ignored = error_code();
  m_UploadCheck.cancel(Ignored);
  m_Socket.close(Ignored);
}

auto RequestExchange::fail(std::string_view Reason) -> void {
  if (const auto Handler = std::exchange(m_Handler, nullptr)) {
    close();
    Handler->onBroken(Reason);
  }
}

auto RequestExchange::read() -> void {
  if (m_IsPaused) {
    return;
  }
  m_IsReading = true;
  m_Socket.async_read_some(asio::buffer(m_Buffer),
                           [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
                             Self->m_IsReading = false;
                             Self->onRead(Error, Size);
                           });
}

auto RequestExchange::onRead(const error_code &Error, std::size_t Size) -> void {
  if (!m_Handler) {
    return;
  }
  // The end of a tunnel itself says nothing of the peer behind it.
  if (Error == asio::error::eof && !m_Tunnel) {
    onClosed();
    return;
  }
  if (Error) {
    fail("reset");
    return;
  }
  const auto Bytes = std::string_view(m_Buffer.data(), Size);
  if (!m_Tunnel) {
    parse(Bytes);
  } else if (!m_Tunnel->feed(Bytes).ok()) {
    fail("not_http");
  } else {
    parse(std::exchange(m_Tunnel->body(), {}));
    if (m_Handler && m_Tunnel->isDone()) {
      onClosed();
      return;
    }
  }
  if (m_Handler) {
    read();
  }
}

auto RequestExchange::parse(std::string_view Bytes) -> void {
  while (!Bytes.empty() && m_Handler) {
    const auto Used = m_Parser.feed(Bytes);
    if (!Used.ok()) {
      fail("not_http");
      return;
    }
    Bytes.remove_prefix(*Used);
    deliver();
    if (m_Parser.isDone() && !skipInterimResponse()) {
      // The peer may still expect the rest of a request that it has answered early.
      finish(Bytes.empty() && !m_Tunnel && m_Parser.keepsConnection() && m_Upload == Upload::Done);
      return;
    }
  }
}

auto RequestExchange::deliver() -> void {
  const auto Handler = m_Handler;
  if (!m_IsHeadDelivered && m_Parser.isHeadDone()) {
    if (m_Parser.head().m_Status < 200) {
      return;
    }
    m_IsHeadDelivered = true;
    Handler->onHead(m_Parser.head());
  }
  if (m_IsHeadDelivered && m_Handler && !m_Parser.body().empty()) {
    Handler->onBody(std::exchange(m_Parser.body(), {}));
  }
}

auto RequestExchange::skipInterimResponse() -> bool {
  if (!m_Handler || m_IsHeadDelivered) {
    return false;
  }
  m_Parser = http1::ResponseParser(m_Limits, m_IsHeadMethod);
  if (++m_InterimResponses > MaxInterimResponses) {
    fail("too_many_interim_responses");
  }
  return true;
}

auto RequestExchange::finish(bool IsReusable) -> void {
  if (const auto Handler = std::exchange(m_Handler, nullptr)) {
    if (!IsReusable) {
      close();
    }
    Handler->onEnd(IsReusable);
  }
}

auto RequestExchange::isUploading() -> bool {
  return m_Upload == Upload::Writing || hasUnacknowledgedBytes(m_Socket);
}

auto RequestExchange::isReset() -> bool {
  return m_Upload == Upload::Failed || hasPendingError(m_Socket);
}

auto RequestExchange::onClosed() -> void {
  if (!m_Handler) {
    return;
  }
  // The other end of a tunnel has checked its connection to the peer.
  const auto MayBeReset = m_Parser.endsAtClose() && !m_Tunnel;
  if (MayBeReset && isReset()) {
    fail("reset");
    return;
  }
  // A peer that has ended only its own side reads the rest of the request. One that has ended
  // resets the connection instead.
  if (MayBeReset && isUploading()) {
    m_UploadCheck.expires_after(UploadCheckPeriod);
    m_UploadCheck.async_wait([Self = shared_from_this()](const error_code &) { Self->onClosed(); });
    return;
  }
  const auto Status = m_Parser.finishAtClose();
  // After an interim response the parser waits for the final one.
  if (!Status.ok() || !m_Parser.isDone()) {
    fail("closed_early");
    return;
  }
  deliver();
  finish(false);
}

} // namespace geraniumlift::transport
