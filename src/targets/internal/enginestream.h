#pragma once

#include "targets/ienginestream.h"
#include "targets/internal/httpexchange.h"
#include "targets/internal/sseparser.h"
#include "targets/internal/streamstate.h"
#include "targets/internal/targetcontext.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace geraniumlift::targets {

/// One completion, which may span several consecutive connections. Used on the scheduler's thread
/// only.
class EngineStream : public std::enable_shared_from_this<EngineStream>,
                     private base::IBufferHolder {
public:
  EngineStream(const TargetContext &Context, StreamRequest Request,
               std::shared_ptr<IStreamObserver> Observer);
  ~EngineStream() override;

  /// Sends the request. OnEnded is called once, after the observer's last call.
  auto start(std::function<void()> OnEnded) -> void;

  /// Ends the stream and cancels the request on the engine.
  auto cancel() -> void;

private:
  /// Receives the response on one connection. Each connection gets a receiver of its own, so that
  /// late calls from a replaced connection are dropped.
  class ConnectionReceiver;

  auto dropBuffer() -> void override;
  auto onHead(const HttpResponseHead &Head) -> void;
  auto onBytes(std::string_view Bytes) -> void;
  auto onConnectionEnd(const HttpEnd &End) -> void;

  auto openConnection(const HttpRequest &Request) -> void;
  auto openResumption() -> void;
  auto closeConnection() -> void;

  /// Returns false if the connection was closed or the stream has ended.
  auto handleEvent(const SseEvent &Event) -> bool;
  auto deliver(const SseEvent &Event) -> void;
  auto handleErrorStatus(const HttpEnd &End) -> void;
  auto resume(const std::string &Reason) -> void;
  auto checkProgress() -> void;
  auto scheduleProgressCheck() -> void;

  auto complete() -> void;

  /// Ends a stream whose request may still run on the engine, and cancels the request there.
  auto cancelAndEnd(const std::string &Detail) -> void;
  auto end(StreamEnd End) -> void;

  [[nodiscard]] auto completionRequest() const -> HttpRequest;
  [[nodiscard]] auto resumptionRequest() const -> HttpRequest;
  auto sendCancellation() -> void;

  const TargetContext &m_Context;
  StreamRequest m_Request;
  std::shared_ptr<IStreamObserver> m_Observer;
  std::function<void()> m_OnEnded;
  StreamState m_State;
  SseParser m_Parser;
  std::shared_ptr<ConnectionReceiver> m_Receiver;
  std::shared_ptr<HttpExchange> m_Exchange;
  std::optional<HttpResponseHead> m_Head;
  base::SteadyTime m_LastProgress;
  std::int64_t m_ResumptionsWithoutEvent = 0;
  bool m_IsResumption = false;
  bool m_Ended = false;
};

} // namespace geraniumlift::targets
