#include "gateway/internal/call.h"

#include "base/log.h"
#include "gateway/internal/refusalresponse.h"

#include <algorithm>

namespace geraniumlift::gateway {

Call::Call(GatewayState &State, CallContext Context, std::string SpanName)
    : m_State(State), m_Context(std::move(Context)), m_Snapshot(State.m_Snapshot),
      m_RootSpan(State.m_Dependencies.m_Tracer, State.m_Dependencies.m_Clock, std::move(SpanName),
                 m_Context.m_CallerTrace),
      m_StartTime(State.m_Dependencies.m_Clock.steadyNow()) {
  m_RootSpan.attribute("geraniumlift.request_id", m_Context.m_RequestId);
  m_RootSpan.attribute("geraniumlift.workspace", m_Context.m_Workspace.m_Name);
  m_RootSpan.attribute("geraniumlift.vm", m_State.m_Options.m_Self.m_Vm);
}

auto Call::watchCaller() -> void {
  m_Context.m_Exchange->setDisconnectHandler(
      [Weak = weak_from_this(), &Scheduler = m_State.m_Dependencies.m_Scheduler] {
        Scheduler.post([Weak] {
          if (const auto Alive = Weak.lock()) {
            Alive->onCallerDisconnected();
          }
        });
      });
}

auto Call::remaining() const -> std::chrono::milliseconds {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_Context.m_Deadline - m_State.m_Dependencies.m_Clock.steadyNow());
  return std::max(Left, std::chrono::milliseconds{1});
}

auto Call::findTarget(const std::string &Name) const -> const objects::Target * {
  const auto &Targets = m_State.m_Snapshot->m_Objects.m_Targets;
  const auto Found = Targets.find(Name);
  return Found == Targets.end() ? nullptr : &Found->second;
}

auto Call::openSpan(std::string Name) -> CallSpan {
  return {m_State.m_Dependencies.m_Tracer, m_State.m_Dependencies.m_Clock, std::move(Name),
          m_RootSpan.context()};
}

auto Call::closeSpan(std::optional<CallSpan> &Span, bool Ok) -> void {
  if (Span) {
    Span->finish(Ok);
    Span.reset();
  }
}

auto Call::reserve(base::Tokens WorstCase) -> void {
  m_StepSpan = openSpan("budget.reserve");
  m_StepSpan->attribute("geraniumlift.budget", m_Context.m_Workspace.m_Budget);
  auto Request =
      budget::ReserveRequest{m_Context.m_Workspace.m_Budget, m_Context.m_RequestId,
                             !m_Context.m_IdempotencyKey.empty(), WorstCase, m_Context.m_Deadline};
  const auto &Budgets = m_Snapshot->m_Objects.m_Budgets;
  if (const auto Found = Budgets.find(Request.m_Budget); Found != Budgets.end()) {
    Request.m_MaxGrantTokens = Found->second.m_MaxGrantTokens;
  }
  // The callback keeps the request alive even if it finishes meanwhile, so that its reservation is
  // released.
  m_State.m_Dependencies.m_Budgets.reserve(
      std::move(Request), [Self = shared_from_this()](const budget::ReserveResult &Result) {
        Self->m_State.m_Dependencies.m_Scheduler.post(
            [Self, Result] { Self->onReserveResult(Result); });
      });
}

auto Call::onReserveResult(const budget::ReserveResult &Result) -> void {
  const auto *Reservation = std::get_if<budget::ReservationId>(&Result);
  closeSpan(m_StepSpan, Reservation != nullptr);
  if (Reservation != nullptr) {
    m_Reservation = *Reservation;
  }
  if (m_Finished) {
    releaseReservation();
  } else if (Reservation != nullptr) {
    onReserved();
  } else {
    onNotReserved(std::get<base::Refusal>(Result));
  }
}

auto Call::enqueue(const objects::ModelPool &Pool, admission::WorkItem Item) -> void {
  m_Item = std::move(Item);
  m_TriedPools.insert(Pool.m_Name);
  m_StepSpan = openSpan("queue");
  m_StepSpan->attribute("geraniumlift.pool", Pool.m_Name);
  const auto &Classes = m_Snapshot->m_Objects.m_PriorityClasses;
  m_Item.m_Pool = Pool.m_Name;
  m_Item.m_Workspace = m_Context.m_Workspace.m_Name;
  m_Item.m_WorkspaceWeight = m_Context.m_Workspace.m_Weight;
  m_Item.m_PriorityClass = m_Context.m_Workspace.m_PriorityClass;
  if (const auto Found = Classes.find(m_Item.m_PriorityClass); Found != Classes.end()) {
    m_Item.m_PriorityLevel = Found->second.m_Level;
    m_Item.m_ClassGuaranteedShare = Found->second.m_GuaranteedShare;
  }
  m_Item.m_Deadline = m_Context.m_Deadline;
  const auto Client =
      std::weak_ptr<IDispatchClient>(std::static_pointer_cast<IDispatchClient>(shared_from_this()));
  const auto Enqueued = m_State.m_DispatchLoop->enqueue(m_Item, Client);
  if (const auto *Id = std::get_if<admission::WorkId>(&Enqueued)) {
    m_Work = *Id;
  } else {
    onRejection(std::get<base::Refusal>(Enqueued));
  }
}

