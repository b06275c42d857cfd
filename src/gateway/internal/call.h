#pragma once

#include "gateway/internal/callspan.h"
#include "gateway/internal/gatewaystate.h"
#include "gateway/internal/idispatchclient.h"

namespace geraniumlift::gateway {

/// The parts of a request that completions and service calls have in common.
struct CallContext {
  std::shared_ptr<ICallerExchange> m_Exchange;
  objects::Workspace m_Workspace;
  base::RequestId m_RequestId;
  std::string m_IdempotencyKey;
  base::SteadyTime m_Deadline;
  std::optional<telemetry::TraceContext> m_CallerTrace;

  /// Whether another router forwarded the request; it is then not forwarded again.
  bool m_Forwarded = false;
};

/// A request in flight: the steps that completions and service calls share. All functions run on
/// the scheduler's thread.
class Call : public IDispatchClient, public std::enable_shared_from_this<Call> {
public:
  Call(GatewayState &State, CallContext Context, std::string SpanName);

  /// Begins the request's work.
  virtual auto start() -> void = 0;

  /// Registers onCallerDisconnected() to run when the caller disconnects.
  auto watchCaller() -> void;

  /// Handles the disconnection of the caller.
  virtual auto onCallerDisconnected() -> void = 0;

  auto onRejection(const base::Refusal &Refusal) -> void override;

protected:
  /// Reserves tokens; onReserved() or onNotReserved() follows.
  auto reserve(base::Tokens WorstCase) -> void;
  virtual auto onReserved() -> void = 0;
  virtual auto onNotReserved(const base::Refusal &Refusal) -> void = 0;

  /// Queues the request for a target of the pool; onDispatch() or failWithRefusal() follows.
  auto enqueue(const objects::ModelPool &Pool, admission::WorkItem Item) -> void;

  /// Ends the request with a refusal, whose verdict tells whether the request may have run.
  virtual auto failWithRefusal(const base::Refusal &Refusal) -> void = 0;

  /// Bills the tokens used; the function runs when the response may be completed.
  auto bill(base::Tokens Used, std::function<void()> Done) -> void;
  auto releaseReservation() -> void;

  /// Sends the request to the first reachable peer, or refuses it if there is none.
  auto forwardOrRefuse(std::vector<PeerAddress> Peers, const base::Refusal &Refusal) -> void;

  /// Responds with a refusal and finishes the request.
  auto refuse(const base::Refusal &Refusal) -> void;

  /// Writes the log line, the span and the metrics, and removes the request from the gateway.
  auto finish(std::string_view Code, base::Verdict Verdict) -> void;

  /// Wraps a callback so that it runs on the scheduler's thread while the request lives.
  template <typename Argument>
  auto onSchedulerThread(std::function<void(Argument)> Step) -> std::function<void(Argument)> {
    return [Weak = weak_from_this(), &Scheduler = m_State.m_Dependencies.m_Scheduler,
            Step = std::move(Step)](Argument Value) {
      Scheduler.post([Weak, Step, Value = std::move(Value)]() mutable {
        if (const auto Alive = Weak.lock()) {
          Step(std::move(Value));
        }
      });
    };
  }

  [[nodiscard]] auto remaining() const -> std::chrono::milliseconds;
  [[nodiscard]] auto findTarget(const std::string &Name) const -> const objects::Target *;
  auto openSpan(std::string Name) -> CallSpan;
  auto closeSpan(std::optional<CallSpan> &Span, bool Ok) -> void;

  GatewayState &m_State;
  CallContext m_Context;

  /// The configuration that was in force when the request arrived.
  configuration::SnapshotPointer m_Snapshot;
  CallSpan m_RootSpan;
  std::optional<CallSpan> m_StepSpan;
  std::optional<budget::ReservationId> m_Reservation;
  std::optional<admission::WorkId> m_Work;
  admission::WorkItem m_Item;
  base::SteadyTime m_StartTime;
  base::Tokens m_Billed = 0;
  bool m_Finished = false;

private:
  auto onReserveResult(const budget::ReserveResult &Result) -> void;
  auto onForwardResult(ForwardOutcome Outcome, std::vector<PeerAddress> Rest,
                       const base::Refusal &Refusal) -> void;

  std::set<std::string> m_TriedPools;
};

} // namespace geraniumlift::gateway
