#include "forwarding/forwardsession.h"

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace geraniumlift::forwarding {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Urgencies that engines take; each step of a route's priority is two steps of urgency, so that
/// priorities 0 to 2 lie around the engines' default of 5.
constexpr auto MostUrgent = 1;
constexpr auto LeastUrgent = 9;

auto urgencyOf(std::int64_t Priority) -> int {
  return static_cast<int>(
      std::clamp<std::int64_t>(MostUrgent + 2 * Priority, MostUrgent, LeastUrgent));
}

} // namespace

ForwardSession::ForwardSession(ForwardingContext &Context, http1::RequestHead Head,
                               std::string Body, std::shared_ptr<ICallerAnswer> Caller)
    : m_Context(Context), m_Head(std::move(Head)),
      m_Body(std::make_shared<const std::string>(std::move(Body))), m_Caller(std::move(Caller)),
      m_Arrived(Context.m_Clock.steadyNow()), m_Deadline(m_Arrived) {
  ++m_Context.m_Sessions;
  m_Context.m_BodyBytes += m_Body->size();
}

ForwardSession::~ForwardSession() {
  --m_Context.m_Sessions;
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
  m_Fields = m_Context.m_Dialect.decodeRequest(m_Head);
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
  m_LimitTimer = m_Context.m_Timers.start(m_Deadline, [Self = weak_from_this()] {
    if (const auto Session = Self.lock()) {
      Session->onTimeLimit();
    }
  });
  choosePool();
  reserve();
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
  if (m_Context.m_Sessions > m_Context.m_Options.m_MaxSessions ||
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
  m_Pool = Pools[Index].m_Pool;
  const auto *Pool = m_Table->findPool(m_Pool);
  if (Pool != nullptr && Pool->m_Engine) {
    m_TokensPerEvent = Pool->m_Engine->m_TokensPerEvent;
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
  const auto Latest = std::min(m_Deadline, now() + m_Context.m_Options.m_LongestBudgetWait);
  m_Context.m_Budgets.reserve(m_Workspace->m_Name, m_Fields.m_Prompt->worstCase(), Latest,
                              [Self = shared_from_this()](const budget::Reservation &Outcome) {
                                Self->onReserved(Outcome);
                              });
}

auto ForwardSession::onReserved(const budget::Reservation &Outcome) -> void {
  m_IsReserving = false;
  if (Outcome.m_Outcome == budget::ReservationOutcome::Granted) {
    m_ReservedFrom = Outcome.m_Source;
    m_Reserved = m_Fields.m_Prompt->worstCase();
  }
  if (m_IsFinished) {
    // The caller left, or the time ran out, while the reservation was made.
    if (m_Reserved > 0) {
      m_Context.m_Budgets.settle(m_ReservedFrom, std::exchange(m_Reserved, 0), 0);
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

auto ForwardSession::targetHead(const TargetRecord &Target) -> std::string {
  auto Fields = TargetFields();
  Fields.m_TargetId = Target.m_Id;
  Fields.m_TimeLeft = timeLeft();
  if (m_Workspace != nullptr) {
    Fields.m_Workspace = m_Workspace->m_Name;
  }
  if (m_Fields.m_Prompt) {
    const auto Own = m_Workspace == nullptr ? std::nullopt : m_Workspace->m_Priority;
    Fields.m_Urgency = urgencyOf(Own.value_or(m_Route->m_Priority));
  }
  Fields.m_ResumeAfter = m_HasBegun ? m_Events.lastId() : m_Fields.m_LastEventId;
  auto Head = m_Head;
  m_Context.m_Dialect.prepareForTarget(Head, Fields);
  const auto HasBody = !m_Body->empty() || m_Head.m_Fields.has("Content-Length") ||
                       m_Head.m_Fields.has("Transfer-Encoding");
  return formatRequestHead(Head, HasBody ? http1::Framing::Length : http1::Framing::None,
                           m_Body->size());
}

auto ForwardSession::sendToTarget() -> void {
  const auto *Prompt = m_Fields.m_Prompt ? &*m_Fields.m_Prompt : nullptr;
  const auto Choice =
      m_Context.m_Placement.choose(m_Context.m_Targets, {m_Pool, Prompt, m_Tried}, now());
  if (!Choice) {
    if (m_HasBegun) {
      m_Caller->breakOff();
      finish("broken_off");
      return;
    }
    refuse(m_MayHaveRun ? RefusalReason::TargetFailed : RefusalReason::NoTarget);
    return;
  }
  const auto Target = m_Context.m_Targets.find(Choice->m_TargetId)->record();
  m_TargetId = Target.m_Id;
  m_ExpectedMs = Choice->m_ExpectedMs;
  m_Tried.insert(m_TargetId);
  m_AnswerHead.reset();
  m_WholeBody.clear();
  m_IsWaitingForAnswer = true;
  m_ToRead = Prompt == nullptr ? 0 : Prompt->m_PromptTokens - Choice->m_KeptTokens;
  m_Context.m_Targets.noteSent(m_TargetId, Prompt, m_ToRead, now());
  m_Context.m_Log.record(base::LogLevel::Debug, "request_placed",
                         {{"request", m_Fields.m_RequestId},
                          {"route", m_Route->m_Name},
                          {"config", m_Table->version()},
                          {"workspace", m_Workspace == nullptr ? "" : m_Workspace->m_Name},
                          {"pool", m_Pool},
                          {"target", m_TargetId},
                          {"send", m_Sends + 1},
                          {"expected_ms", static_cast<std::int64_t>(m_ExpectedMs)},
                          {"kept_tokens", Choice->m_KeptTokens},
                          {"left_ms", timeLeft().count()}});
  m_Attempt = m_Context.m_Connector.send(Target, targetHead(Target), m_Body,
                                         m_Head.m_Method == "HEAD", *this);
}

auto ForwardSession::onConnected() -> void {
  auto &Retries = m_Context.retryBudget(m_Pool);
  if (m_Sends++ == 0) {
    Retries.onFreshRequest();
  }
  if (m_Route->isRepeatable()) {
    const auto Forecast = milliseconds(
        static_cast<std::int64_t>(m_ExpectedMs * m_Context.m_Options.m_ForecastFactor));
    const auto Objective = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(m_Route->m_Objective.count()) * m_Context.m_Options.m_SilenceFactor));
    watchSilence(std::max(Objective, Forecast));
  }
}

auto ForwardSession::watchSilence(milliseconds Limit) -> void {
  m_Context.m_Timers.cancel(m_SilenceTimer);
  m_SilenceTimer = m_Context.m_Timers.start(now() + Limit, [Self = weak_from_this()] {
    if (const auto Session = Self.lock()) {
      Session->onSilence();
    }
  });
}

auto ForwardSession::onSilence() -> void {
  m_SilenceTimer = 0;
  if (m_IsFinished || !m_Attempt) {
    return;
  }
  if (!mayRepeat(base::Verdict::MayHaveRun)) {
    return;
  }
  attemptFailed(base::Verdict::MayHaveRun, AttemptSign::Silent, "silent");
}

auto ForwardSession::onTimeLimit() -> void {
  m_LimitTimer = 0;
  if (m_IsFinished) {
    return;
  }
  if (m_Attempt) {
    const auto Sent = m_Sends > 0;
    // A target that let the whole time pass without a byte is no good sign, whatever the cause.
    endAttempt(m_AnswerHead ? AttemptSign::Good : AttemptSign::Broken);
    m_MayHaveRun |= Sent;
  }
  if (m_HasBegun) {
    m_Caller->breakOff();
    finish("timed_out_midway");
    return;
  }
  refuse(m_MayHaveRun ? RefusalReason::TimedOut : RefusalReason::NoTarget);
}

auto ForwardSession::onFailed(base::Verdict Outcome, std::string_view Reason) -> void {
  const auto Sign = Outcome == base::Verdict::DidNotRun ? AttemptSign::Silent : AttemptSign::Broken;
  attemptFailed(Outcome, Sign, Reason);
}

auto ForwardSession::mayRepeat(base::Verdict Outcome) -> bool {
  const auto Allowed = Outcome == base::Verdict::DidNotRun || m_Route->isRepeatable();
  return Allowed && m_Sends < m_Route->m_MaxAttempts && timeLeft() > 0ms &&
         m_Context.retryBudget(m_Pool).available() >= 1.0;
}

auto ForwardSession::endAttempt(AttemptSign Sign) -> void {
  m_Context.m_Timers.cancel(std::exchange(m_SilenceTimer, 0));
  if (!m_Attempt) {
    return;
  }
  if (std::exchange(m_IsWaitingForAnswer, false) && m_Fields.m_Prompt) {
    m_Context.m_Targets.noteAnswering(m_TargetId, m_ToRead);
  }
  m_Context.m_Targets.noteEnded(m_TargetId);
  m_Context.m_Targets.noteSign(m_TargetId, Sign, now());
  m_Attempt.reset();
  m_IsPaused = false;
}

auto ForwardSession::attemptFailed(base::Verdict Outcome, AttemptSign Sign, std::string_view Reason)
    -> void {
  endAttempt(Sign);
  if (Outcome != base::Verdict::DidNotRun) {
    m_MayHaveRun = true;
  }
  const auto NothingSent = m_Sends == 0;
  const auto Repeats = NothingSent ? m_Tried.size() < 4 && timeLeft() > 0ms : mayRepeat(Outcome);
  m_Context.m_Log.record(base::LogLevel::Warning, "attempt_failed",
                         {{"request", m_Fields.m_RequestId},
                          {"route", m_Route->m_Name},
                          {"pool", m_Pool},
                          {"target", m_TargetId},
                          {"reason", Reason},
                          {"verdict", nameOf(base::VerdictNames, Outcome)},
                          {"sends", m_Sends},
                          {"events", m_EventsSent},
                          {"after_ms", elapsed().count()},
                          {"repeats", Repeats}});
  // A torn event is sent again as a whole by the target that goes on.
  m_Events.takeRest();
  if (Repeats) {
    if (!NothingSent) {
      m_Context.retryBudget(m_Pool).tryTake();
      m_Context.m_Metrics.onRepeated(m_Pool);
    }
    sendToTarget();
    return;
  }
  if (m_HasBegun) {
    m_Caller->breakOff();
    finish("broken_off");
    return;
  }
  if (m_MayHaveRun) {
    refuse(RefusalReason::TargetFailed);
    return;
  }
  refuse(NothingSent ? RefusalReason::NoTarget : RefusalReason::TargetRefused);
}

auto ForwardSession::retryPause(RefusalReason Reason) -> milliseconds {
  const auto &Options = m_Context.m_Options;
  const auto Base = Reason == RefusalReason::BudgetUnavailable ? Options.m_BudgetRetryPause
                                                               : Options.m_ShortRetryPause;
  const auto Factor =
      boost::random::uniform_real_distribution<double>(1.0, 2.0)(m_Context.m_Random);
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(Base.count()) * Factor));
}

auto ForwardSession::refuse(RefusalReason Reason) -> void {
  const auto &Text = textOf(Reason);
  auto Head = http1::ResponseHead{Text.m_Status, std::string(Text.m_Phrase), {}};
  Head.m_Fields.add("Content-Type", "application/problem+json");
  auto Pause = 0ms;
  if (Text.m_Status == 503) {
    Pause = retryPause(Reason);
    Head.m_Fields.add("Retry-After",
                      fmt::format("{:.3f}", static_cast<double>(Pause.count()) / 1e3));
  }
  m_Context.m_Dialect.markOwnAnswer(Head, m_Fields.m_RequestId);
  const auto Outcome = m_MayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun;
  m_Context.m_Log.record(base::LogLevel::Warning, "request_refused",
                         {{"request", m_Fields.m_RequestId},
                          {"reason", Text.m_Name},
                          {"status", Text.m_Status},
                          {"verdict", nameOf(base::VerdictNames, Outcome)},
                          {"config", m_Table ? m_Table->version() : -1},
                          {"route", m_Route == nullptr ? "" : m_Route->m_Name},
                          {"workspace", m_Workspace == nullptr ? "" : m_Workspace->m_Name},
                          {"tokens", m_Fields.m_Prompt ? m_Fields.m_Prompt->worstCase() : 0},
                          {"pool", m_Pool},
                          {"sends", m_Sends},
                          {"after_ms", elapsed().count()},
                          {"retry_ms", Pause.count()}});
  m_Caller->sendWhole(
      std::move(Head),
      fmt::format(R"({{"title":"{}","status":{},"detail":"{}","code":"{}","verdict":"{}"}})",
                  Text.m_Phrase, Text.m_Status, Text.m_Sentence, Text.m_Name,
                  nameOf(base::VerdictNames, Outcome)));
  finish(Text.m_Name);
}

auto ForwardSession::onCallerGone() -> void {
  if (m_IsFinished) {
    return;
  }
  m_MayHaveRun |= m_Sends > 0;
  if (m_Attempt) {
    // A caller that leaves early says nothing of the target; one that waited in vain does.
    const auto Waited = !m_FirstByteAt && elapsed() > 2 * m_Route->m_Objective;
    endAttempt(Waited ? AttemptSign::Broken : AttemptSign::Unknown);
  }
  m_Context.m_Log.record(base::LogLevel::Info, "caller_left",
                         {{"request", m_Fields.m_RequestId},
                          {"target", m_TargetId},
                          {"events", m_EventsSent},
                          {"after_ms", elapsed().count()}});
  finish("caller_left");
}

auto ForwardSession::usedTokens() const -> Tokens {
  if (!m_MayHaveRun && !m_HasBegun) {
    return 0;
  }
  const auto &Prompt = *m_Fields.m_Prompt;
  return Prompt.m_PromptTokens + std::min(Prompt.m_OutputLimit, m_EventsSent * m_TokensPerEvent);
}

auto ForwardSession::finish(std::string_view Result) -> void {
  if (std::exchange(m_IsFinished, true)) {
    return;
  }
  m_Context.m_Timers.cancel(std::exchange(m_LimitTimer, 0));
  m_Context.m_Timers.cancel(std::exchange(m_SilenceTimer, 0));
  if (m_Reserved > 0) {
    m_Context.m_Budgets.settle(m_ReservedFrom, std::exchange(m_Reserved, 0), usedTokens());
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
                          {"sends", m_Sends},
                          {"events", m_EventsSent},
                          {"first_byte_ms", Outcome.m_FirstByte.count()},
                          {"total_ms", Outcome.m_Total.count()}});
}

} // namespace geraniumlift::forwarding
