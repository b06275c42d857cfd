#include "forwarding/forwardsession.h"

#include <absl/strings/str_join.h>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace geraniumlift::forwarding {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Range of urgencies that engines accept. One step of a route's priority is two steps of urgency,
/// so that priorities 0 to 2 map to 1, 3 and 5, where 5 is the engines' default.
constexpr auto MostUrgent = 1;
constexpr auto LeastUrgent = 9;

auto urgencyFor(std::int64_t Priority) -> int {
  return static_cast<int>(
      std::clamp<std::int64_t>(MostUrgent + 2 * Priority, MostUrgent, LeastUrgent));
}

/// Why a request is refused if this keeps it from all targets.
auto refusalReason(GateReason Reason) -> RefusalReason {
  switch (Reason) {
  case GateReason::Limited:
  case GateReason::Cold:
    return RefusalReason::TargetsLimited;
  case GateReason::Paused:
    return RefusalReason::TargetsPaused;
  default:
    return RefusalReason::NoTarget;
  }
}

/// Returns the IDs of the prompt's shared parts for the log, separated by commas.
auto formatSharedParts(const std::optional<PromptMetadata> &Prompt) -> std::string {
  if (!Prompt) {
    return {};
  }
  return absl::StrJoin(Prompt->sharedPartIds(), ",");
}

} // namespace

ForwardSession::ForwardSession(ForwardingContext &Context, http1::RequestHead Head,
                               std::string Body, std::shared_ptr<IResponseWriter> Caller)
    : m_Context(Context), m_Head(std::move(Head)),
      m_Body(std::make_shared<const std::string>(std::move(Body))), m_Caller(std::move(Caller)),
      m_Arrived(Context.m_Clock.steadyNow()), m_Deadline(m_Arrived) {
  ++m_Context.m_SessionCount;
  m_Context.m_BodyBytes += m_Body->size();
}

ForwardSession::~ForwardSession() {
  releaseBuffer();
  --m_Context.m_SessionCount;
  m_Context.m_BodyBytes -= m_Body->size();
}

auto ForwardSession::now() const -> base::SteadyTime { return m_Context.m_Clock.steadyNow(); }

auto ForwardSession::timeLeft() const -> milliseconds {
  return std::max(0ms, duration_cast<milliseconds>(m_Deadline - now()));
}

auto ForwardSession::elapsed() const -> milliseconds {
  return duration_cast<milliseconds>(now() - m_Arrived);
}

auto ForwardSession::start() -> void {
  m_Fields = m_Context.m_HeaderCodec.decodeRequest(m_Head);
  if (const auto Reason = findRoute()) {
    refuse(*Reason);
    return;
  }
  const auto Limit =
      m_Fields.m_TimeLeft ? std::min(*m_Fields.m_TimeLeft, m_Route->m_Timeout) : m_Route->m_Timeout;
  m_Deadline = m_Arrived + Limit;
  if (Limit <= 0ms) {
    refuse(RefusalReason::NoTarget);
    return;
  }
  m_DeadlineTimer = m_Context.m_Timers.start(m_Deadline, [Self = weak_from_this()] {
    if (const auto Session = Self.lock()) {
      Session->onDeadline();
    }
  });
  choosePool();
  if (m_Fields.m_Prompt) {
    m_SharedParts = quarantine::hashParts(m_Fields.m_Prompt->sharedPartIds());
  }
  if (refuseIfQuarantined()) {
    return;
  }
  if (takesUpStream()) {
    findStreamOrigin();
    return;
  }
  reserve();
}

auto ForwardSession::takesUpStream() const -> bool {
  return m_Route->isResumableStream() &&
         (!m_Fields.m_BegunBy.empty() || m_Fields.m_LastEventId.value_or(0) > 0);
}

auto ForwardSession::streamKey() const -> streamversions::StreamKey {
  return streamversions::streamKey(m_Workspace == nullptr ? std::string_view()
                                                          : m_Workspace->m_Name,
                                   takesUpStream() ? m_Fields.m_BegunBy : m_Fields.m_RequestId);
}

