#include "decisions/simulation.h"

#include "decisions/idealbound.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <fmt/format.h>

namespace geraniumlift::bench {

namespace {

/// Tokens per progress report. Engines report each token; five at a time keep the run short and are
/// still several reports a second.
constexpr auto ChunkTokens = base::Tokens{5};

/// Time allowed for a target to receive work after it began to leave (design, section 1).
constexpr auto LeavingLimitSeconds = 5.0;

/// Time step of the ideal bound. Finer steps lower the bound by less than one request in a thousand
/// and cost the square of their number.
constexpr auto BoundStepSeconds = 0.5;

/// Every n-th target is slowed, so that the slowed ones lie in different data centres.
auto slowedStride(const FaultSpec &Faults) -> std::size_t {
  return static_cast<std::size_t>(std::lround(1.0 / Faults.m_SlowShare));
}

auto uniform(base::RandomEngine &Random) -> double {
  return boost::random::uniform_01<double>()(Random);
}

auto workloadOf(const RunSpec &Spec) -> Workload {
  auto Load = *Spec.m_Workload;
  if (Spec.m_Scenario == Scenario::Steady || Spec.m_Scenario == Scenario::SteadyTargetsSlowed) {
    Load.m_Swings.clear();
  }
  return Load;
}

auto duration(double Seconds) -> std::chrono::nanoseconds {
  return std::chrono::nanoseconds{std::llround(Seconds * 1e9)};
}

} // namespace

Simulation::Simulation(const RunSpec &Spec)
    : m_Load(workloadOf(Spec)), m_Spec(Spec), m_Start(m_Clock.steadyNow()),
      m_Random(Spec.m_Seed * 7919 + 1), m_Plan(planRequests(m_Load, Spec.m_Seed)),
      m_Outcomes(m_Plan.size()), m_Flights(m_Plan.size()) {
  for (const auto &Request : m_Plan) {
    m_LastDeadline = std::max(m_LastDeadline, Request.m_DeadlineSeconds);
  }
  // Speeds and callers come from the same numbers for every policy and scenario.
  buildTargets(m_Random);
  assignCallers(m_Random);
  if (m_Spec.m_Scenario == Scenario::TargetsSlowed ||
      m_Spec.m_Scenario == Scenario::SteadyTargetsSlowed) {
    slowTargets();
  }
  buildRouters();
}

auto Simulation::buildTargets(base::RandomEngine &Random) -> void {
  for (auto Pool = std::size_t{0}; Pool < m_Load.m_Pools.size(); ++Pool) {
    const auto &Spec = m_Load.m_Pools[Pool];
    for (auto Number = std::int64_t{0}; Number < Spec.m_Targets; ++Number) {
      auto Info = admission::TargetInfo();
      Info.m_Name = fmt::format("{}-{:02}", Spec.m_Name, Number);
      Info.m_Pool = Spec.m_Name;
      Info.m_DataCentre =
          m_Load.m_DataCentres[static_cast<std::size_t>(Number) % m_Load.m_DataCentres.size()];
      Info.m_Slots = Spec.m_Slots;
      auto Fake = FakeTarget(Spec, SpeedSchedule(m_Load.m_HiddenSlow, m_LastDeadline, Random));
      m_TargetPlaces[Info.m_Name] = m_Targets.size();
      m_Targets.push_back({std::move(Fake), std::move(Info), Pool});
    }
  }
}

auto Simulation::assignCallers(base::RandomEngine &Random) -> void {
  const auto Epochs =
      static_cast<std::int64_t>(m_Load.m_DurationSeconds / m_Load.m_Callers.m_EntryListSeconds) + 1;
  const auto LastRouter = static_cast<std::size_t>(m_Load.m_Routers - 1);
  auto Draw = boost::random::uniform_int_distribution<std::size_t>(0, LastRouter);
  for (const auto &Flow : m_Load.m_Flows) {
    auto &Routers = m_RouterOfCaller.emplace_back();
    for (auto Entry = std::int64_t{0}; Entry < Flow.m_Callers * Epochs; ++Entry) {
      Routers.push_back(Draw(Random));
    }
  }
}

auto Simulation::slowTargets() -> void {
  const auto &Faults = m_Load.m_Faults;
  for (auto Place = std::size_t{0}; Place < m_Targets.size(); Place += slowedStride(Faults)) {
    if (m_Load.m_Pools[m_Targets[Place].m_Pool].m_SecondsPerToken > 0.0) {
      m_Targets[Place].m_Fake.speed().addPhase(Faults.m_SlowStartSeconds, Faults.m_SlowEndSeconds,
                                               Faults.m_SlowFactor);
    }
  }
}

auto Simulation::buildRouters() -> void {
  const auto Centres = m_Load.m_DataCentres.size();
  const auto Count = static_cast<std::size_t>(m_Load.m_Routers);
  for (auto Number = std::size_t{0}; Number < Count; ++Number) {
    auto Options = m_Spec.m_Options;
    Options.m_DataCentre = m_Load.m_DataCentres[Number * Centres / Count];
    Options.m_ExpectedRouters = m_Load.m_Routers;
    Options.m_Seed = m_Spec.m_Seed * 1000 + Number;
    auto State = Router();
    State.m_DataCentre = Options.m_DataCentre;
    State.m_Dispatcher = std::make_unique<admission::Dispatcher>(Options);
    State.m_Dispatcher->setTargets(targetList(), m_Start);
    m_Routers.push_back(std::move(State));
  }
}

auto Simulation::targetList() const -> std::vector<admission::TargetInfo> {
  auto List = std::vector<admission::TargetInfo>();
  for (const auto &Target : m_Targets) {
    List.push_back(Target.m_Info);
  }
  return List;
}

auto Simulation::peakBound(bool PaidOnly) const -> double {
  auto Sum = 0.0;
  for (auto Pool = std::size_t{0}; Pool < m_Load.m_Pools.size(); ++Pool) {
    Sum += poolBound(Pool, PaidOnly);
  }
  return Sum;
}

auto Simulation::poolBound(std::size_t Pool, bool PaidOnly) const -> double {
  const auto Steps = static_cast<std::size_t>(std::ceil(m_LastDeadline / BoundStepSeconds)) + 1;
  auto Capacity = std::vector<double>(Steps, 0.0);
  for (const auto &Target : m_Targets) {
    for (auto Step = std::size_t{0}; Target.m_Pool == Pool && Step < Steps; ++Step) {
      const auto Start = static_cast<double>(Step) * BoundStepSeconds;
      Capacity[Step] += static_cast<double>(Target.m_Info.m_Slots) *
                        Target.m_Fake.speed().workBetween(Start, Start + BoundStepSeconds);
    }
  }
  auto Jobs = std::vector<BoundJob>();
  for (const auto &Planned : m_Plan) {
    const auto Counts = !PaidOnly || m_Load.m_Flows[Planned.m_Flow].m_Paid;
    if (Planned.m_AtPeak && Planned.m_Pool == Pool && Counts) {
      Jobs.push_back({Planned.m_SendSeconds + m_Load.m_CallerLatencySeconds,
                      Planned.m_DeadlineSeconds - m_Load.m_CallerLatencySeconds,
                      slotSeconds(m_Load, Planned, true)});
    }
  }
  return IdealBound(BoundStepSeconds, std::move(Capacity)).served(std::move(Jobs));
}

auto Simulation::run() -> RunResult {
  scheduleStart();
  scheduleFaults();
  while (!m_Events.empty()) {
    const auto Next = m_Events.top();
    m_Events.pop();
    m_Clock.advance(duration(Next.m_Seconds) - duration(m_Now));
    m_Now = Next.m_Seconds;
    (this->*Next.m_Handler)(Next);
  }
  auto Result = RunResult();
  countFalseRefusals(Result);
  Result.m_LateStartsOnLeaving = m_LateStartsOnLeaving;
  Result.m_Plan = std::move(m_Plan);
  Result.m_Outcomes = std::move(m_Outcomes);
  return Result;
}

auto Simulation::scheduleStart() -> void {
  for (auto Request = std::size_t{0}; Request < m_Plan.size(); ++Request) {
    schedule(m_Plan[Request].m_SendSeconds, &Simulation::onSend, Request);
    schedule(m_Plan[Request].m_DeadlineSeconds, &Simulation::onCallerTimeout, Request);
  }
  for (auto Target = std::size_t{0}; Target < m_Targets.size(); ++Target) {
    // Targets do not measure at the same moment.
    schedule(uniform(m_Random) * m_Load.m_ReportIntervalSeconds, &Simulation::onMeasureLoad,
             Target);
  }
}

auto Simulation::scheduleFaults() -> void {
  const auto &Faults = m_Load.m_Faults;
  if (m_Spec.m_Scenario == Scenario::TargetLeaving) {
    schedule(Faults.m_LeaveSeconds, &Simulation::onLeave, 1);
    schedule(Faults.m_LeaveSeconds + Faults.m_VmListLagSeconds, &Simulation::onVmListUpdate, 1);
  }
  if (m_Spec.m_Scenario != Scenario::RoutersCutOff) {
    return;
  }
  const auto Count = static_cast<std::size_t>(
      std::lround(Faults.m_CutShare * static_cast<double>(m_Load.m_Routers)));
  for (auto Router = std::size_t{0}; Router < Count; ++Router) {
    schedule(Faults.m_CutStartSeconds, &Simulation::onCut, Router);
    schedule(Faults.m_CutStartSeconds + m_Load.m_Callers.m_SilenceSeconds,
             &Simulation::onCutNoticed, Router);
    schedule(Faults.m_CutEndSeconds, &Simulation::onCutEnds, Router);
  }
}

auto Simulation::schedule(double Seconds, Handler Handler, std::size_t Subject, std::size_t Router)
    -> void {
  m_Events.push({Seconds, m_NextOrder, Handler, Subject, Router});
  ++m_NextOrder;
}

auto Simulation::steady(double Seconds) const -> base::SteadyTime {
  return m_Start + duration(Seconds);
}

auto Simulation::seconds(base::SteadyTime Time) const -> double {
  return std::chrono::duration<double>(Time - m_Start).count();
}

auto Simulation::workItem(std::size_t Request, admission::WorkId Work) const
    -> admission::WorkItem {
  const auto &Planned = m_Plan[Request];
  const auto &Flow = m_Load.m_Flows[Planned.m_Flow];
  const auto Workspace =
      std::find_if(m_Load.m_Workspaces.begin(), m_Load.m_Workspaces.end(),
                   [&Flow](const auto &Each) { return Each.m_Name == Flow.m_Workspace; });
  const auto Class =
      std::find_if(m_Load.m_Classes.begin(), m_Load.m_Classes.end(),
                   [&Workspace](const auto &Each) { return Each.m_Name == Workspace->m_Class; });
  auto Item = admission::WorkItem();
  Item.m_Id = Work;
  Item.m_Pool = Flow.m_Pool;
  Item.m_Workspace = Flow.m_Workspace;
  Item.m_WorkspaceWeight = Workspace->m_Weight;
  Item.m_PriorityClass = Class->m_Name;
  Item.m_PriorityLevel = Class->m_Level;
  Item.m_ClassGuaranteedShare = Class->m_GuaranteedShare;
  Item.m_PromptTokens = Planned.m_PromptTokens;
  Item.m_MaxTokens = Flow.m_MaxTokens;
  Item.m_PrefixHash = Planned.m_PrefixHash;
  Item.m_Idempotent = m_Load.m_Pools[Planned.m_Pool].m_Idempotent;
  Item.m_Deadline = steady(Planned.m_DeadlineSeconds - m_Load.m_CallerLatencySeconds);
  return Item;
}

auto Simulation::pickRouter(std::size_t Request) -> std::size_t {
  const auto &Planned = m_Plan[Request];
  const auto &Routers = m_RouterOfCaller[Planned.m_Flow];
  const auto Callers = static_cast<std::size_t>(m_Load.m_Flows[Planned.m_Flow].m_Callers);
  const auto Epoch =
      static_cast<std::size_t>(Planned.m_SendSeconds / m_Load.m_Callers.m_EntryListSeconds);
  const auto First = Routers[Epoch * Callers + static_cast<std::size_t>(Planned.m_Caller)];
  return (First + m_Flights[Request].m_NextRouter) % m_Routers.size();
}

auto Simulation::poll(std::size_t Router) -> void {
  auto &State = m_Routers[Router];
  const auto Result = State.m_Dispatcher->poll(m_Clock.steadyNow());
  for (const auto &Dispatch : Result.m_Dispatches) {
    dispatch(Router, Dispatch);
  }
  if (Result.m_NextPoll) {
    const auto At = std::max(m_Now, seconds(*Result.m_NextPoll));
    if (!State.m_PollAt || At < *State.m_PollAt) {
      State.m_PollAt = At;
      schedule(At, &Simulation::onPoll, Router);
    }
  }
  for (const auto &Rejection : Result.m_Rejections) {
    refused(m_RequestOfWork[Rejection.m_Id], Rejection.m_Refusal);
  }
}

auto Simulation::dispatch(std::size_t Router, const admission::Dispatch &Dispatch) -> void {
  const auto Place = m_TargetPlaces.at(Dispatch.m_Target);
  const auto &Target = m_Targets[Place];
  const auto Request = m_RequestOfWork[Dispatch.m_Id];
  auto New = Attempt();
  New.m_Request = Request;
  New.m_Router = Router;
  New.m_Target = Place;
  New.m_Work = Dispatch.m_Id;
  New.m_Priority = Dispatch.m_TargetPriority;
  New.m_TokensLeft = m_Plan[Request].m_AnswerTokens;
  m_Flights[Request].m_Attempt = m_Attempts.size();
  m_Attempts.push_back(New);
  const auto Near = Target.m_Info.m_DataCentre == m_Routers[Router].m_DataCentre;
  const auto Latency = Near ? m_Load.m_NearLatencySeconds : m_Load.m_FarLatencySeconds;
  schedule(m_Now + 2 * Latency, &Simulation::onTargetReceives, m_Attempts.size() - 1);
  if (Target.m_Fake.isLeaving() && m_Now > m_Load.m_Faults.m_LeaveSeconds + LeavingLimitSeconds) {
    ++m_LateStartsOnLeaving;
  }
}

auto Simulation::refused(std::size_t Request, const base::Refusal &Refusal) -> void {
  auto &Flight = m_Flights[Request];
  if (m_Routers[Flight.m_Router.value_or(0)].m_CutOff) {
    return;
  }
  Flight.m_Router = std::nullopt;
  ++m_Outcomes[Request].m_Refusals;
  const auto Pause = Refusal.m_RetryAfter
                         ? std::chrono::duration<double>(*Refusal.m_RetryAfter).count()
                         : m_Load.m_Callers.m_RetryPauseSeconds;
  const auto Again = m_Now + m_Load.m_CallerLatencySeconds + Pause;
  if (Flight.m_Sends > m_Load.m_Callers.m_RetriesAfterRefusal ||
      Again >= m_Plan[Request].m_DeadlineSeconds) {
    Flight.m_Ended = true;
    return;
  }
  ++Flight.m_NextRouter;
  schedule(Again, &Simulation::onSend, Request);
}

auto Simulation::startWaiting(std::size_t Target) -> void {
  while (const auto Next = m_Targets[Target].m_Fake.startNext(m_Now)) {
    startAttempt(*Next);
  }
}

auto Simulation::startAttempt(AttemptId Id) -> void {
  auto &Attempt = m_Attempts[Id];
  const auto &Planned = m_Plan[Attempt.m_Request];
  auto &Fake = m_Targets[Attempt.m_Target].m_Fake;
  m_Outcomes[Attempt.m_Request].m_StartedAt = m_Now;
  Attempt.m_PrefixCached = Fake.hasPrefix(Planned.m_PrefixHash);
  publishPrefix(Attempt.m_Target, Planned.m_PrefixHash);
  const auto Work = chunkWork(Attempt);
  schedule(Fake.speed().endOf(m_Now, Work), &Simulation::onChunk, Id);
}

auto Simulation::chunkWork(const Attempt &Attempt) const -> double {
  const auto &Planned = m_Plan[Attempt.m_Request];
  const auto &Pool = m_Load.m_Pools[Planned.m_Pool];
  if (Attempt.m_FirstTokenSent || Planned.m_AnswerTokens == 0) {
    const auto Tokens = static_cast<double>(std::min(ChunkTokens, Attempt.m_TokensLeft));
    return Pool.m_SecondsPerCall + Tokens * Pool.m_SecondsPerToken;
  }
  // The first chunk is the prompt and one token.
  auto First = Planned;
  First.m_AnswerTokens = 1;
  return slotSeconds(m_Load, First, Attempt.m_PrefixCached);
}

auto Simulation::publishPrefix(std::size_t Target, std::uint64_t PrefixHash) -> void {
  for (const auto &Change : m_Targets[Target].m_Fake.usePrefix(PrefixHash)) {
    for (auto Router = std::size_t{0}; Router < m_Routers.size(); ++Router) {
      if (uniform(m_Random) < m_Load.m_CacheEventLoss) {
        continue;
      }
      m_CacheEvents.push_back(
          {m_Targets[Target].m_Info.m_Name, Change.m_PrefixHash, Change.m_Cached});
      schedule(m_Now + m_Load.m_CacheEventLagSeconds, &Simulation::onCacheChange,
               m_CacheEvents.size() - 1, Router);
    }
  }
}

auto Simulation::endAttempt(AttemptId Id, const admission::AttemptEnd &End) -> void {
  auto &Attempt = m_Attempts[Id];
  Attempt.m_Alive = false;
  auto &Dispatcher = *m_Routers[Attempt.m_Router].m_Dispatcher;
  const auto Again = Dispatcher.onEnd(Attempt.m_Work, End, true, m_Clock.steadyNow());
  const auto Request = Attempt.m_Request;
  const auto Router = Attempt.m_Router;
  m_Flights[Request].m_Attempt = std::nullopt;
  if (End.m_Success) {
    served(Request);
  } else if (!Again) {
    refused(Request, {base::RefusalCode::TargetFailed, End.m_Verdict, "the target failed"});
  }
  poll(Router);
}

auto Simulation::served(std::size_t Request) -> void {
  auto &Flight = m_Flights[Request];
  if (m_Routers[*Flight.m_Router].m_CutOff) {
    return;
  }
  const auto At = m_Now + m_Load.m_CallerLatencySeconds;
  Flight.m_Ended = true;
  if (At <= m_Plan[Request].m_DeadlineSeconds) {
    m_Outcomes[Request].m_ServedAt = At;
  }
}

auto Simulation::withdraw(std::size_t Request) -> void {
  auto &Flight = m_Flights[Request];
  if (!Flight.m_Router) {
    return;
  }
  const auto Router = *Flight.m_Router;
  m_Routers[Router].m_Dispatcher->cancel(Flight.m_Work, m_Clock.steadyNow());
  Flight.m_Router = std::nullopt;
  if (Flight.m_Attempt) {
    auto &Attempt = m_Attempts[*Flight.m_Attempt];
    Attempt.m_Alive = false;
    m_Targets[Attempt.m_Target].m_Fake.remove(*Flight.m_Attempt, m_Now);
    Flight.m_Attempt = std::nullopt;
    startWaiting(Attempt.m_Target);
  }
  poll(Router);
}

auto Simulation::countFalseRefusals(RunResult &Result) const -> void {
  auto Idle = std::vector<IdleSlots>(m_Load.m_Pools.size());
  for (const auto &Target : m_Targets) {
    Target.m_Fake.reportIdle(m_LastDeadline, Idle[Target.m_Pool]);
  }
  auto Refused = std::vector<std::size_t>();
  for (auto Request = std::size_t{0}; Request < m_Plan.size(); ++Request) {
    const auto &Outcome = m_Outcomes[Request];
    if (Outcome.m_ReceivedAt && !Outcome.m_StartedAt) {
      Refused.push_back(Request);
    }
  }
  std::stable_sort(Refused.begin(), Refused.end(), [this](std::size_t Left, std::size_t Right) {
    return m_Outcomes[Left].m_ReceivedAt < m_Outcomes[Right].m_ReceivedAt;
  });
  for (const auto Request : Refused) {
    const auto &Planned = m_Plan[Request];
    const auto WayBack = m_Load.m_CallerLatencySeconds + 2 * m_Load.m_FarLatencySeconds;
    const auto Span =
        RefusedSpan{*m_Outcomes[Request].m_ReceivedAt, Planned.m_DeadlineSeconds - WayBack,
                    slotSeconds(m_Load, Planned, false)};
    Result.m_FalseRefusals += Idle[Planned.m_Pool].tryPlace(Span) ? 1 : 0;
  }
}

auto Simulation::onSend(const Event &Event) -> void {
  auto &Flight = m_Flights[Event.m_Subject];
  if (Flight.m_Ended) {
    return;
  }
  const auto Router = pickRouter(Event.m_Subject);
  if (m_Routers[Router].m_CutOff) {
    ++Flight.m_NextRouter;
    schedule(m_Now + m_Load.m_Callers.m_ConnectTimeoutSeconds, &Simulation::onSend,
             Event.m_Subject);
    return;
  }
  ++Flight.m_Sends;
  schedule(m_Now + m_Load.m_CallerLatencySeconds, &Simulation::onArrive, Event.m_Subject, Router);
}

auto Simulation::onArrive(const Event &Event) -> void {
  const auto Request = Event.m_Subject;
  auto &Flight = m_Flights[Request];
  if (Flight.m_Ended) {
    return;
  }
  if (!m_Outcomes[Request].m_ReceivedAt) {
    m_Outcomes[Request].m_ReceivedAt = m_Now;
  }
  Flight.m_Router = Event.m_Router;
  Flight.m_Work = m_RequestOfWork.size();
  m_RequestOfWork.push_back(Request);
  const auto Refusal = m_Routers[Event.m_Router].m_Dispatcher->offer(
      workItem(Request, Flight.m_Work), m_Clock.steadyNow());
  if (Refusal) {
    refused(Request, *Refusal);
  }
  poll(Event.m_Router);
}

auto Simulation::onPoll(const Event &Event) -> void {
  auto &State = m_Routers[Event.m_Subject];
  if (State.m_PollAt && *State.m_PollAt <= m_Now) {
    State.m_PollAt = std::nullopt;
    poll(Event.m_Subject);
  }
}

auto Simulation::onTargetReceives(const Event &Event) -> void {
  const auto &Attempt = m_Attempts[Event.m_Subject];
  if (!Attempt.m_Alive) {
    return;
  }
  auto &Fake = m_Targets[Attempt.m_Target].m_Fake;
  if (Fake.isLeaving()) {
    schedule(m_Now, &Simulation::onTargetRefusal, Event.m_Subject);
    return;
  }
  Fake.enqueue(Event.m_Subject, Attempt.m_Priority);
  startWaiting(Attempt.m_Target);
}

auto Simulation::onChunk(const Event &Event) -> void {
  auto &Attempt = m_Attempts[Event.m_Subject];
  if (!Attempt.m_Alive) {
    return;
  }
  auto &Dispatcher = *m_Routers[Attempt.m_Router].m_Dispatcher;
  auto &Fake = m_Targets[Attempt.m_Target].m_Fake;
  if (Attempt.m_TokensLeft > 0) {
    const auto Done =
        Attempt.m_FirstTokenSent ? std::min(ChunkTokens, Attempt.m_TokensLeft) : base::Tokens{1};
    if (!Attempt.m_FirstTokenSent) {
      Dispatcher.onFirstToken(Attempt.m_Work, m_Clock.steadyNow());
    }
    Attempt.m_FirstTokenSent = true;
    Attempt.m_TokensLeft -= Done;
    Dispatcher.onProgress(Attempt.m_Work, Done, m_Clock.steadyNow());
  }
  if (Attempt.m_TokensLeft > 0) {
    schedule(Fake.speed().endOf(m_Now, chunkWork(Attempt)), &Simulation::onChunk, Event.m_Subject);
    return;
  }
  const auto Target = Attempt.m_Target;
  Fake.remove(Event.m_Subject, m_Now);
  startWaiting(Target);
  endAttempt(Event.m_Subject, {true, base::Verdict::Ran, Fake.isLeaving()});
}

auto Simulation::onTargetRefusal(const Event &Event) -> void {
  if (m_Attempts[Event.m_Subject].m_Alive) {
    endAttempt(Event.m_Subject, {false, base::Verdict::DidNotRun, true});
  }
}

auto Simulation::onCallerTimeout(const Event &Event) -> void {
  auto &Flight = m_Flights[Event.m_Subject];
  if (!Flight.m_Ended) {
    Flight.m_Ended = true;
    withdraw(Event.m_Subject);
  }
}

auto Simulation::onMeasureLoad(const Event &Event) -> void {
  const auto &Target = m_Targets[Event.m_Subject];
  auto Report = SentReport();
  Report.m_Report.m_Target = Target.m_Info.m_Name;
  Report.m_Report.m_Running = Target.m_Fake.running();
  Report.m_Report.m_Waiting = Target.m_Fake.waiting();
  Report.m_MeasuredAt = m_Now;
  m_Reports.push_back(std::move(Report));
  for (auto Router = std::size_t{0}; Router < m_Routers.size(); ++Router) {
    const auto Lag = m_Load.m_ReportLagSeconds * (0.5 + uniform(m_Random));
    schedule(m_Now + Lag, &Simulation::onReport, m_Reports.size() - 1, Router);
  }
  if (m_Now < m_LastDeadline) {
    schedule(m_Now + m_Load.m_ReportIntervalSeconds, &Simulation::onMeasureLoad, Event.m_Subject);
  }
}

auto Simulation::onReport(const Event &Event) -> void {
  const auto &Sent = m_Reports[Event.m_Subject];
  auto Report = Sent.m_Report;
  Report.m_Age = std::chrono::milliseconds{std::llround((m_Now - Sent.m_MeasuredAt) * 1000.0)};
  m_Routers[Event.m_Router].m_Dispatcher->onLoadReport(Report, m_Clock.steadyNow());
  poll(Event.m_Router);
}

auto Simulation::onCacheChange(const Event &Event) -> void {
  m_Routers[Event.m_Router].m_Dispatcher->onCacheEvent(m_CacheEvents[Event.m_Subject],
                                                       m_Clock.steadyNow());
}

auto Simulation::onLeave(const Event &Event) -> void {
  m_Targets[Event.m_Subject].m_Fake.leave(m_Now);
}

auto Simulation::onVmListUpdate(const Event &Event) -> void {
  m_Targets[Event.m_Subject].m_Info.m_Leaving = true;
  for (auto Router = std::size_t{0}; Router < m_Routers.size(); ++Router) {
    m_Routers[Router].m_Dispatcher->setTargets(targetList(), m_Clock.steadyNow());
    poll(Router);
  }
}

auto Simulation::onCut(const Event &Event) -> void { m_Routers[Event.m_Subject].m_CutOff = true; }

auto Simulation::onCutNoticed(const Event &Event) -> void {
  for (auto Request = std::size_t{0}; Request < m_Flights.size(); ++Request) {
    auto &Flight = m_Flights[Request];
    if (Flight.m_Ended || Flight.m_Router != Event.m_Subject) {
      continue;
    }
    withdraw(Request);
    // A booking that may have run is not sent again; it ends with its deadline.
    if (m_Load.m_Pools[m_Plan[Request].m_Pool].m_Idempotent || !m_Outcomes[Request].m_StartedAt) {
      m_Outcomes[Request].m_StartedAt = std::nullopt;
      ++Flight.m_NextRouter;
      schedule(m_Now, &Simulation::onSend, Request);
    }
  }
}

auto Simulation::onCutEnds(const Event &Event) -> void {
  m_Routers[Event.m_Subject].m_CutOff = false;
}

} // namespace geraniumlift::bench
