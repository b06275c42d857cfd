#include "gateway/internal/servicecall.h"

#include "base/hashing.h"
#include "base/log.h"
#include "gateway/internal/refusalresponse.h"

#include <algorithm>

namespace geraniumlift::gateway {

namespace {

constexpr std::size_t StoredBodyLimitBytes = 65'536;
constexpr std::int64_t FirstErrorStatus = 400;

/// Minimum time allowed for storing a response, so that one that arrives just before the deadline
/// can still be stored for retries.
constexpr auto MinStoreTime = std::chrono::seconds{2};

auto isSafeMethod(const std::string &Method) -> bool { return Method == "GET" || Method == "HEAD"; }

auto responseFromClaim(const claims::StoredResponse &Stored, const base::RequestId &RequestId)
    -> CallerResponse {
  auto Answer = CallerResponse{Stored.m_Status,
                               Stored.m_ContentType,
                               Stored.m_Body,
                               {{"X-Request-Id", RequestId}, {"X-Verdict", "ran"}}};
  if (Stored.m_BodyOmitted) {
    Answer.m_Headers.emplace("X-Body-Omitted", "true");
  }
  return Answer;
}

} // namespace

ServiceCall::ServiceCall(GatewayState &State, CallContext Context, objects::ModelPool Pool,
                         std::string PathInService)
    : Call(State, std::move(Context), "service_call"), m_Pool(std::move(Pool)),
      m_PathInService(std::move(PathInService)),
      m_Idempotent(m_Pool.m_Idempotent || isSafeMethod(m_Context.m_Exchange->request().m_Method)) {}

auto ServiceCall::inFlightKey() const -> std::string {
  return m_Context.m_Workspace.m_Name + "/" + m_Context.m_IdempotencyKey;
}

auto ServiceCall::start() -> void {
  if (m_Idempotent) {
    reserve(m_Pool.m_TokensPerCall);
  } else if (m_Context.m_IdempotencyKey.empty()) {
    refuse({base::RefusalCode::IdempotencyKeyRequired, base::Verdict::DidNotRun,
            "This service's calls must not be repeated; send an Idempotency-Key header."});
  } else if (!joinInFlight()) {
    claim();
  }
}

auto ServiceCall::joinInFlight() -> bool {
  const auto Found = m_State.m_ClaimsInFlight.find(inFlightKey());
  const auto Running = Found == m_State.m_ClaimsInFlight.end() ? nullptr : Found->second.lock();
  if (!Running ||
      Running->m_Context.m_Exchange->request().m_Body != m_Context.m_Exchange->request().m_Body) {
    return false;
  }
  Running->m_Joined.push_back(std::static_pointer_cast<ServiceCall>(shared_from_this()));
  return true;
}

auto ServiceCall::claim() -> void {
  const auto &Request = m_Context.m_Exchange->request();
  m_StepSpan = openSpan("claim");
  const auto Hash = base::sha256Hex(Request.m_Method + " " + Request.m_Target + "\n" +
                                    base::sha256Hex(Request.m_Body));
  // The callback must run even if the caller has disconnected; otherwise the claim would stay
  // without a request.
  m_State.m_Dependencies.m_Claims.claim(
      {m_Context.m_Workspace.m_Name, m_Context.m_IdempotencyKey, Hash, m_Context.m_Deadline},
      onSchedulerThread<claims::ClaimResult>(
          [this](const claims::ClaimResult &Result) { onClaim(Result); }));
}

auto ServiceCall::onClaim(const claims::ClaimResult &Result) -> void {
  closeSpan(m_StepSpan, !std::holds_alternative<base::Refusal>(Result));
  if (const auto *Ticket = std::get_if<claims::ClaimTicket>(&Result)) {
    m_Ticket = *Ticket;
    m_State.m_ClaimsInFlight[inFlightKey()] =
        std::static_pointer_cast<ServiceCall>(shared_from_this());
    reserve(m_Pool.m_TokensPerCall);
  } else if (const auto *Stored = std::get_if<claims::StoredResponse>(&Result)) {
    m_Context.m_Exchange->respond(responseFromClaim(*Stored, m_Context.m_RequestId));
    finish("ok", base::Verdict::Ran);
  } else if (const auto *Elsewhere = std::get_if<claims::ClaimedElsewhere>(&Result)) {
    onClaimedElsewhere(Elsewhere->m_Owner);
  } else {
    refuse(std::get<base::Refusal>(Result));
  }
}

/// Handles a claim that another attempt holds. A claim of this process without a request in flight
/// may just have been completed, so it is read once more before its outcome is reported as unknown.
auto ServiceCall::onClaimedElsewhere(const base::HolderId &Owner) -> void {
  const auto Unknown =
      base::Refusal{base::RefusalCode::OutcomeUnknown, base::Verdict::MayHaveRun,
                    "An earlier attempt with this idempotency key has no known outcome."};
  if (Owner != m_State.m_Options.m_Self) {
    const auto Peer = m_State.m_Dependencies.m_Peers.find(Owner);
    forwardOrRefuse(Peer ? std::vector{*Peer} : std::vector<PeerAddress>(), Unknown);
  } else if (joinInFlight()) {
    return;
  } else if (!m_ClaimRetried) {
    m_ClaimRetried = true;
    claim();
  } else {
    refuse(Unknown);
  }
}

auto ServiceCall::onReserved() -> void {
  auto Item = admission::WorkItem();
  Item.m_MaxTokens = 1;
  Item.m_Idempotent = m_Idempotent;
  enqueue(m_Pool, std::move(Item));
}

auto ServiceCall::onNotReserved(const base::Refusal &Refusal) -> void {
  auto Peers = std::vector<PeerAddress>();
  if (Refusal.m_Code == base::RefusalCode::BudgetUnavailable) {
    Peers = m_State.m_Dependencies.m_Peers.findWithAllowance(m_Context.m_Workspace.m_Budget,
                                                             m_Pool.m_TokensPerCall);
  }
  abandonClaimThen([this, Peers, Refusal] { forwardOrRefuse(Peers, Refusal); });
}

auto ServiceCall::failWithRefusal(const base::Refusal &Refusal) -> void {
  if (Refusal.m_Verdict == base::Verdict::DidNotRun) {
    abandonClaimThen([this, Refusal] { refuse(Refusal); });
  } else {
    refuse(Refusal);
  }
}

/// Removes the claim of a request that provably did not run, then calls Next. Retries that joined
/// the request make their own claims.
auto ServiceCall::abandonClaimThen(const std::function<void()> &Next) -> void {
  auto Joined = std::vector<std::shared_ptr<ServiceCall>>();
  Joined.swap(m_Joined);
  if (!m_Ticket) {
    Next();
    return;
  }
  m_State.m_ClaimsInFlight.erase(inFlightKey());
  auto Ticket = std::move(*m_Ticket);
  m_Ticket.reset();
  m_State.m_Dependencies.m_Claims.abandon(
      std::move(Ticket),
      [Self = std::static_pointer_cast<ServiceCall>(shared_from_this()), Next, Joined] {
        Self->m_State.m_Dependencies.m_Scheduler.post([Self, Next, Joined] {
          Next();
          for (const auto &Waiting : Joined) {
            Waiting->claim();
          }
        });
      });
}

auto ServiceCall::onDispatch(const admission::Dispatch &Decision) -> void {
  closeSpan(m_StepSpan, true);
  const auto *Found = findTarget(Decision.m_Target);
  if (Found == nullptr) {
    onServiceResult({base::Verdict::DidNotRun, 0, "", "", true,
                     "The target was removed from the configuration."});
    return;
  }
  const auto &Received = m_Context.m_Exchange->request();
  m_StepSpan = openSpan("target.call");
  m_StepSpan->attribute("geraniumlift.target", Decision.m_Target);
  auto Request = targets::ServiceRequest();
  Request.m_RequestId = m_Context.m_RequestId;
  Request.m_Url = Found->m_Url;
  Request.m_Method = Received.m_Method;
  Request.m_Path = m_PathInService;
  Request.m_ContentType = Received.header("content-type");
  Request.m_Body = Received.m_Body;
  Request.m_IdempotencyKey = m_Context.m_IdempotencyKey;
  Request.m_TraceParent = telemetry::formatTraceParent(m_StepSpan->context());
  Request.m_Deadline = m_Context.m_Deadline;
  Request.m_Idempotent = m_Idempotent;
  m_State.m_Dependencies.m_Targets.callService(
      std::move(Request),
      onSchedulerThread<targets::ServiceResult>(
          [this](const targets::ServiceResult &Result) { onServiceResult(Result); }));
}

auto ServiceCall::onServiceResult(const targets::ServiceResult &Result) -> void {
  if (m_Finished || !m_Work) {
    return;
  }
  const auto Success = Result.m_Verdict == base::Verdict::Ran;
  closeSpan(m_StepSpan, Success);
  const auto End = admission::AttemptEnd{Success, Result.m_Verdict, Result.m_TargetLeaving};
  const auto MayRetry = !Success && (m_Idempotent || Result.m_Verdict == base::Verdict::DidNotRun);
  if (m_State.m_DispatchLoop->onEnd(*m_Work, End, MayRetry)) {
    m_StepSpan = openSpan("queue");
    return;
  }
  m_Work.reset();
  if (Success) {
    storeResponse(Result);
    return;
  }
  const auto Refusal =
      base::Refusal{base::RefusalCode::TargetFailed, Result.m_Verdict, Result.m_Detail};
  if (Result.m_Verdict == base::Verdict::DidNotRun) {
    failWithRefusal(Refusal);
  } else {
    // The claim is kept, so that no router sends the request again.
    if (m_Ticket) {
      m_State.m_ClaimsInFlight.erase(inFlightKey());
    }
    respondToJoined(refusalResponse(Refusal, m_Context.m_Workspace.m_Name, m_Context.m_RequestId),
                    base::nameOf(base::RefusalCodeNames, Refusal.m_Code), Refusal.m_Verdict);
    refuse(Refusal);
  }
}

auto ServiceCall::storeResponse(const targets::ServiceResult &Result) -> void {
  if (!m_Ticket) {
    billAndRespond(Result);
    return;
  }
  const auto Omitted = Result.m_Body.size() > StoredBodyLimitBytes;
  auto Stored = claims::StoredResponse{Result.m_Status, Result.m_ContentType,
                                       Omitted ? std::string() : Result.m_Body, Omitted};
  m_StepSpan = openSpan("claim.complete");
  const auto StoreDeadline =
      std::max(m_Context.m_Deadline, m_State.m_Dependencies.m_Clock.steadyNow() + MinStoreTime);
  m_State.m_Dependencies.m_Claims.complete(*m_Ticket, std::move(Stored), StoreDeadline,
                                           onSchedulerThread<bool>([this, Result](bool IsStored) {
                                             closeSpan(m_StepSpan, IsStored);
                                             if (!IsStored) {
                                               base::logEvent(
                                                   base::LogLevel::Warning, "claim_not_completed",
                                                   {{"request_id", m_Context.m_RequestId}});
                                             }
                                             m_State.m_ClaimsInFlight.erase(inFlightKey());
                                             billAndRespond(Result);
                                           }));
}

/// Sends the response to the caller. Error responses of the service are not billed.
auto ServiceCall::billAndRespond(const targets::ServiceResult &Result) -> void {
  auto Answer = CallerResponse{Result.m_Status,
                               Result.m_ContentType,
                               Result.m_Body,
                               {{"X-Request-Id", m_Context.m_RequestId}, {"X-Verdict", "ran"}}};
  const auto Respond = [this, Answer] {
    respondToJoined(Answer, "ok", base::Verdict::Ran);
    m_Context.m_Exchange->respond(Answer);
    finish("ok", base::Verdict::Ran);
  };
  if (Result.m_Status >= FirstErrorStatus) {
    Respond();
  } else {
    bill(m_Pool.m_TokensPerCall, Respond);
  }
}

auto ServiceCall::respondToJoined(const CallerResponse &Answer, std::string_view Code,
                                  base::Verdict Verdict) -> void {
  auto Joined = std::vector<std::shared_ptr<ServiceCall>>();
  Joined.swap(m_Joined);
  for (const auto &Waiting : Joined) {
    Waiting->m_Context.m_Exchange->respond(Answer);
    Waiting->finish(Code, Verdict);
  }
}

/// The call continues without its caller: its response is stored for a retry and billed.
auto ServiceCall::onCallerDisconnected() -> void {
  base::logEvent(base::LogLevel::Info, "caller_gone", {{"request_id", m_Context.m_RequestId}});
}

} // namespace geraniumlift::gateway