auto ForwardSession::findStreamOrigin() -> void {
  m_Context.m_StreamVersions.findOrigin(
      streamKey(), m_Pool,
      [Self = shared_from_this()](const std::optional<streamversions::StreamOrigin> &Origin) {
        if (!Self->m_IsFinished) {
          Self->onStreamOrigin(Origin);
        }
      });
}

auto ForwardSession::onStreamOrigin(const std::optional<streamversions::StreamOrigin> &Origin)
    -> void {
  m_Context.m_Log.record(base::LogLevel::Info, "stream_taken_up",
                         {{"request", m_Fields.m_RequestId},
                          {"begun_by", m_Fields.m_BegunBy},
                          {"pool", Origin ? Origin->m_Pool : m_Pool},
                          {"version", Origin ? Origin->m_Version : "unknown"},
                          {"after_ms", elapsed().count()}});
  if (!Origin) {
    refuse(RefusalReason::StreamOriginUnknown);
    return;
  }
  m_StreamVersion = Origin->m_Version;
  const auto &Pools = m_Route->m_Pools;
  if (Origin->m_Pool != m_Pool &&
      std::any_of(Pools.begin(), Pools.end(),
                  [&Origin](const auto &Item) { return Item.m_Pool == Origin->m_Pool; })) {
    usePool(Origin->m_Pool);
  }
  if (!hasTargetOfVersion()) {
    refuse(RefusalReason::StreamVersionGone);
    return;
  }
  reserve();
}

auto ForwardSession::hasTargetOfVersion() const -> bool {
  const auto Targets = m_Context.m_Targets.targetsOf(m_Pool);
  return std::any_of(Targets.begin(), Targets.end(), [this](const auto *Target) {
    return Target->record().m_Version == m_StreamVersion && !Target->record().m_IsLeaving;
  });
}

auto ForwardSession::findRoute() -> std::optional<RefusalReason> {
  m_Table = m_Context.m_Table;
  if (!m_Table) {
    return RefusalReason::NoConfiguration;
  }
  if (m_Context.m_IsStopping) {
    return RefusalReason::Stopping;
  }
  m_Route = m_Table->findRoute(m_Fields.m_Host, m_Head.m_Target);
  if (m_Route == nullptr) {
    return RefusalReason::UnknownRoute;
  }
  if (m_Table->hasWorkspaces()) {
    m_Workspace = m_Table->findWorkspace(m_Fields.m_ApiKey);
    if (m_Workspace == nullptr && !m_Route->m_IsPublic) {
      return RefusalReason::UnknownKey;
    }
  }
  if (m_Fields.m_RequestId.empty()) {
    return RefusalReason::MalformedRequest;
  }
  if (m_Context.m_SessionCount > m_Context.m_Options.m_MaxSessions ||
      m_Context.m_BodyBytes > m_Context.m_Options.m_MaxBodyBytes) {
    return RefusalReason::Overloaded;
  }
  return std::nullopt;
}

auto ForwardSession::choosePool() -> void {
  const auto &Pools = m_Route->m_Pools;
  auto Index = std::size_t{0};
  if (Pools.size() > 1) {
    auto Weights = std::vector<double>();
    for (const auto &Pool : Pools) {
      Weights.push_back(Pool.m_Weight);
    }
    Index = boost::random::discrete_distribution<std::size_t>(Weights)(m_Context.m_Random);
  }
  usePool(Pools[Index].m_Pool);
}

auto ForwardSession::usePool(const std::string &Name) -> void {
  m_Pool = Name;
  const auto *Pool = m_Table->findPool(m_Pool);
  if (Pool != nullptr && Pool->m_Engine) {
    m_Engine = &*Pool->m_Engine;
    m_TokensPerEvent = m_Engine->m_TokensPerEvent;
  } else if (Pool != nullptr) {
    m_Fields.m_Prompt.reset();
  }
}