auto Call::onRejection(const base::Refusal &Refusal) -> void {
  m_Work.reset();
  closeSpan(m_StepSpan, false);
  const auto &Pools = m_Snapshot->m_Objects.m_ModelPools;
  const auto Pool = Pools.find(m_Item.m_Pool);
  const auto Fallback = Refusal.m_Code == base::RefusalCode::NoTarget && Pool != Pools.end() &&
                                Pool->second.m_FallbackPool
                            ? Pools.find(*Pool->second.m_FallbackPool)
                            : Pools.end();
  if (Fallback != Pools.end() && !m_TriedPools.contains(Fallback->first)) {
    enqueue(Fallback->second, m_Item);
  } else {
    failWithRefusal(Refusal);
  }
}

auto Call::bill(base::Tokens Used, std::function<void()> Done) -> void {
  if (!m_Reservation) {
    Done();
    return;
  }
  m_StepSpan = openSpan("budget.bill");
  m_StepSpan->attribute("geraniumlift.tokens", std::to_string(Used));
  const auto Reservation = *m_Reservation;
  m_Reservation.reset();
  m_Billed = Used;
  m_State.m_Dependencies.m_Budgets.bill(
      Reservation, Used,
      [Self = shared_from_this(), Done = std::move(Done)](budget::BillOutcome Outcome) {
        Self->m_State.m_Dependencies.m_Scheduler.post([Self, Done, Outcome] {
          if (Self->m_StepSpan) {
            Self->m_StepSpan->attribute(
                "geraniumlift.bill", std::string(base::nameOf(budget::BillOutcomeNames, Outcome)));
          }
          Self->closeSpan(Self->m_StepSpan, true);
          Done();
        });
      });
}

auto Call::releaseReservation() -> void {
  if (m_Reservation) {
    m_State.m_Dependencies.m_Budgets.release(*m_Reservation);
    m_Reservation.reset();
  }
}

auto Call::forwardOrRefuse(std::vector<PeerAddress> Peers, const base::Refusal &Refusal) -> void {
  if (m_Context.m_Forwarded || Peers.empty()) {
    refuse(Refusal);
    return;
  }
  const auto Peer = Peers.front();
  Peers.erase(Peers.begin());
  m_StepSpan = openSpan("peer.forward");
  m_StepSpan->attribute("geraniumlift.peer", Peer.m_Holder.m_Vm);
  m_State.m_Dependencies.m_Metrics.count("geraniumlift_forwarded_requests_total");
  m_State.m_Dependencies.m_Forwarder.forward(
      m_Context.m_Exchange, Peer, telemetry::formatTraceParent(m_StepSpan->context()), remaining(),
      onSchedulerThread<ForwardOutcome>([this, Peers, Refusal](ForwardOutcome Outcome) {
        onForwardResult(Outcome, Peers, Refusal);
      }));
}

auto Call::onForwardResult(ForwardOutcome Outcome, std::vector<PeerAddress> Rest,
                           const base::Refusal &Refusal) -> void {
  closeSpan(m_StepSpan, Outcome == ForwardOutcome::Answered);
  switch (Outcome) {
  case ForwardOutcome::Answered:
    finish("forwarded", base::Verdict::Ran);
    return;
  case ForwardOutcome::NotSent:
    forwardOrRefuse(std::move(Rest), Refusal);
    return;
  case ForwardOutcome::Lost:
    refuse({base::RefusalCode::TargetFailed, base::Verdict::MayHaveRun,
            "The router that took over this request did not answer."});
    return;
  }
}

auto Call::refuse(const base::Refusal &Refusal) -> void {
  m_Context.m_Exchange->respond(
      refusalResponse(Refusal, m_Context.m_Workspace.m_Name, m_Context.m_RequestId));
  finish(base::nameOf(base::RefusalCodeNames, Refusal.m_Code), Refusal.m_Verdict);
}

auto Call::finish(std::string_view Code, base::Verdict Verdict) -> void {
  if (m_Finished) {
    return;
  }
  m_Finished = true;
  releaseReservation();
  if (m_Work) {
    m_State.m_DispatchLoop->cancel(*m_Work);
  }
  const auto Ok = Code == "ok" || Code == "forwarded";
  closeSpan(m_StepSpan, Ok);
  m_RootSpan.attribute("geraniumlift.code", std::string(Code));
  m_RootSpan.finish(Ok);
  const auto Duration = m_State.m_Dependencies.m_Clock.steadyNow() - m_StartTime;
  m_State.m_Dependencies.m_Metrics.count("geraniumlift_requests_total",
                                         {{"code", std::string(Code)}});
  m_State.m_Dependencies.m_Metrics.observe("geraniumlift_request_seconds", {}, Duration);
  base::logEvent(
      base::LogLevel::Info, "request_finished",
      {{"request_id", m_Context.m_RequestId},
       {"trace_id", m_RootSpan.context().m_TraceId},
       {"workspace", m_Context.m_Workspace.m_Name},
       {"code", Code},
       {"verdict", base::nameOf(base::VerdictNames, Verdict)},
       {"tokens", m_Billed},
       {"duration_ms", std::chrono::duration_cast<std::chrono::milliseconds>(Duration).count()}});
  m_State.m_Calls.erase(shared_from_this());
  if (m_State.m_Calls.empty()) {
    auto Waiters = std::vector<std::function<void()>>();
    Waiters.swap(m_State.m_IdleWaiters);
    for (const auto &Waiter : Waiters) {
      Waiter();
    }
  }
}

} // namespace geraniumlift::gateway
