#include "gateway/internal/completioncall.h"

#include "gateway/internal/refusalresponse.h"

#include <algorithm>

namespace geraniumlift::gateway {

namespace {

/// Posts a stream's events from the target client's threads to the scheduler's thread.
class StreamObserver final : public targets::IStreamObserver {
public:
  StreamObserver(std::weak_ptr<CompletionCall> Target, base::IScheduler &Scheduler,
                 std::uint64_t Attempt)
      : m_Call(std::move(Target)), m_Scheduler(Scheduler), m_Attempt(Attempt) {}

  auto onEvent(targets::StreamEvent Event) -> void override {
    m_Scheduler.post([Weak = m_Call, Attempt = m_Attempt, Event = std::move(Event)] {
      if (const auto Alive = Weak.lock()) {
        Alive->onStreamEvent(Attempt, Event);
      }
    });
  }

  auto onEnd(targets::StreamEnd End) -> void override {
    m_Scheduler.post([Weak = m_Call, Attempt = m_Attempt, End = std::move(End)] {
      if (const auto Alive = Weak.lock()) {
        Alive->onStreamEnd(Attempt, End);
      }
    });
  }

private:
  std::weak_ptr<CompletionCall> m_Call;
  base::IScheduler &m_Scheduler;
  std::uint64_t m_Attempt;
};

} // namespace

CompletionCall::CompletionCall(GatewayState &State, CallContext Context, CompletionBody Body,
                               objects::ModelPool Pool)
    : Call(State, std::move(Context), "completion"), m_Body(std::move(Body)),
      m_Pool(std::move(Pool)) {}

auto CompletionCall::start() -> void { reserve(m_Body.m_PromptTokens + m_Body.m_MaxTokens); }

auto CompletionCall::onReserved() -> void {
  auto Item = admission::WorkItem();
  Item.m_PromptTokens = m_Body.m_PromptTokens;
  Item.m_MaxTokens = m_Body.m_MaxTokens;
  Item.m_PrefixHash = m_Body.m_PrefixHash;
  enqueue(m_Pool, std::move(Item));
}

auto CompletionCall::onNotReserved(const base::Refusal &Refusal) -> void {
  auto Peers = std::vector<PeerAddress>();
  if (Refusal.m_Code == base::RefusalCode::BudgetUnavailable) {
    Peers = m_State.m_Dependencies.m_Peers.findWithAllowance(
        m_Context.m_Workspace.m_Budget, m_Body.m_PromptTokens + m_Body.m_MaxTokens);
  }
  forwardOrRefuse(std::move(Peers), Refusal);
}

auto CompletionCall::failWithRefusal(const base::Refusal &Refusal) -> void { refuse(Refusal); }

auto CompletionCall::onDispatch(const admission::Dispatch &Decision) -> void {
  closeSpan(m_StepSpan, true);
  const auto *Found = findTarget(Decision.m_Target);
  if (Found == nullptr) {
    const auto End = admission::AttemptEnd{false, base::Verdict::DidNotRun, true};
    if (!m_State.m_DispatchLoop->onEnd(*m_Work, End, true)) {
      m_Work.reset();
      refuse({base::RefusalCode::NoTarget, base::Verdict::DidNotRun,
              "The target was removed from the configuration."});
    }
    return;
  }
  m_StepSpan = openSpan("target.stream");
  m_StepSpan->attribute("geraniumlift.target", Decision.m_Target);
  auto Request = targets::StreamRequest();
  Request.m_RequestId = m_Context.m_RequestId;
  Request.m_Url = Found->m_Url;
  Request.m_Body = m_Body.m_EngineBody;
  Request.m_TraceParent = telemetry::formatTraceParent(m_StepSpan->context());
  Request.m_Deadline = m_Context.m_Deadline;
  Request.m_Priority = Decision.m_TargetPriority;
  ++m_Attempt;
  const auto Self = std::static_pointer_cast<CompletionCall>(shared_from_this());
  m_Stream = m_State.m_Dependencies.m_Targets.startStream(
      std::move(Request),
      std::make_shared<StreamObserver>(Self, m_State.m_Dependencies.m_Scheduler, m_Attempt));
}

auto CompletionCall::onStreamEvent(std::uint64_t Attempt, const targets::StreamEvent &Event)
    -> void {
  if (Attempt != m_Attempt || m_Finished || !m_Work) {
    return;
  }
  if (m_Generated == 0) {
    m_State.m_DispatchLoop->onFirstToken(*m_Work);
    m_State.m_Dependencies.m_Metrics.observe("geraniumlift_time_to_first_token_seconds", {},
                                             m_State.m_Dependencies.m_Clock.steadyNow() -
                                                 m_StartTime);
  } else {
    m_State.m_DispatchLoop->onProgress(*m_Work, 1);
  }
  ++m_Generated;
  forwardEvent(Event);
}

auto CompletionCall::forwardEvent(const targets::StreamEvent &Event) -> void {
  if (!m_Body.m_Stream) {
    m_Aggregator.add(Event.m_Data);
    return;
  }
  if (!m_StreamBegun) {
    m_StreamBegun = true;
    m_Context.m_Exchange->beginStream("text/event-stream",
                                      {{"X-Request-Id", m_Context.m_RequestId}});
  }
  m_Context.m_Exchange->write("data: " + Event.m_Data + "\n\n");
}

auto CompletionCall::onStreamEnd(std::uint64_t Attempt, const targets::StreamEnd &End) -> void {
  if (Attempt != m_Attempt || m_Finished || !m_Work) {
    return;
  }
  closeSpan(m_StepSpan, End.m_Complete);
  const auto Result = admission::AttemptEnd{End.m_Complete, End.m_Verdict, End.m_TargetLeaving};
  const auto MayRetry = !End.m_Complete && m_Generated == 0;
  const auto QueuedAgain = m_State.m_DispatchLoop->onEnd(*m_Work, Result, MayRetry);
  m_Stream.reset();
  if (QueuedAgain) {
    m_StepSpan = openSpan("queue");
    return;
  }
  m_Work.reset();
  if (End.m_Complete) {
    complete(End.m_Usage.value_or(targets::Usage{0, m_Generated}));
  } else {
    fail(End);
  }
}

auto CompletionCall::complete(const targets::Usage &Usage) -> void {
  bill(Usage.m_PromptTokens + Usage.m_CompletionTokens, [this, Usage] {
    if (m_Finished) {
      return;
    }
    if (m_Body.m_Stream) {
      if (!m_StreamBegun) {
        m_Context.m_Exchange->beginStream("text/event-stream",
                                          {{"X-Request-Id", m_Context.m_RequestId}});
      }
      m_Context.m_Exchange->write("data: [DONE]\n\n");
      m_Context.m_Exchange->endStream();
    } else {
      m_Context.m_Exchange->respond(
          {200,
           "application/json",
           m_Aggregator.finish(m_Context.m_RequestId, m_Body.m_Model, Usage),
           {{"X-Request-Id", m_Context.m_RequestId}}});
    }
    finish("ok", base::Verdict::Ran);
  });
}

auto CompletionCall::fail(const targets::StreamEnd &End) -> void {
  const auto Refusal = base::Refusal{base::RefusalCode::TargetFailed, End.m_Verdict, End.m_Detail};
  if (!m_StreamBegun) {
    refuse(Refusal);
    return;
  }
  m_Context.m_Exchange->write(
      refusalEvent(Refusal, m_Context.m_Workspace.m_Name, m_Context.m_RequestId));
  m_Context.m_Exchange->abortStream();
  finish("target_failed", End.m_Verdict);
}

/// Bills the tokens generated so far, so that a caller can't avoid the bill by disconnecting before
/// the end of the stream.
auto CompletionCall::onCallerDisconnected() -> void {
  if (m_Finished) {
    return;
  }
  ++m_Attempt;
  if (m_Stream) {
    m_Stream->cancel();
    m_Stream.reset();
  }
  if (m_Generated > 0) {
    bill(m_Generated, [] {});
  }
  finish("caller_gone", m_Generated > 0 ? base::Verdict::Ran : base::Verdict::MayHaveRun);
}

} // namespace geraniumlift::gateway