auto ForwardSession::reserve() -> void {
  if (m_Workspace == nullptr || !m_Workspace->m_Prepaid || !m_Fields.m_Prompt) {
    sendToTarget();
    return;
  }
  m_IsReserving = true;
  const auto Latest = std::min(m_Deadline, now() + m_Context.m_Options.m_MaxBudgetWait);
  m_Context.m_Budgets.reserve(m_Workspace->m_Name, m_Fields.m_Prompt->worstCase(), Latest,
                              [Self = shared_from_this()](const budget::Reservation &Outcome) {
                                Self->onReserved(Outcome);
                              });
}

auto ForwardSession::onReserved(const budget::Reservation &Outcome) -> void {
  m_IsReserving = false;
  if (Outcome.m_Outcome == budget::ReservationOutcome::Granted) {
    m_ReservationSource = Outcome.m_Source;
    m_Reserved = m_Fields.m_Prompt->worstCase();
  }
  if (m_IsFinished) {
    // The caller disconnected or the deadline passed before the reservation completed.
    if (m_Reserved > 0) {
      m_Context.m_Budgets.settle(m_ReservationSource, std::exchange(m_Reserved, 0), 0);
    }
    return;
  }
  switch (Outcome.m_Outcome) {
  case budget::ReservationOutcome::Granted:
    sendToTarget();
    break;
  case budget::ReservationOutcome::Exhausted:
    refuse(RefusalReason::BudgetExhausted);
    break;
  case budget::ReservationOutcome::Unavailable:
    refuse(RefusalReason::BudgetUnavailable);
    break;
  }
}

auto ForwardSession::formatTargetHead(const TargetRecord &Target) -> std::string {
  auto Fields = TargetFields();
  Fields.m_TargetId = Target.m_Id;
  Fields.m_TimeLeft = timeLeft();
  if (m_Workspace != nullptr) {
    Fields.m_Workspace = m_Workspace->m_Name;
  }
  if (m_Fields.m_Prompt) {
    Fields.m_Urgency = urgencyFor(priority());
  }
  Fields.m_ResumeAfter = m_HasResponseBegun ? m_Events.lastEventId() : m_Fields.m_LastEventId;
  auto Head = m_Head;
  m_Context.m_HeaderCodec.prepareForTarget(Head, Fields);
  const auto HasBody = !m_Body->empty() || m_Head.m_Fields.has("Content-Length") ||
                       m_Head.m_Fields.has("Transfer-Encoding");
  return formatRequestHead(Head, HasBody ? http1::Framing::Length : http1::Framing::None,
                           m_Body->size());
}

auto ForwardSession::refuseIfQuarantined() -> bool {
  // A request that a target has begun to answer does not crash targets.
  if (m_SharedParts.empty() || m_HasResponseBegun) {
    return false;
  }
  m_Block = m_Context.m_Gate.checkPrompt(workspaceHash(), m_SharedParts);
  if (m_Block) {
    refuse(m_MayHaveRun ? RefusalReason::TargetFailed : RefusalReason::PartQuarantined);
  }
  return m_Block.has_value();
}

auto ForwardSession::workspaceHash() const -> quarantine::WorkspaceHash {
  return quarantine::hashWorkspace(m_Workspace == nullptr ? std::string_view()
                                                          : m_Workspace->m_Name);
}

auto ForwardSession::sharedPartId(std::size_t Index) const -> std::string {
  return m_Fields.m_Prompt && Index < m_Fields.m_Prompt->m_Parts.size()
             ? m_Fields.m_Prompt->m_Parts[Index].m_Id
             : std::string();
}

auto ForwardSession::reportLostConnection() -> void {
  if (m_SharedParts.empty() || m_HasResponseBegun) {
    return;
  }
  if (const auto *Target = m_Context.m_Targets.find(m_TargetId)) {
    const auto &Record = Target->record();
    m_Context.m_Quarantine.onConnectionLost(
        {Record.m_Id, Record.m_Incarnation, Record.m_Address, Record.m_Port}, workspaceHash(),
        m_SharedParts);
  }
}

