#include "forwarding/forwardsession.h"

#include <absl/strings/ascii.h>

// The part of ForwardSession that handles responses of targets.

namespace geraniumlift::forwarding {

namespace {

/// Buffered bytes of one session that are not counted, so that ordinary responses cost no
/// accounting.
constexpr auto UncountedBufferBytes = std::size_t{8} * 1024;

auto isSuccess(int Status) -> bool { return Status >= 200 && Status < 300; }

auto mayHaveBody(std::string_view Method, int Status) -> bool {
  return Method != "HEAD" && Status != 204 && Status != 304;
}

/// Statuses that callers take to mean that the request did not run. A target's response with one of
/// them but without its not-run mark must not be passed on, because the request may have run.
auto impliesNotRun(int Status) -> bool {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// The media type of a response in lower case, without its parameters; empty if it has none.
auto mediaType(const http1::ResponseHead &Head) -> std::string {
  const auto Value = Head.m_Fields.find("Content-Type").value_or("");
  auto Type = absl::AsciiStrToLower(std::string(Value.substr(0, Value.find(';'))));
  absl::StripAsciiWhitespace(&Type);
  return Type;
}

} // namespace

auto ForwardSession::recordFirstByte() -> void {
  if (std::exchange(m_IsAwaitingResponse, false) && m_Fields.m_Prompt) {
    m_Context.m_Targets.recordResponseStart(m_TargetId, m_UncachedTokens);
  }
  if (!m_AnsweredAt && m_Attempt && m_ResponseHead && m_ResponseHead->m_Status < 500) {
    m_AnsweredAt = now();
    m_Context.m_Targets.recordFirstEvent(
        m_TargetId, m_TargetIncarnation, m_Work,
        std::chrono::duration_cast<std::chrono::milliseconds>(*m_AnsweredAt - m_SentAt), now());
  }
  if (!m_FirstByteAt) {
    m_FirstByteAt = now();
  }
}

auto ForwardSession::onHead(http1::ResponseHead &Head) -> void {
  const auto Metadata = m_Context.m_HeaderCodec.decodeResponse(Head);
  if (Metadata.m_RequestId != m_Fields.m_RequestId) {
    attemptFailed(base::Verdict::MayHaveRun, AttemptResult::Failed, "answer_of_another_request");
    return;
  }
  m_NamedLimit = Metadata.m_RequestsPerSecond.value_or(0.0);
  if (!Metadata.m_IsWrongTarget) {
    recordStatements(Metadata);
  }
  if (Metadata.m_DidNotRun && !Metadata.m_IsWrongTarget && !Metadata.m_Pause) {
    m_Context.m_Targets.recordTurnedAway(m_TargetId, m_TargetIncarnation,
                                         m_Work.m_Ahead.m_ActiveRequests, now());
  }
  if (Metadata.m_DidNotRun || Metadata.m_IsWrongTarget) {
    // A target that asks for a pause has not failed.
    attemptFailed(base::Verdict::DidNotRun,
                  Metadata.m_Pause ? AttemptResult::Unknown : AttemptResult::Refused,
                  Metadata.m_IsWrongTarget ? "other_target_at_address" : "refused_by_target");
    return;
  }
  if ((isSuccess(Head.m_Status) && !Metadata.m_IsSigned) || Metadata.m_IsEncoded ||
      impliesNotRun(Head.m_Status)) {
    attemptFailed(base::Verdict::MayHaveRun,
                  Metadata.m_Pause ? AttemptResult::Unknown : AttemptResult::Failed,
                  "unusable_answer");
    return;
  }
  m_IsEventStream = m_Route->m_Kind == RequestKind::Streaming && isSuccess(Head.m_Status);
  if (m_HasResponseBegun && !isContinuation(Head)) {
    attemptFailed(base::Verdict::MayHaveRun, AttemptResult::Failed, "not_resumed");
    return;
  }
  m_IsUnframed = mayHaveBody(m_Head.m_Method, Head.m_Status) &&
                 !Head.m_Fields.has("Content-Length") && !Head.m_Fields.has("Transfer-Encoding");
  m_ResponseHead = std::move(Head);
  removeHopByHopFields(m_ResponseHead->m_Fields);
}

auto ForwardSession::recordStatements(const ResponseMetadata &Metadata) -> void {
  if (const auto *Target = m_Context.m_Targets.find(m_TargetId)) {
    m_Context.m_Limits.onAnswer(Target->limitKey(),
                                {Metadata.m_RequestsPerSecond, Metadata.m_MaxRejections});
    m_Context.m_Limits.onOutcome(Target->limitKey(), Metadata.m_DidNotRun);
  }
  if (Metadata.m_IsLeaving || Metadata.m_Pause) {
    const auto *Target = m_Context.m_Targets.find(m_TargetId);
    const auto IsKnown = Target != nullptr && Target->record().m_Incarnation == m_TargetIncarnation;
    m_Context.m_Log.record(
        base::LogLevel::Debug, "target_statement",
        {{"request", m_Fields.m_RequestId},
         {"target", m_TargetId},
         {"incarnation", m_TargetIncarnation},
         {"registered", IsKnown},
         {"leaving", Metadata.m_IsLeaving},
         {"pause_ms", Metadata.m_Pause ? Metadata.m_Pause->count() : -1},
         {"leaving_for_ms", IsKnown && Target->statements().m_LeavingSince
                                ? std::chrono::duration_cast<std::chrono::milliseconds>(
                                      now() - *Target->statements().m_LeavingSince)
                                      .count()
                                : -1}});
  }
  if (Metadata.m_IsLeaving) {
    m_Context.m_Targets.recordLeaving(m_TargetId, m_TargetIncarnation, now());
  }
  if (Metadata.m_Pause) {
    m_Context.m_Targets.recordPause(m_TargetId, m_TargetIncarnation, *Metadata.m_Pause, now());
  }
  if (!Metadata.m_HasUnreadableSignal) {
    return;
  }
  const auto Count = m_Context.m_Targets.countUnreadableStatement(m_TargetId);
  // Powers of two, so that a target that repeats itself does not fill the log.
  if ((Count & (Count - 1)) == 0) {
    m_Context.m_Log.record(
        base::LogLevel::Warning, "target_statement_unreadable",
        {{"request", m_Fields.m_RequestId}, {"target", m_TargetId}, {"count", Count}});
  }
}

auto ForwardSession::isContinuation(const http1::ResponseHead &Head) const -> bool {
  return m_IsEventStream && Head.m_Status == m_BegunStatus && mediaType(Head) == m_BegunMediaType;
}

auto ForwardSession::beginResponse() -> void {
  m_HasResponseBegun = true;
  if (m_IsEventStream && m_Route->isResumableStream()) {
    m_StreamVersion = m_TargetVersion;
  }
  // A caller that does not say which stream it takes up leaves nothing to remember it by.
  if (m_StreamVersion && !(takesUpStream() && m_Fields.m_BegunBy.empty())) {
    m_Context.m_StreamVersions.onBegin(streamKey(), {m_Pool, m_TargetVersion});
  }
  m_BegunStatus = m_ResponseHead->m_Status;
  m_BegunMediaType = mediaType(*m_ResponseHead);
  m_Caller->begin(*m_ResponseHead);
}

auto ForwardSession::onBody(std::string Bytes) -> void {
  if (!m_ResponseHead) {
    return;
  }
  if (m_IsEventStream) {
    forwardEvents(Bytes);
    return;
  }
  m_BufferedBody += Bytes;
  if (m_BufferedBody.size() > m_Context.m_Options.m_MaxBufferedResponseBytes) {
    attemptFailed(base::Verdict::Ran, AttemptResult::Failed, "answer_too_large");
    return;
  }
  countBuffered();
}

auto ForwardSession::countBuffered() -> void {
  const auto Bytes = m_BufferedBody.size() + m_Events.partialEventBytes();
  if (Bytes > UncountedBufferBytes || m_IsBufferCounted) {
    m_IsBufferCounted = true;
    m_Context.m_ResponseBuffers.setHeld(*this, Bytes);
  }
}

auto ForwardSession::releaseBuffer() -> void {
  m_BufferedBody = std::string();
  if (std::exchange(m_IsBufferCounted, false)) {
    m_Context.m_ResponseBuffers.setHeld(*this, 0);
  }
}

auto ForwardSession::dropBuffer() -> void {
  attemptFailed(base::Verdict::MayHaveRun, AttemptResult::Failed, "answers_too_large");
}

auto ForwardSession::forwardEvents(std::string_view Bytes) -> void {
  auto Complete = m_Events.add(Bytes);
  if (Complete.empty()) {
    if (m_Events.partialEventBytes() > m_Context.m_Options.m_MaxEventBytes) {
      attemptFailed(base::Verdict::MayHaveRun, AttemptResult::Failed, "event_too_large");
      return;
    }
    countBuffered();
    return;
  }
  recordFirstByte();
  if (!m_HasResponseBegun) {
    m_Context.m_Quarantine.onResponseBegun(m_SharedParts);
    beginResponse();
  }
  m_EventsSent = m_Events.count();
  m_Caller->sendChunk(std::move(Complete));
  if (m_Route->isRetryable()) {
    startIdleTimer(m_Context.m_Options.m_StreamIdleTimeout);
  }
  if (!m_IsPaused && m_Caller->unsentBytes() > m_Context.m_Options.m_MaxUnsentBytes) {
    m_IsPaused = true;
    m_Attempt->pause(true);
  }
  countBuffered();
}

auto ForwardSession::onCallerReady() -> void {
  if (m_IsPaused && m_Attempt && m_Caller->unsentBytes() == 0) {
    m_IsPaused = false;
    m_Attempt->pause(false);
  }
}

auto ForwardSession::onEnd() -> void {
  if (!m_ResponseHead) {
    attemptFailed(base::Verdict::MayHaveRun, AttemptResult::Failed, "no_answer");
    return;
  }
  if (!m_IsEventStream) {
    onBufferedResponse();
    return;
  }
  // The end of the connection may be that of the target's process.
  const auto HasNoEvent = m_IsUnframed && m_EventsSent == m_EventsBeforeAttempt;
  if (m_Events.hasPartialEvent() || HasNoEvent) {
    const auto *Reason = HasNoEvent ? "ended_without_an_event" : "ended_within_an_event";
    m_Events.takePartialEvent();
    reportLostConnection();
    attemptFailed(base::Verdict::Ran, AttemptResult::Failed, Reason);
    return;
  }
  endAttempt(AttemptResult::Success);
  recordFirstByte();
  if (!m_HasResponseBegun) {
    beginResponse();
  }
  m_Caller->finish();
  finish("answered");
}

auto ForwardSession::onBufferedResponse() -> void {
  recordFirstByte();
  const auto Status = m_ResponseHead->m_Status;
  if (Status >= 500 && mayRetry(base::Verdict::Ran)) {
    attemptFailed(base::Verdict::Ran, AttemptResult::Failed, "failed_by_target");
    return;
  }
  auto Body = std::exchange(m_BufferedBody, {});
  endAttempt(Status >= 500 ? AttemptResult::Failed : AttemptResult::Success);
  m_MayHaveRun = true;
  m_Caller->sendComplete(std::move(*m_ResponseHead), std::move(Body));
  finish(Status >= 500 ? "failed_by_target" : "answered");
}

} // namespace geraniumlift::forwarding
