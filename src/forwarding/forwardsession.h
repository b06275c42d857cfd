#pragma once

#include "forwarding/eventsplitter.h"
#include "forwarding/forwardingcontext.h"

#include <memory>

namespace geraniumlift::forwarding {

/// Forwards one request of a caller: finds its route, checks the API key, reserves tokens, chooses
/// a target, retries at other targets where that is allowed, and responds to the caller.
class ForwardSession final : public std::enable_shared_from_this<ForwardSession>,
                             public ITargetEventHandler,
                             private base::IBufferHolder {
public:
  ForwardSession(ForwardingContext &Context, http1::RequestHead Head, std::string Body,
                 std::shared_ptr<IResponseWriter> Caller);
  ~ForwardSession() override;
  ForwardSession(const ForwardSession &) = delete;
  auto operator=(const ForwardSession &) -> ForwardSession & = delete;

  /// Starts to process the request. The response is sent through the IResponseWriter.
  auto start() -> void;

  /// Cancels the request because the caller has closed its connection.
  auto onCallerGone() -> void;

  /// Answers the request because the router stops, unless its response has begun.
  auto onRouterStops() -> void;

  /// Resumes reading from the target once the caller has read everything that was sent.
  auto onCallerReady() -> void;

private:
  auto onConnected() -> void override;
  auto onHead(http1::ResponseHead &Head) -> void override;
  auto onBody(std::string Bytes) -> void override;
  auto onEnd() -> void override;
  auto onFailed(base::Verdict Outcome, std::string_view Reason) -> void override;

  auto dropBuffer() -> void override;

  auto findRoute() -> std::optional<RefusalReason>;
  auto choosePool() -> void;
  auto usePool(const std::string &Name) -> void;

  /// Whether the request takes up a stream that another one has begun.
  [[nodiscard]] auto takesUpStream() const -> bool;

  /// Finds out which version began the stream that the request takes up, and goes on.
  auto findStreamOrigin() -> void;
  auto onStreamOrigin(const std::optional<streamversions::StreamOrigin> &Origin) -> void;

  /// Identifies the stream that the request begins or takes up.
  [[nodiscard]] auto streamKey() const -> streamversions::StreamKey;

  /// Whether a target with the version of the stream is registered that is not leaving.
  [[nodiscard]] auto hasTargetOfVersion() const -> bool;
  auto reserve() -> void;
  auto onReserved(const budget::Reservation &Outcome) -> void;

  /// Places the request and sends it to a target, or refuses it.
  auto sendToTarget() -> void;
  auto sendTo(const PlacementChoice &Choice) -> void;

  /// Sends a request that continues a stream, unless another process runs at the target by now.
  auto checkAndSend(const PlacementChoice &Choice) -> void;

  /// Refuses the request if no target would answer in time. Returns whether it did.
  auto refuseWithoutRoom(const PlacementDecision &Decision) -> bool;

  /// Priority within the pool: that of the workspace, or else that of the route.
  [[nodiscard]] auto priority() const -> std::int64_t;

  /// Requests a permit for a target with a limit and then decides anew.
  auto waitForPermit(ratelimits::TargetKey Target) -> void;

  /// Refuses the request, or ends its response, because no target takes it.
  auto refuseUnplaced(RefusalReason Reason) -> void;

  /// Tells the guard of the uplink how connecting ended, if it had not been told.
  auto recordConnectEnd(bool HasTimedOut) -> void;

  /// Refuses the request if a part of its prompt is in quarantine. Returns whether it did.
  auto refuseIfQuarantined() -> bool;

  [[nodiscard]] auto workspaceHash() const -> quarantine::WorkspaceHash;

  /// ID of a shared part of the prompt.
  [[nodiscard]] auto sharedPartId(std::size_t Index) const -> std::string;

  /// Reports that the connection to the target ended before the response had begun.
  auto reportLostConnection() -> void;
  auto formatTargetHead(const TargetRecord &Target) -> std::string;
  auto startIdleTimer(std::chrono::milliseconds Limit) -> void;
  auto onIdleTimeout() -> void;
  auto onDeadline() -> void;

  /// Records what the target says of itself in its response.
  auto recordStatements(const ResponseMetadata &Metadata) -> void;

  /// Whether the response goes on with the stream that the caller has begun to receive.
  [[nodiscard]] auto isContinuation(const http1::ResponseHead &Head) const -> bool;

  /// Handles the end of a buffered response: retries after a 5xx status if that is allowed,
  /// otherwise sends the response to the caller.
  auto onBufferedResponse() -> void;
  /// Releases the buffered body; an incomplete event stays.
  auto releaseBuffer() -> void;

  /// Counts the buffered part of the response. The attempt may have failed when this returns.
  auto countBuffered() -> void;

  auto forwardEvents(std::string_view Bytes) -> void;
  auto beginResponse() -> void;

  /// Ends the attempt and retries the request, or refuses it, or closes the caller's connection if
  /// part of the response was sent.
  auto attemptFailed(base::Verdict Outcome, AttemptResult Result, std::string_view Reason) -> void;
  [[nodiscard]] auto mayRetry(base::Verdict Outcome) -> bool;

  /// Counts a failure to connect. Returns whether another target may be tried.
  auto mayConnectAgain(std::string_view Reason) -> bool;
  auto endAttempt(AttemptResult Result) -> void;
  auto recordFirstByte() -> void;

  /// Tells the table of targets how long a successful response took after its beginning.
  auto recordResponseTime() -> void;

  /// Tokens that the request takes up in a target's memory at most.
  [[nodiscard]] auto heldTokens() const -> Tokens {
    return m_Fields.m_Prompt ? m_Fields.m_Prompt->worstCase() : 0;
  }

  auto refuse(RefusalReason Reason) -> void;
  [[nodiscard]] auto retryAfter(RefusalReason Reason) -> std::chrono::milliseconds;
  auto finish(std::string_view Result) -> void;
  [[nodiscard]] auto usedTokens() const -> Tokens;
  [[nodiscard]] auto now() const -> base::SteadyTime;
  [[nodiscard]] auto timeLeft() const -> std::chrono::milliseconds;
  [[nodiscard]] auto elapsed() const -> std::chrono::milliseconds;

  ForwardingContext &m_Context;
  http1::RequestHead m_Head;
  std::shared_ptr<const std::string> m_Body;
  std::shared_ptr<IResponseWriter> m_Caller;
  base::SteadyTime m_Arrived;
  base::SteadyTime m_Deadline;
  base::TimerId m_DeadlineTimer = 0;
  base::TimerId m_IdleTimer = 0;

  RequestFields m_Fields;
  RoutingTablePtr m_Table;
  const Route *m_Route = nullptr;
  const Workspace *m_Workspace = nullptr;
  std::string m_Pool;
  Tokens m_TokensPerEvent = 1;

  /// Parameters of the pool's engines; nullptr if it has none.
  const EngineParameters *m_Engine = nullptr;

  /// Shared parts of the prompt, as the quarantine knows them.
  std::vector<quarantine::PartHash> m_SharedParts;

  /// Why the request is refused, if a part of its prompt is in quarantine.
  std::optional<quarantine::Block> m_Block;

  /// Tokens reserved from the budget and not yet settled.
  Tokens m_Reserved = 0;
  std::string m_ReservationSource;
  bool m_IsReserving = false;

  std::unique_ptr<ITargetAttempt> m_Attempt;
  std::string m_TargetId;
  std::int64_t m_TargetIncarnation = 0;
  std::string m_TargetVersion;

  /// The version at which the stream has begun; nothing before that.
  std::optional<std::string> m_StreamVersion;
  std::set<std::string> m_TriedTargets;
  int m_PermitRequests = 0;

  /// Attempts that failed before the request was sent to any target, because of the target and
  /// because of the way to it.
  int m_ConnectFailures = 0;
  int m_PathFailures = 0;

  /// Time until a target may open, if the gate keeps the request from all targets.
  std::optional<std::chrono::milliseconds> m_GateWait;
  std::int64_t m_SendCount = 0;
  double m_ExpectedMs = 0.0;

  /// Prompt tokens that the target is not expected to have in its cache.
  Tokens m_UncachedTokens = 0;

  /// When the current attempt began, and what it met at its target.
  base::SteadyTime m_SentAt;
  AttemptWork m_Work;

  /// When the response to the current attempt began.
  std::optional<base::SteadyTime> m_AnsweredAt;
  bool m_IsAwaitingResponse = false;
  bool m_IsConnecting = false;

  /// Whether a target may have run the request: it was sent to one that did not state otherwise.
  bool m_MayHaveRun = false;

  std::optional<http1::ResponseHead> m_ResponseHead;
  std::string m_BufferedBody;

  /// Whether m_Context.m_ResponseBuffers counts this session.
  bool m_IsBufferCounted = false;
  bool m_IsEventStream = false;

  /// Whether only the end of the connection ends the response: it has neither a length nor chunks.
  bool m_IsUnframed = false;
  bool m_HasResponseBegun = false;

  /// Status and media type of the response that the caller has begun to receive.
  int m_BegunStatus = 0;
  std::string m_BegunMediaType;
  EventSplitter m_Events;
  std::int64_t m_EventsSent = 0;

  /// Events that earlier attempts had sent when the current one began.
  std::int64_t m_EventsBeforeAttempt = 0;
  std::optional<base::SteadyTime> m_FirstByteAt;

  /// Limit that the last target named; 0 if it named none.
  double m_NamedLimit = 0.0;
  bool m_IsPaused = false;
  bool m_IsFinished = false;
};

} // namespace geraniumlift::forwarding