auto ForwardSession::sendToTarget() -> void {
  if (refuseIfQuarantined()) {
    return;
  }
  if (m_Context.m_Gate.checkRouter(now()) != GateReason::None) {
    refuseUnplaced(RefusalReason::TargetsUnreachable);
    return;
  }
  const auto *Prompt = m_Fields.m_Prompt ? &*m_Fields.m_Prompt : nullptr;
  const auto Regions =
      RequestRegions{&m_Route->m_AllowedRegions,
                     m_Workspace == nullptr ? nullptr : &m_Workspace->m_AllowedRegions};
  const auto Decision = m_Context.m_Placement.decide(
      m_Context.m_Targets, m_Context.m_Gate,
      {m_Pool, Prompt, m_TriedTargets, Regions, m_Engine, m_Context.m_Random(),
       RequestStream{m_Route->isResumableStream(), m_StreamVersion}},
      now());
  const auto &Choice = Decision.m_Choice;
  if (Decision.m_Wanted && m_PermitRequests < m_Context.m_Options.m_MaxPermitRequests) {
    waitForPermit(Decision.m_Wanted->m_Key);
    return;
  }
  if (!Choice) {
    m_GateWait = Decision.m_RetryAfter;
    refuseUnplaced(refusalReason(Decision.m_Reason));
    return;
  }
  if (refuseWithoutRoom(Decision)) {
    return;
  }
  if (m_StreamVersion) {
    checkAndSend(*Choice);
  } else {
    sendTo(*Choice);
  }
}

auto ForwardSession::checkAndSend(const PlacementChoice &Choice) -> void {
  const auto Target = m_Context.m_Targets.find(Choice.m_TargetId)->record();
  m_Context.m_TargetCheck(Target, [Self = shared_from_this(), Choice, Target](bool IsSame) {
    if (Self->m_IsFinished) {
      return;
    }
    const auto *Current = Self->m_Context.m_Targets.find(Target.m_Id);
    if (IsSame && Current != nullptr && Current->record().m_Incarnation == Target.m_Incarnation &&
        Current->record().m_Version == Target.m_Version) {
      Self->sendTo(Choice);
      return;
    }
    Self->m_TriedTargets.insert(Target.m_Id);
    Self->sendToTarget();
  });
}

auto ForwardSession::sendTo(const PlacementChoice &Choice) -> void {
  const auto *Prompt = m_Fields.m_Prompt ? &*m_Fields.m_Prompt : nullptr;
  const auto Target = m_Context.m_Targets.find(Choice.m_TargetId)->record();
  m_TargetId = Target.m_Id;
  m_TargetIncarnation = Target.m_Incarnation;
  m_TargetVersion = Target.m_Version;
  m_ExpectedMs = Choice.m_ExpectedMs;
  m_TriedTargets.insert(m_TargetId);
  m_ResponseHead.reset();
  m_IsAwaitingResponse = true;
  m_EventsBeforeAttempt = m_EventsSent;
  m_SentAt = now();
  m_AnsweredAt.reset();
  m_Work = Choice.m_Work;
  m_UncachedTokens = Prompt == nullptr ? 0 : Prompt->m_PromptTokens - Choice.m_CachedTokens;
  m_Context.m_Limits.onSend(m_Context.m_Targets.find(m_TargetId)->limitKey());
  m_Context.m_Targets.recordSent(m_TargetId, Prompt, m_UncachedTokens, now());
  const auto Knowledge = m_Context.m_KnowledgeOrigin();
  m_Context.m_Log.record(
      base::LogLevel::Debug, "request_placed",
      {{"request", m_Fields.m_RequestId},
       {"route", m_Route->m_Name},
       {"config", m_Table->version()},
       {"knowledge_ms", Knowledge.m_Age.count()},
       {"knowledge_from", Knowledge.m_Relay.empty() ? "store" : Knowledge.m_Relay},
       {"workspace", m_Workspace == nullptr ? "" : m_Workspace->m_Name},
       {"pool", m_Pool},
       {"target", m_TargetId},
       {"send", m_SendCount + 1},
       {"expected_ms", static_cast<std::int64_t>(Choice.m_FirstEventMs)},
       {"kept_tokens", Choice.m_CachedTokens},
       {"shared_parts", formatSharedParts(m_Fields.m_Prompt)},
       {"left_ms", timeLeft().count()}});
  m_IsConnecting = true;
  m_Context.m_Gate.uplink().onConnecting();
  m_Attempt = m_Context.m_Connector.send(Target, formatTargetHead(Target), m_Body,
                                         m_Head.m_Method == "HEAD", timeLeft(), *this);
}

