#pragma once

#include "http1/messageparser.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace geraniumlift::transport {

/// Receives one response. onEnd or onBroken is the last call.
class IResponseHandler {
public:
  virtual ~IResponseHandler() = default;
  virtual auto onHead(http1::ResponseHead &Head) -> void = 0;
  virtual auto onBody(std::string Bytes) -> void = 0;

  /// Called when the response has arrived completely. IsReusable states whether the connection can
  /// serve another request.
  virtual auto onEnd(bool IsReusable) -> void = 0;

  /// Called when the connection was lost before the end of the response, or when the bytes are no
  /// response. The reason is a word for the log.
  virtual auto onBroken(std::string_view Reason) -> void = 0;
};

/// Sends one request on an open connection and reads its response, which may begin before the
/// request is sent. All that reads responses from sockets goes through this class, so that a broken
/// one is recognised everywhere alike. Pending operations keep the object alive, which keeps its
/// handler until the last call.
class RequestExchange final : public std::enable_shared_from_this<RequestExchange> {
public:
  RequestExchange(boost::asio::ip::tcp::socket Socket, const http1::MessageLimits &Limits,
                  bool IsHeadMethod, std::shared_ptr<IResponseHandler> Handler);

  /// Sets the parser of the tunnel through which the peer is reached. It has read the head of the
  /// tunnel's answer; the peer's bytes are its body. To be called before start().
  auto setTunnel(http1::ResponseParser Tunnel) -> void { m_Tunnel = std::move(Tunnel); }

  /// Sends the request. The handler is called after this function has returned.
  auto start(std::string Head, std::shared_ptr<const std::string> Body) -> void;

  /// Pauses or resumes reading.
  auto pause(bool IsPaused) -> void;

  /// Closes the connection; no call of the handler follows. The system still sends what it has.
  auto close() -> void;

  /// As close(), but if the exchange has not ended by itself, what is not sent yet is discarded:
  /// behind a full link it would reach the peer later.
  auto abort() -> void;

  /// Whether any byte of a response has arrived.
  [[nodiscard]] auto hasStarted() const -> bool { return m_Parser.hasStarted(); }

  /// Returns the connection after onEnd(true).
  [[nodiscard]] auto takeSocket() -> boost::asio::ip::tcp::socket { return std::move(m_Socket); }

private:
  /// How far the request is written.
  enum class Upload { Writing, Done, Failed };

  auto read() -> void;
  auto onRead(const boost::system::error_code &Error, std::size_t Size) -> void;
  auto parse(std::string_view Bytes) -> void;
  auto deliver() -> void;

  /// Handles the regular end of the connection to the peer.
  auto onClosed() -> void;
  auto finish(bool IsReusable) -> void;
  auto fail(std::string_view Reason) -> void;

  /// Whether the peer has not received the whole request yet.
  [[nodiscard]] auto isUploading() -> bool;

  /// Whether the connection was reset.
  [[nodiscard]] auto isReset() -> bool;

  /// Prepares for the next response if the one that has ended is an interim (1xx) one. Returns
  /// false for a final response.
  auto skipInterimResponse() -> bool;

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_UploadCheck;
  http1::MessageLimits m_Limits;
  bool m_IsHeadMethod;
  http1::ResponseParser m_Parser;
  std::optional<http1::ResponseParser> m_Tunnel;
  std::shared_ptr<IResponseHandler> m_Handler;
  std::string m_Head;
  std::shared_ptr<const std::string> m_Body;
  Upload m_Upload = Upload::Writing;
  int m_InterimResponses = 0;
  bool m_IsHeadDelivered = false;
  bool m_IsPaused = false;
  bool m_IsReading = false;
  std::array<char, 16384> m_Buffer;
};

} // namespace geraniumlift::transport
