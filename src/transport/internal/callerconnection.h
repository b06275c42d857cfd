#pragma once

#include "forwarding/forwardsession.h"
#include "http1/messageparser.h"
#include "transport/callerserver.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>

namespace geraniumlift::transport {

/// What the connections of one server share.
struct ServerShared {
  base::ITimers &m_Timers;
  ServerOptions m_Options;

  /// Set if requests are forwarded.
  forwarding::ForwardingContext *m_Context = nullptr;

  /// Set if requests are answered at once.
  DirectHandler m_Handler;
  bool m_ClosesAfterAnswers = false;
  std::set<std::shared_ptr<CallerConnection>> m_Connections;
};

/// One caller's connection: reads requests one after the other and writes their answers. Reading
/// goes on while a request is served, so that a caller that leaves is noticed at once.
class CallerConnection final : public forwarding::IResponseWriter,
                               public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(boost::asio::ip::tcp::socket Socket, std::shared_ptr<ServerShared> Shared);

  auto start() -> void;

  /// Closes the connection unless a request is being read or served.
  auto closeIfIdle() -> void;

  auto sendComplete(http1::ResponseHead Head, std::string Body) -> void override;
  auto begin(http1::ResponseHead Head) -> void override;
  auto sendChunk(std::string Piece) -> void override;
  auto finish() -> void override;
  auto abort() -> void override;
  [[nodiscard]] auto unsentBytes() const -> std::size_t override { return m_Out.size(); }

private:
  enum class Phase { Idle, Reading, Serving, Closing, Closed };

  [[nodiscard]] auto limits() const -> forwarding::CallerLimits;
  auto read() -> void;
  auto onRead(const boost::system::error_code &Error, std::size_t Size) -> void;
  auto process() -> void;
  auto onParseError(const absl::Status &Status) -> void;
  auto dispatch() -> void;
  auto refuse(forwarding::RefusalReason Reason) -> void;
  auto write(std::string_view Text) -> void;
  auto flush() -> void;
  auto onWritten(const boost::system::error_code &Error) -> void;
  auto onAnswered() -> void;
  auto linger() -> void;
  auto close() -> void;
  auto startTimer(std::chrono::milliseconds Delay, void (CallerConnection::*Handler)()) -> void;
  auto stopTimer() -> void;
  auto onRequestTimeout() -> void;
  auto onIdleTimeout() -> void;
  auto onWriteTimeout() -> void;
  auto addConnectionField(http1::ResponseHead &Head) -> void;

  boost::asio::ip::tcp::socket m_Socket;
  std::shared_ptr<ServerShared> m_Shared;
  Phase m_Phase = Phase::Idle;
  std::optional<http1::RequestParser> m_Parser;
  std::shared_ptr<forwarding::ForwardSession> m_Session;
  bool m_KeepsConnection = true;
  bool m_IsAnswerDone = false;
  bool m_IsHeadMethod = false;
  bool m_HasContinued = false;
  bool m_IsHeaderTimer = false;
  base::TimerId m_Timer = 0;
  std::string m_Input;
  bool m_IsReading = false;
  std::string m_Out;
  std::string m_Writing;
  std::array<char, 8192> m_Buffer;
};

} // namespace geraniumlift::transport