auto ForwardSession::priority() const -> std::int64_t {
  const auto OfWorkspace = m_Workspace == nullptr ? std::nullopt : m_Workspace->m_Priority;
  return OfWorkspace.value_or(m_Route->m_Priority);
}

auto ForwardSession::refuseWithoutRoom(const PlacementDecision &Decision) -> bool {
  // A request that a target may have run gets its further attempts.
  if (m_MayHaveRun || m_HasResponseBegun) {
    return false;
  }
  const auto Room = RoomPolicy::decide(
      {Decision.m_Choice->m_FirstEventMs, timeLeft(), priority(), m_Context.m_Random()},
      Decision.m_Room);
  if (Room.m_Refusal == RoomRefusal::None) {
    return false;
  }
  m_Context.m_Log.record(
      base::LogLevel::Info, "room_refused",
      {{"request", m_Fields.m_RequestId},
       {"pool", m_Pool},
       {"why", nameOf(RoomRefusalNames, Room.m_Refusal)},
       {"expected_ms", static_cast<std::int64_t>(Decision.m_Choice->m_FirstEventMs)},
       {"left_ms", timeLeft().count()},
       {"taken_percent", static_cast<std::int64_t>(Decision.m_Room.m_TakenShare * 100.0)}});
  m_GateWait = Room.m_RetryAfter;
  refuse(RefusalReason::NoRoom);
  return true;
}

auto ForwardSession::waitForPermit(ratelimits::TargetKey Target) -> void {
  ++m_PermitRequests;
  m_Context.m_Limits.requestPermit(Target,
                                   [Self = shared_from_this()](const ratelimits::PermitOutcome &) {
                                     if (!Self->m_IsFinished) {
                                       Self->sendToTarget();
                                     }
                                   });
}

auto ForwardSession::refuseUnplaced(RefusalReason Reason) -> void {
  if (m_HasResponseBegun) {
    m_Caller->abort();
    finish("broken_off");
    return;
  }
  refuse(m_MayHaveRun ? RefusalReason::TargetFailed : Reason);
}

auto ForwardSession::recordConnectEnd(bool HasTimedOut) -> void {
  if (std::exchange(m_IsConnecting, false)) {
    m_Context.m_Gate.uplink().onConnectEnded(m_TargetId, HasTimedOut, now());
  }
}

auto ForwardSession::onConnected() -> void {
  recordConnectEnd(false);
  auto &Retries = m_Context.retryBudget(m_Pool);
  if (m_SendCount++ == 0) {
    Retries.onFirstAttempt();
  }
  if (m_Route->isRetryable()) {
    const auto Forecast = milliseconds(
        static_cast<std::int64_t>(m_ExpectedMs * m_Context.m_Options.m_ForecastTimeoutFactor));
    const auto Objective =
        milliseconds(static_cast<std::int64_t>(static_cast<double>(m_Route->m_Objective.count()) *
                                               m_Context.m_Options.m_ObjectiveTimeoutFactor));
    startIdleTimer(std::max(Objective, Forecast));
  }
}

auto ForwardSession::startIdleTimer(milliseconds Limit) -> void {
  m_Context.m_Timers.cancel(m_IdleTimer);
  m_IdleTimer = m_Context.m_Timers.start(now() + Limit, [Self = weak_from_this()] {
    if (const auto Session = Self.lock()) {
      Session->onIdleTimeout();
    }
  });
}

