#include "forwarding/forwardsession.h"

// What a session does with the answer of a target.

namespace geraniumlift::forwarding {

namespace {

auto isSuccess(int Status) -> bool { return Status >= 200 && Status < 300; }

/// Statuses that tell a caller that the request did not run. A target's own answer with one of them
/// that does not state so cannot be passed on.
auto promisesNotRun(int Status) -> bool {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

auto ForwardSession::noteFirstAnswer() -> void {
  if (std::exchange(m_IsWaitingForAnswer, false) && m_Fields.m_Prompt) {
    m_Context.m_Targets.noteAnswering(m_TargetId, m_ToRead);
  }
  if (!m_FirstByteAt) {
    m_FirstByteAt = now();
  }
}

auto ForwardSession::onHead(http1::ResponseHead &Head) -> void {
  const auto Facts = m_Context.m_Dialect.readAnswer(Head);
  if (Facts.m_RequestId != m_Fields.m_RequestId) {
    attemptFailed(base::Verdict::MayHaveRun, AttemptSign::Broken, "answer_of_another_request");
    return;
  }
  if (Facts.m_IsNotRun || Facts.m_IsOtherTarget) {
    attemptFailed(base::Verdict::DidNotRun, AttemptSign::Refused,
                  Facts.m_IsOtherTarget ? "other_target_at_address" : "refused_by_target");
    return;
  }
  if ((isSuccess(Head.m_Status) && !Facts.m_IsSigned) || Facts.m_IsEncoded ||
      promisesNotRun(Head.m_Status)) {
    attemptFailed(base::Verdict::MayHaveRun, AttemptSign::Broken, "unusable_answer");
    return;
  }
  m_IsEventStream = m_Route->m_Kind == RequestKind::Streaming && isSuccess(Head.m_Status);
  if (m_HasBegun && !m_IsEventStream) {
    attemptFailed(base::Verdict::MayHaveRun, AttemptSign::Broken, "not_resumed");
    return;
  }
  m_AnswerHead = std::move(Head);
  removeHopByHopFields(m_AnswerHead->m_Fields);
}

auto ForwardSession::onBody(std::string Bytes) -> void {
  if (!m_AnswerHead) {
    return;
  }
  if (m_IsEventStream) {
    forwardEvents(Bytes);
    return;
  }
  m_WholeBody += Bytes;
  if (m_WholeBody.size() > m_Context.m_Options.m_MaxWholeAnswerBytes) {
    attemptFailed(base::Verdict::Ran, AttemptSign::Broken, "answer_too_large");
  }
}

auto ForwardSession::forwardEvents(std::string_view Bytes) -> void {
  auto Complete = m_Events.add(Bytes);
  if (Complete.empty()) {
    return;
  }
  noteFirstAnswer();
  if (!std::exchange(m_HasBegun, true)) {
    m_Caller->begin(*m_AnswerHead);
  }
  m_EventsSent = m_Events.count();
  m_Caller->sendPiece(std::move(Complete));
  if (m_Route->isRepeatable()) {
    watchSilence(m_Context.m_Options.m_StreamPauseLimit);
  }
  if (!m_IsPaused && m_Caller->unsentBytes() > m_Context.m_Options.m_MaxUnsentBytes) {
    m_IsPaused = true;
    m_Attempt->pause(true);
  }
}

auto ForwardSession::onCallerReady() -> void {
  if (m_IsPaused && m_Attempt && m_Caller->unsentBytes() == 0) {
    m_IsPaused = false;
    m_Attempt->pause(false);
  }
}

auto ForwardSession::onEnd() -> void {
  if (!m_AnswerHead) {
    attemptFailed(base::Verdict::MayHaveRun, AttemptSign::Broken, "no_answer");
    return;
  }
  if (!m_IsEventStream) {
    onWholeAnswer();
    return;
  }
  if (m_Events.hasPartialEvent()) {
    m_Events.takeRest();
    attemptFailed(base::Verdict::Ran, AttemptSign::Broken, "ended_within_an_event");
    return;
  }
  endAttempt(AttemptSign::Good);
  noteFirstAnswer();
  if (!m_HasBegun) {
    m_HasBegun = true;
    m_Caller->begin(*m_AnswerHead);
  }
  m_Caller->finish();
  finish("answered");
}

auto ForwardSession::onWholeAnswer() -> void {
  noteFirstAnswer();
  const auto Status = m_AnswerHead->m_Status;
  if (Status >= 500 && mayRepeat(base::Verdict::Ran)) {
    attemptFailed(base::Verdict::Ran, AttemptSign::Broken, "failed_by_target");
    return;
  }
  endAttempt(Status >= 500 ? AttemptSign::Broken : AttemptSign::Good);
  m_MayHaveRun = true;
  m_Caller->sendWhole(std::move(*m_AnswerHead), std::move(m_WholeBody));
  finish(Status >= 500 ? "failed_by_target" : "answered");
}

} // namespace geraniumlift::forwarding
