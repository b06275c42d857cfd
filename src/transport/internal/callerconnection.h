#pragma once

#include "forwarding/forwardsession.h"
#include "http1/messageparser.h"
#include "transport/callerserver.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>

namespace geraniumlift::transport {

/// State shared by all connections of one server.
struct SharedServerState {
  SharedServerState(base::ITimers &Timers, const base::IClock &Clock, ServerOptions Options)
      : m_Timers(Timers), m_Options(Options), m_Memory(Timers, Clock, Options.m_Memory) {}

  base::ITimers &m_Timers;
  ServerOptions m_Options;

  /// Not null if requests are forwarded.
  forwarding::ForwardingContext *m_Context = nullptr;

  /// Set if requests are handled synchronously.
  DirectHandler m_Handler;
  bool m_ClosesAfterResponses = false;
  MemoryAccount m_Memory;
  std::set<std::shared_ptr<CallerConnection>> m_Connections;
};

/// One caller's connection. It reads requests one after the other and writes their responses.
/// Reading continues while a request is served, so that a disconnect is detected at once.
class CallerConnection final : public forwarding::IResponseWriter,
                               public IMemoryHolder,
                               public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(boost::asio::ip::tcp::socket Socket, std::shared_ptr<SharedServerState> Shared);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection &) = delete;
  auto operator=(const CallerConnection &) -> CallerConnection & = delete;

  auto start() -> void;

  /// Closes the connection unless a request is being read or served.
  auto closeIfIdle() -> void;

  /// Answers the request that is being served, unless its response has begun.
  auto answerBeforeStop() -> void;

  auto sendComplete(http1::ResponseHead Head, std::string Body) -> void override;
  auto begin(http1::ResponseHead Head) -> void override;
  auto sendChunk(std::string Piece) -> void override;
  auto finish() -> void override;
  auto abort() -> void override;
  auto evict(EvictionReason Reason) -> void override;
  auto onRoom() -> void override { read(); }
  [[nodiscard]] auto unsentBytes() const -> std::size_t override { return m_WriteQueue.size(); }

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
  auto onResponseSent() -> void;
  auto startLingeringClose() -> void;
  auto close() -> void;
  auto startTimer(std::chrono::milliseconds Delay, void (CallerConnection::*Handler)()) -> void;
  auto stopTimer() -> void;
  auto onRequestTimeout() -> void;
  auto onIdleTimeout() -> void;
  auto onWriteTimeout() -> void;

  /// Reports to the account what the connection holds.
  auto updateAccount() -> void;

  /// Removes the connection from the account.
  auto leaveAccount() -> void;
  auto addConnectionField(http1::ResponseHead &Head) -> void;

  boost::asio::ip::tcp::socket m_Socket;
  std::shared_ptr<SharedServerState> m_Shared;
  Phase m_Phase = Phase::Idle;
  std::optional<http1::RequestParser> m_Parser;
  std::shared_ptr<forwarding::ForwardSession> m_Session;
  bool m_KeepsConnection = true;
  bool m_IsResponseComplete = false;
  bool m_IsHeadMethod = false;
  bool m_HasSentContinue = false;

  /// Whether m_Timer limits the arrival of the request's header, not of its body.
  bool m_IsHeaderTimerRunning = false;
  base::TimerId m_Timer = 0;

  /// The account's entry; nothing before the start and after the close.
  std::optional<MemoryAccount::Place> m_Place;

  /// Size of the body of the request that is being served.
  std::size_t m_ServedBodyBytes = 0;
  std::string m_Input;
  bool m_IsReading = false;

  /// Bytes that wait until the current write has completed.
  std::string m_WriteQueue;

  /// Bytes of the current write; empty if none is running.
  std::string m_BytesInFlight;
  std::array<char, 8192> m_Buffer;
};

} // namespace geraniumlift::transport