auto ForwardSession::onIdleTimeout() -> void {
  m_IdleTimer = 0;
  if (m_IsFinished || !m_Attempt) {
    return;
  }
  if (!mayRetry(base::Verdict::MayHaveRun)) {
    return;
  }
  attemptFailed(base::Verdict::MayHaveRun, AttemptResult::Unresponsive, "silent");
}

auto ForwardSession::onDeadline() -> void {
  m_DeadlineTimer = 0;
  if (m_IsFinished) {
    return;
  }
  if (m_Attempt) {
    const auto Sent = m_SendCount > 0;
    // No response header until the deadline counts as a failure of the target, whatever the cause.
    endAttempt(m_ResponseHead ? AttemptResult::Success : AttemptResult::Failed);
    m_MayHaveRun |= Sent;
  }
  if (m_HasResponseBegun) {
    m_Caller->abort();
    finish("timed_out_midway");
    return;
  }
  refuse(m_MayHaveRun ? RefusalReason::TimedOut : RefusalReason::NoTarget);
}

auto ForwardSession::onRouterStops() -> void {
  if (m_IsFinished || m_HasResponseBegun) {
    return;
  }
  if (m_Attempt) {
    m_MayHaveRun |= m_SendCount > 0;
    endAttempt(AttemptResult::Unknown);
  }
  refuse(m_MayHaveRun ? RefusalReason::TimedOut : RefusalReason::Stopping);
}

auto ForwardSession::onFailed(base::Verdict Outcome, std::string_view Reason) -> void {
  recordConnectEnd(Reason == ConnectTimeoutReason || Reason == RouterCutOffReason);
  if (Outcome != base::Verdict::DidNotRun) {
    reportLostConnection();
  }
  auto Result = AttemptResult::Failed;
  if (Reason == RouterCutOffReason) {
    Result = AttemptResult::Unknown;
    m_TriedTargets.erase(m_TargetId);
  } else if (Outcome == base::Verdict::DidNotRun) {
    Result = AttemptResult::Unresponsive;
  }
  attemptFailed(Outcome, Result, Reason);
}

auto ForwardSession::mayRetry(base::Verdict Outcome) -> bool {
  const auto Allowed = Outcome == base::Verdict::DidNotRun || m_Route->isRetryable();
  return Allowed && m_SendCount < m_Route->m_MaxAttempts && timeLeft() > 0ms &&
         m_Context.retryBudget(m_Pool).available() >= 1.0;
}

auto ForwardSession::mayConnectAgain(std::string_view Reason) -> bool {
  const auto &Options = m_Context.m_Options;
  const auto IsRouterCutOff = Reason == RouterCutOffReason;
  ++(IsRouterCutOff ? m_PathFailures : m_ConnectFailures);
  return m_ConnectFailures < Options.m_MaxConnectFailures &&
         m_PathFailures < Options.m_MaxPathFailures && timeLeft() > 0ms;
}

auto ForwardSession::endAttempt(AttemptResult Result) -> void {
  m_Context.m_Timers.cancel(std::exchange(m_IdleTimer, 0));
  if (!m_Attempt) {
    return;
  }
  if (std::exchange(m_IsAwaitingResponse, false) && m_Fields.m_Prompt) {
    m_Context.m_Targets.recordResponseStart(m_TargetId, m_UncachedTokens);
  }
  if (std::exchange(m_IsConnecting, false)) {
    m_Context.m_Gate.uplink().onConnectAbandoned();
  }
  if (Result == AttemptResult::Success) {
    recordResponseTime();
  }
  m_Context.m_Targets.recordEnd(m_TargetId, heldTokens(), m_AnsweredAt.has_value());
  m_Context.m_Targets.recordResult(m_TargetId, Result, now());
  m_Attempt.reset();
  m_IsPaused = false;
  releaseBuffer();
}

auto ForwardSession::recordResponseTime() -> void {
  if (!m_AnsweredAt) {
    return;
  }
  m_Context.m_Targets.recordResponse(m_TargetId, m_TargetIncarnation,
                                     duration_cast<milliseconds>(now() - *m_AnsweredAt),
                                     m_EventsSent - m_EventsBeforeAttempt);
}

auto ForwardSession::attemptFailed(base::Verdict Outcome, AttemptResult Result,
                                   std::string_view Reason) -> void {
  endAttempt(Result);
  if (Outcome != base::Verdict::DidNotRun) {
    m_MayHaveRun = true;
  }
  const auto IsUnsent = m_SendCount == 0;
  const auto WillRetry = IsUnsent ? mayConnectAgain(Reason) : mayRetry(Outcome);
  m_Context.m_Log.record(base::LogLevel::Warning, "attempt_failed",
                         {{"request", m_Fields.m_RequestId},
                          {"route", m_Route->m_Name},
                          {"pool", m_Pool},
                          {"target", m_TargetId},
                          {"reason", Reason},
                          {"verdict", nameOf(base::VerdictNames, Outcome)},
                          {"sends", m_SendCount},
                          {"events", m_EventsSent},
                          {"after_ms", elapsed().count()},
                          {"shared_parts", formatSharedParts(m_Fields.m_Prompt)},
                          {"retries_left", m_Context.retryBudget(m_Pool).available()},
                          {"repeats", WillRetry}});
  // The target that resumes the stream sends a partial event again in full.
  m_Events.takePartialEvent();
  if (WillRetry) {
    if (!IsUnsent) {
      m_Context.retryBudget(m_Pool).tryAcquire();
      m_Context.m_Metrics.onRetry(m_Pool);
    }
    sendToTarget();
    return;
  }
  if (m_HasResponseBegun) {
    m_Caller->abort();
    finish("broken_off");
    return;
  }
  if (m_MayHaveRun) {
    refuse(RefusalReason::TargetFailed);
    return;
  }
  refuse(IsUnsent ? RefusalReason::NoTarget : RefusalReason::TargetRefused);
}

auto ForwardSession::retryAfter(RefusalReason Reason) -> milliseconds {
  const auto &Options = m_Context.m_Options;
  auto Base = Reason == RefusalReason::BudgetUnavailable ? Options.m_BudgetRetryAfterBase
                                                         : Options.m_RetryAfterBase;
  const auto IsForecast =
      Reason == RefusalReason::TargetsLimited || Reason == RefusalReason::NoRoom;
  if (IsForecast && m_GateWait) {
    Base = std::max(Base, *m_GateWait);
  }
  if (Reason == RefusalReason::TargetsUnreachable) {
    Base = Options.m_UnreachableRetryAfterBase;
  }
  if (Reason == RefusalReason::PartQuarantined && m_Block) {
    return m_Block->m_Left;
  }
  // The end of a pause is known, so callers need only be spread over a part of it.
  const auto IsPause = Reason == RefusalReason::TargetsPaused && m_GateWait;
  if (IsPause) {
    Base = *m_GateWait;
  }
  const auto Factor = boost::random::uniform_real_distribution<double>(1.0, IsPause ? 1.25 : 2.0)(
      m_Context.m_Random);
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(Base.count()) * Factor));
}

auto ForwardSession::refuse(RefusalReason Reason) -> void {
  const auto &Text = refusalText(Reason);
  auto Head = http1::ResponseHead{Text.m_Status, std::string(Text.m_Phrase), {}};
  Head.m_Fields.add("Content-Type", "application/problem+json");
  auto RetryAfter = 0ms;
  if (Text.m_Status == 503) {
    RetryAfter = retryAfter(Reason);
    Head.m_Fields.add("Retry-After",
                      fmt::format("{:.3f}", static_cast<double>(RetryAfter.count()) / 1e3));
  }
  m_Context.m_HeaderCodec.markRouterResponse(Head, m_Fields.m_RequestId);
  const auto Outcome = m_MayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun;
  m_Context.m_Log.record(base::LogLevel::Warning, "request_refused",
                         {{"request", m_Fields.m_RequestId},
                          {"reason", Text.m_Name},
                          {"status", Text.m_Status},
                          {"verdict", nameOf(base::VerdictNames, Outcome)},
                          {"config", m_Table ? m_Table->version() : -1},
                          {"route", m_Route == nullptr ? "" : m_Route->m_Name},
                          {"workspace", m_Workspace == nullptr ? "" : m_Workspace->m_Name},
                          {"shared_part", m_Block ? sharedPartId(m_Block->m_PartIndex) : ""},
                          {"tokens", m_Fields.m_Prompt ? m_Fields.m_Prompt->worstCase() : 0},
                          {"pool", m_Pool},
                          {"sends", m_SendCount},
                          {"after_ms", elapsed().count()},
                          {"retry_ms", RetryAfter.count()}});
  m_Caller->sendComplete(
      std::move(Head),
      fmt::format(R"({{"title":"{}","status":{},"detail":"{}","code":"{}","verdict":"{}"}})",
                  Text.m_Phrase, Text.m_Status, Text.m_Detail, Text.m_Name,
                  nameOf(base::VerdictNames, Outcome)));
  finish(Text.m_Name);
}

auto ForwardSession::onCallerGone() -> void {
  if (m_IsFinished) {
    return;
  }
  m_MayHaveRun |= m_SendCount > 0;
  if (m_Attempt) {
    // A caller that disconnects early tells nothing about the target; one that disconnects after
    // twice the objective without a first byte counts as a failure of the target.
    const auto IsOverdue = !m_FirstByteAt && elapsed() > 2 * m_Route->m_Objective;
    endAttempt(IsOverdue ? AttemptResult::Failed : AttemptResult::Unknown);
  }
  m_Context.m_Log.record(base::LogLevel::Info, "caller_left",
                         {{"request", m_Fields.m_RequestId},
                          {"target", m_TargetId},
                          {"events", m_EventsSent},
                          {"after_ms", elapsed().count()}});
  finish("caller_left");
}

auto ForwardSession::usedTokens() const -> Tokens {
  if (!m_MayHaveRun && !m_HasResponseBegun) {
    return 0;
  }
  const auto &Prompt = *m_Fields.m_Prompt;
  return Prompt.m_PromptTokens + std::min(Prompt.m_OutputLimit, m_EventsSent * m_TokensPerEvent);
}

auto ForwardSession::finish(std::string_view Result) -> void {
  if (std::exchange(m_IsFinished, true)) {
    return;
  }
  m_Context.m_Timers.cancel(std::exchange(m_DeadlineTimer, 0));
  m_Context.m_Timers.cancel(std::exchange(m_IdleTimer, 0));
  const auto Used = m_Reserved > 0 ? usedTokens() : 0;
  if (m_Reserved > 0) {
    m_Context.m_Budgets.settle(m_ReservationSource, std::exchange(m_Reserved, 0), Used);
  }
  auto Outcome = RequestOutcome();
  if (m_Route != nullptr) {
    Outcome.m_Kind = m_Route->m_Kind;
  }
  Outcome.m_Pool = m_Pool;
  Outcome.m_Result = Result;
  Outcome.m_Total = elapsed();
  if (m_FirstByteAt) {
    Outcome.m_HasFirstByte = true;
    Outcome.m_FirstByte = duration_cast<milliseconds>(*m_FirstByteAt - m_Arrived);
  }
  m_Context.m_Metrics.onRequestEnded(Outcome);
  m_Context.m_Log.record(base::LogLevel::Debug, "request_ended",
                         {{"request", m_Fields.m_RequestId},
                          {"result", Result},
                          {"target", m_TargetId},
                          {"sends", m_SendCount},
                          {"target_limit_per_s", m_NamedLimit},
                          {"events", m_EventsSent},
                          {"budget", m_ReservationSource},
                          {"used_tokens", Used},
                          {"first_byte_ms", Outcome.m_FirstByte.count()},
                          {"total_ms", Outcome.m_Total.count()}});
}

} // namespace geraniumlift::forwarding
