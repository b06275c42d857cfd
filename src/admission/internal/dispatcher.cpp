#include "admission/dispatcher.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <fmt/format.h>

namespace geraniumlift::admission {

namespace {

/// Longest time between polls while requests wait: they become urgent, reports become old and
/// probes become due without an event.
constexpr auto WaitingPollInterval = std::chrono::milliseconds{250};

/// Shortest pause suggested to a caller; shorter ones would only bring the same answer again.
constexpr auto ShortestRetryAfter = std::chrono::milliseconds{50};

/// Part of the expected run that must fit before the deadline. Half of all runs are shorter than
/// their mean, so that refusing at the whole mean would refuse work that ends in time.
constexpr auto LeastRunShare = 0.5;

/// Factor, less 1, by which the expected wait must exceed the time left in a pool shared with many
/// routers. With 0, 1 and 2, false refusals reached 0.6%, 0.2% and 0.2% in the benchmark
/// (lampdesk).
constexpr auto SharedPoolMargin = 4.0;

/// Lower end of the drain rate, in slot seconds per second, to divide by.
constexpr auto SmallestDrainRate = 0.01;

/// Slots kept free for short work: this multiple of its demand, and at most this part of the pool.
constexpr auto ShortDemandMargin = 1.0;
constexpr auto LargestShortShare = 0.5;

/// A request is urgent when less than this is left: a multiple of its expected run, as runs differ
/// widely, and a reserve in seconds for the wait at the target. With 3 s instead of 8 s, false
/// refusals with routers cut off exceeded 1%.
constexpr auto UrgentRunMultiple = 1.5;
constexpr auto UrgentSeconds = 8.0;

/// Weight of a report in the number of active routers. About 50 reports of a dozen targets, each
/// several times a second, replace the old value within a second or two.
constexpr auto ActiveRoutersRate = 0.02;

auto secondsBetween(base::SteadyTime From, base::SteadyTime To) -> double {
  return std::chrono::duration<double>(To - From).count();
}

/// A refusal of work that did not run. The pause is in seconds and rounded up.
auto refusal(base::RefusalCode Code, std::string Detail, double RetryAfterSeconds = 1.0)
    -> base::Refusal {
  const auto Pause = std::chrono::milliseconds{std::llround(std::ceil(RetryAfterSeconds * 1000.0))};
  return {Code, base::Verdict::DidNotRun, std::move(Detail), std::max(ShortestRetryAfter, Pause)};
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed), m_Retries(m_Options.m_Retry) {}

auto Dispatcher::setTargets(std::vector<TargetInfo> Targets, base::SteadyTime /*Now*/) -> void {
  for (auto &[PoolName, Pool] : m_Pools) {
    for (auto &[Name, Target] : Pool.m_Targets) {
      Target.m_View.markRemoved();
    }
  }
  m_PoolOfTarget.clear();
  for (auto &Info : Targets) {
    auto &Pool = poolNamed(Info.m_Pool);
    m_PoolOfTarget[Info.m_Name] = Info.m_Pool;
    const auto Known = Pool.m_Targets.find(Info.m_Name);
    if (Known != Pool.m_Targets.end()) {
      Known->second.m_View.setInfo(std::move(Info));
      continue;
    }
    auto Name = Info.m_Name;
    auto State = TargetState{routing::TargetView(std::move(Info)), makeConcurrencyLimit(m_Options)};
    Pool.m_Targets.emplace(std::move(Name), std::move(State));
  }
  for (auto &[PoolName, Pool] : m_Pools) {
    std::erase_if(Pool.m_Targets, [](const auto &Entry) {
      return Entry.second.m_View.isRemoved() && Entry.second.m_View.outstanding() == 0;
    });
    updateDetector(Pool);
  }
}

auto Dispatcher::markLeaving(const std::string &Target, base::SteadyTime /*Now*/) -> void {
  if (auto *State = findTarget(Target)) {
    State->m_View.markLeaving();
    updateDetector(poolNamed(State->m_View.info().m_Pool));
  }
}

auto Dispatcher::offer(WorkItem Item, base::SteadyTime Now) -> std::optional<base::Refusal> {
  auto &Pool = poolNamed(Item.m_Pool);
  const auto Id = Item.m_Id;
  auto NewWork = Work();
  NewWork.m_Expected = m_Lengths.estimate(Item);
  NewWork.m_Item = std::move(Item);
  if (auto Refusal = refuseAtOnce(Pool, NewWork, Now)) {
    return Refusal;
  }
  m_Retries.onFirstAttempt();
  m_Deadlines.insert({NewWork.m_Item.m_Deadline, Id});
  auto &Stored = m_Work.insert_or_assign(Id, std::move(NewWork)).first->second;
  if (isShort(Stored)) {
    Pool.m_ShortDemand.add(Stored.m_Expected.m_RunSeconds, Now);
  }
  enqueue(Stored);
  return std::nullopt;
}

auto Dispatcher::cancel(WorkId Id, base::SteadyTime Now) -> void { forget(Id, Now); }

auto Dispatcher::poll(base::SteadyTime Now) -> PollResult {
  auto Result = PollResult();
  endBackoffs(Now);
  rejectExpired(Now, Result);
  for (auto &[Name, Pool] : m_Pools) {
    dispatchPool(Pool, Now, Result);
  }
  Result.m_NextPoll = nextPoll(Now);
  return Result;
}

auto Dispatcher::onFirstToken(WorkId Id, base::SteadyTime Now) -> void {
  auto *Work = findWork(Id);
  if (Work != nullptr && Work->m_State == WorkState::Dispatched && !Work->m_FirstTokenAt) {
    Work->m_FirstTokenAt = Now;
    Work->m_LastProgress = Now;
    if (auto *Target = findTarget(Work->m_Target)) {
      Target->m_Limit->onFirstToken(secondsBetween(Work->m_DispatchedAt, Now));
    }
  }
}

auto Dispatcher::onProgress(WorkId Id, base::Tokens NewTokens, base::SteadyTime Now) -> void {
  auto *Work = findWork(Id);
  if (Work == nullptr || Work->m_State != WorkState::Dispatched || NewTokens <= 0) {
    return;
  }
  Work->m_AnswerTokens += NewTokens;
  const auto Gap = secondsBetween(Work->m_LastProgress, Now);
  if (Work->m_FirstTokenAt && Gap > 0.0) {
    samplePace(*Work, Gap / static_cast<double>(NewTokens), Now);
  }
  Work->m_LastProgress = Now;
}

auto Dispatcher::onEnd(WorkId Id, const AttemptEnd &End, bool MayRetry, base::SteadyTime Now)
    -> bool {
  auto *Work = findWork(Id);
  if (Work == nullptr || Work->m_State != WorkState::Dispatched) {
    return false;
  }
  if (End.m_TargetLeaving) {
    markLeaving(Work->m_Target, Now);
  }
  if (End.m_Success) {
    learnFrom(*Work, Now);
  }
  if (!End.m_Success && MayRetry && retryAfterFailure(*Work, End, Now)) {
    return true;
  }
  forget(Id, Now);
  return false;
}

auto Dispatcher::onLoadReport(const LoadReport &Report, base::SteadyTime Now) -> void {
  if (auto *State = findTarget(Report.m_Target)) {
    State->m_View.onReport(Report, Now);
    State->m_View.setDither(boost::random::uniform_01<double>()(m_Random));
    updateActiveRouters(poolNamed(State->m_View.info().m_Pool));
  }
}

auto Dispatcher::onCacheEvent(const CacheEvent &Event, base::SteadyTime /*Now*/) -> void {
  if (auto *State = findTarget(Event.m_Target)) {
    State->m_View.onPrefix(Event.m_PrefixHash, Event.m_Cached);
  }
}

auto Dispatcher::poolNamed(const std::string &Name) -> PoolState & {
  const auto Known = m_Pools.find(Name);
  if (Known != m_Pools.end()) {
    return Known->second;
  }
  auto Pool = PoolState();
  Pool.m_ActiveRouters =
      static_cast<double>(std::max<std::int64_t>(1, m_Options.m_ExpectedRouters));
  Pool.m_Queue = makeWorkQueue(m_Options.m_QueueOrder);
  Pool.m_Chooser = routing::makeTargetChooser(
      m_Options.m_TargetChoice, {m_Options.m_DataCentre, m_Options.m_ExpectedRouters});
  return m_Pools.emplace(Name, std::move(Pool)).first->second;
}

auto Dispatcher::findTarget(const std::string &Name) -> TargetState * {
  const auto PoolName = m_PoolOfTarget.find(Name);
  if (PoolName == m_PoolOfTarget.end()) {
    return nullptr;
  }
  auto &Targets = poolNamed(PoolName->second).m_Targets;
  const auto Found = Targets.find(Name);
  return Found == Targets.end() ? nullptr : &Found->second;
}

auto Dispatcher::findWork(WorkId Id) -> Work * {
  const auto Found = m_Work.find(Id);
  return Found == m_Work.end() ? nullptr : &Found->second;
}

auto Dispatcher::updateDetector(PoolState &Pool) -> void {
  auto Names = std::vector<std::string>();
  for (const auto &[Name, Target] : Pool.m_Targets) {
    if (Target.m_View.acceptsWork()) {
      Names.push_back(Name);
    }
  }
  Pool.m_Slow.setTargets(Names);
}

auto Dispatcher::samplePace(const Work &Work, double Seconds, base::SteadyTime Now) -> void {
  if (!m_Options.m_EjectSlowTargets) {
    return;
  }
  auto &Pool = poolOf(Work);
  Pool.m_Slow.onSample(Work.m_Target, Seconds, Now);
  for (auto &[Name, Target] : Pool.m_Targets) {
    Target.m_View.setSlowness(Pool.m_Slow.slowness(Name));
  }
}

auto Dispatcher::hasUsableTarget(const PoolState &Pool) -> bool {
  return std::any_of(Pool.m_Targets.begin(), Pool.m_Targets.end(),
                     [](const auto &Entry) { return Entry.second.m_View.acceptsWork(); });
}

auto Dispatcher::entryOf(const Work &Work) const -> QueueEntry {
  const auto &Item = Work.m_Item;
  auto Entry = QueueEntry();
  Entry.m_Id = Item.m_Id;
  Entry.m_Workspace = Item.m_Workspace;
  Entry.m_WorkspaceWeight = Item.m_WorkspaceWeight;
  Entry.m_PriorityClass = Item.m_PriorityClass;
  Entry.m_PriorityLevel = Item.m_PriorityLevel;
  Entry.m_ClassGuaranteedShare = Item.m_ClassGuaranteedShare;
  Entry.m_CostTokens = static_cast<double>(Item.m_PromptTokens) + Work.m_Expected.m_AnswerTokens;
  Entry.m_RunSeconds = Work.m_Expected.m_RunSeconds;
  Entry.m_Short = isShort(Work);
  Entry.m_Deadline = Item.m_Deadline;
  return Entry;
}

auto Dispatcher::refuseAtOnce(PoolState &Pool, const Work &Work, base::SteadyTime Now)
    -> std::optional<base::Refusal> {
  if (!hasUsableTarget(Pool)) {
    return refusal(base::RefusalCode::NoTarget, "no target of the pool accepts work");
  }
  const auto Waiting = static_cast<std::int64_t>(Pool.m_Queue->size());
  if (Waiting >= m_Options.m_QueueLimit) {
    return refusal(base::RefusalCode::QueueFull,
                   fmt::format("{} requests already wait for the pool", Waiting),
                   Work.m_Expected.m_RunSeconds / drainRate(Pool));
  }
  const auto Left = secondsBetween(Now, Work.m_Item.m_Deadline);
  if (Left <= 0.0) {
    return refusal(base::RefusalCode::DeadlineUnreachable, "the deadline has passed");
  }
  if (!m_Options.m_RefuseEarly) {
    return std::nullopt;
  }
  const auto Wait = expectedWait(Pool, Work, Now);
  // The more routers share the pool, the less this one knows of the capacity it will get.
  const auto Margin = 1.0 + SharedPoolMargin * (1.0 - 1.0 / std::max(1.0, Pool.m_ActiveRouters));
  const auto Excess = Wait - Margin * (Left - LeastRunShare * Work.m_Expected.m_RunSeconds);
  if (Wait <= 0.0 || Excess <= 0.0 || reportsFreeSlots(Pool, Now)) {
    return std::nullopt;
  }
  return refusal(base::RefusalCode::DeadlineUnreachable,
                 fmt::format("the expected wait of {:.1f} s exceeds the deadline", Wait), Excess);
}

auto Dispatcher::expectedWait(PoolState &Pool, const Work &Work, base::SteadyTime Now) -> double {
  const auto Ahead = Pool.m_Queue->secondsAhead(entryOf(Work));
  if (Ahead <= 0.0 && !candidatesFor(Pool, Work, Now).empty()) {
    return 0.0;
  }
  // Besides what waits, one run has to end before a slot becomes free.
  return (Ahead + Work.m_Expected.m_RunSeconds) / drainRate(Pool);
}

auto Dispatcher::reportsFreeSlots(const PoolState &Pool, base::SteadyTime Now) -> bool {
  auto Free = 0.0;
  for (const auto &[Name, Target] : Pool.m_Targets) {
    const auto &View = Target.m_View;
    if (View.acceptsWork() && View.hasFreshReport(Now)) {
      Free += static_cast<double>(View.info().m_Slots) - View.reportedTotal();
    }
  }
  return Free > 0.0;
}

auto Dispatcher::drainRate(const PoolState &Pool) -> double {
  auto Slots = 0.0;
  for (const auto &[Name, Target] : Pool.m_Targets) {
    if (Target.m_View.acceptsWork()) {
      Slots += static_cast<double>(Target.m_View.info().m_Slots) / Target.m_View.slowness();
    }
  }
  return std::max(SmallestDrainRate, Slots / Pool.m_ActiveRouters);
}

auto Dispatcher::enqueue(Work &Work) -> void {
  Work.m_State = WorkState::Waiting;
  poolNamed(Work.m_Item.m_Pool).m_Queue->push(entryOf(Work));
}

auto Dispatcher::forget(WorkId Id, base::SteadyTime Now) -> void {
  auto *Work = findWork(Id);
  if (Work == nullptr) {
    return;
  }
  if (Work->m_State == WorkState::Dispatched) {
    releaseTarget(*Work, Now);
  }
  if (Work->m_State == WorkState::Waiting) {
    poolNamed(Work->m_Item.m_Pool).m_Queue->drop(Id);
  }
  m_Deadlines.erase({Work->m_Item.m_Deadline, Id});
  m_Backoffs.erase({Work->m_NotBefore, Id});
  m_Work.erase(Id);
}

auto Dispatcher::releaseTarget(const Work &Work, base::SteadyTime Now) -> void {
  // The pool is the request's, as the target's name may have moved to another pool meanwhile.
  auto &Targets = poolNamed(Work.m_Item.m_Pool).m_Targets;
  const auto Target = Targets.find(Work.m_Target);
  if (Target == Targets.end()) {
    return;
  }
  auto &View = Target->second.m_View;
  View.onEnd(Work.m_Expected.m_RunSeconds, Now);
  if (View.isRemoved() && View.outstanding() == 0) {
    Targets.erase(Target);
  }
}

auto Dispatcher::learnFrom(const Work &Work, base::SteadyTime Now) -> void {
  const auto Started = Work.m_FirstTokenAt.value_or(Work.m_DispatchedAt);
  if (!Work.m_FirstTokenAt) {
    // A plain service has no tokens; its time per call shows its pace.
    samplePace(Work, secondsBetween(Started, Now), Now);
  }
  m_Lengths.learn(Work.m_Item,
                  {static_cast<double>(Work.m_AnswerTokens), secondsBetween(Started, Now)});
}

auto Dispatcher::retryAfterFailure(Work &Work, const AttemptEnd &End, base::SteadyTime Now)
    -> bool {
  const auto Next = m_Retries.nextAttempt(
      {Work.m_Attempts, Work.m_Item.m_Idempotent, End.m_Verdict, Work.m_Item.m_Deadline}, Now,
      m_Random);
  if (!Next) {
    return false;
  }
  releaseTarget(Work, Now);
  Work.m_State = WorkState::BackingOff;
  Work.m_NotBefore = *Next;
  Work.m_FirstTokenAt = std::nullopt;
  Work.m_AnswerTokens = 0;
  m_Backoffs.insert({*Next, Work.m_Item.m_Id});
  m_Deadlines.insert({Work.m_Item.m_Deadline, Work.m_Item.m_Id});
  return true;
}

auto Dispatcher::endBackoffs(base::SteadyTime Now) -> void {
  while (!m_Backoffs.empty() && m_Backoffs.begin()->m_Time <= Now) {
    const auto Id = m_Backoffs.begin()->m_Id;
    m_Backoffs.erase(m_Backoffs.begin());
    enqueue(*findWork(Id));
  }
}

auto Dispatcher::rejectExpired(base::SteadyTime Now, PollResult &Result) -> void {
  while (!m_Deadlines.empty() && m_Deadlines.begin()->m_Time <= Now) {
    const auto Id = m_Deadlines.begin()->m_Id;
    const auto &Pool = poolNamed(findWork(Id)->m_Item.m_Pool);
    const auto Wait = Pool.m_Queue->secondsAhead(entryOf(*findWork(Id))) / drainRate(Pool);
    auto Refusal = hasUsableTarget(Pool)
                       ? refusal(base::RefusalCode::DeadlineUnreachable,
                                 "the deadline passed while the request waited for a target", Wait)
                       : refusal(base::RefusalCode::NoTarget, "no target of the pool accepts work");
    Result.m_Rejections.push_back({Id, std::move(Refusal)});
    forget(Id, Now);
  }
}

auto Dispatcher::dispatchPool(PoolState &Pool, base::SteadyTime Now, PollResult &Result) -> void {
  while (dispatchNext(Pool, Lane::Any, Now, Result) ||
         dispatchNext(Pool, Lane::ShortOnly, Now, Result)) {
  }
}

auto Dispatcher::dispatchNext(PoolState &Pool, Lane Lane, base::SteadyTime Now, PollResult &Result)
    -> bool {
  const auto Id = Pool.m_Queue->next(Lane);
  if (!Id) {
    return false;
  }
  auto &Work = *findWork(*Id);
  auto *Target = chooseTarget(Pool, Work, Now);
  if (Target == nullptr) {
    return false;
  }
  Pool.m_Queue->take(*Id);
  m_Deadlines.erase({Work.m_Item.m_Deadline, *Id});
  if (Pool.m_Slow.isEjected(Target->m_View.info().m_Name)) {
    Pool.m_Slow.onProbe(Target->m_View.info().m_Name, Now);
  }
  Target->m_View.onDispatch(Work.m_Expected.m_RunSeconds, Now);
  Work.m_State = WorkState::Dispatched;
  Work.m_Target = Target->m_View.info().m_Name;
  Work.m_DispatchedAt = Now;
  ++Work.m_Attempts;
  Result.m_Dispatches.push_back({*Id, Work.m_Target, targetPriority(Work)});
  return true;
}

auto Dispatcher::targetPriority(const Work &Work) const -> std::int64_t {
  const auto Level = Work.m_Item.m_PriorityLevel;
  if (!m_Options.m_ShortFirstAtTarget) {
    return Level;
  }
  return isShort(Work) ? 0 : Level + 1;
}

auto Dispatcher::chooseTarget(PoolState &Pool, const Work &Work, base::SteadyTime Now)
    -> TargetState * {
  const auto Candidates = candidatesFor(Pool, Work, Now);
  if (Candidates.empty()) {
    return nullptr;
  }
  auto Views = std::vector<const routing::TargetView *>();
  for (const auto *Target : Candidates) {
    Views.push_back(&Target->m_View);
  }
  const auto Request = routing::ChoiceRequest{Work.m_Expected.m_RunSeconds,
                                              Work.m_Item.m_PromptTokens, Work.m_Item.m_PrefixHash};
  return Candidates[Pool.m_Chooser->choose(Views, Request, Now, m_Random)];
}

auto Dispatcher::candidatesFor(PoolState &Pool, const Work &Work, base::SteadyTime Now)
    -> std::vector<TargetState *> {
  auto Candidates = std::vector<TargetState *>();
  for (auto &[Name, Target] : Pool.m_Targets) {
    if (!Target.m_View.acceptsWork() || !allows(Pool, Target, Work, Now)) {
      continue;
    }
    if (!Pool.m_Slow.isEjected(Name)) {
      Candidates.push_back(&Target);
    } else if (mayProbe(Pool, Target, Now)) {
      // An ejected target that is due for a probe gets the next request.
      return {&Target};
    }
  }
  // A retry avoids the target that just failed unless no other can take it.
  if (Work.m_Attempts > 0 && Candidates.size() > 1) {
    std::erase_if(Candidates, [&Work](const TargetState *Target) {
      return Target->m_View.info().m_Name == Work.m_Target;
    });
  }
  return Candidates;
}

auto Dispatcher::mayProbe(const PoolState &Pool, const TargetState &Target,
                          base::SteadyTime Now) const -> bool {
  return Target.m_View.outstanding() == 0 && Pool.m_Slow.mayProbe(Target.m_View.info().m_Name, Now);
}

auto Dispatcher::allows(const PoolState &Pool, const TargetState &Target, const Work &Work,
                        base::SteadyTime Now) const -> bool {
  const auto &View = Target.m_View;
  auto Query = LimitQuery();
  Query.m_Slots = View.info().m_Slots;
  Query.m_Own = static_cast<double>(View.outstanding());
  Query.m_Short = isShort(Work);
  Query.m_ActiveRouters = Pool.m_ActiveRouters;
  Query.m_ShortShare = shortShare(Pool, Now);
  Query.m_Urgent = isUrgent(Work, Now);
  if (View.hasFreshReport(Now)) {
    Query.m_Report = ReportedLoad{View.reportedTotal(), View.ownWhenReported(), View.dither()};
  }
  return Target.m_Limit->allows(Query);
}

auto Dispatcher::updateActiveRouters(PoolState &Pool) const -> void {
  auto Total = 0.0;
  auto Own = 0.0;
  for (const auto &[Name, Target] : Pool.m_Targets) {
    Total += Target.m_View.reportedTotal();
    Own += Target.m_View.ownWhenReported();
  }
  if (Own <= 0.0) {
    return;
  }
  const auto Most = static_cast<double>(std::max<std::int64_t>(1, m_Options.m_ExpectedRouters));
  const auto Seen = std::clamp(Total / Own, 1.0, 2.0 * Most);
  Pool.m_ActiveRouters += ActiveRoutersRate * (Seen - Pool.m_ActiveRouters);
}

auto Dispatcher::shortShare(const PoolState &Pool, base::SteadyTime Now) const -> double {
  if (m_Options.m_ShortShare <= 0.0) {
    return 0.0;
  }
  auto Slots = 0.0;
  for (const auto &[Name, Target] : Pool.m_Targets) {
    Slots += Target.m_View.acceptsWork() ? static_cast<double>(Target.m_View.info().m_Slots) : 0.0;
  }
  const auto Demand =
      Pool.m_ShortDemand.perSecond(Now) * Pool.m_ActiveRouters / std::max(1.0, Slots);
  return std::clamp(ShortDemandMargin * Demand, m_Options.m_ShortShare, LargestShortShare);
}

auto Dispatcher::isUrgent(const Work &Work, base::SteadyTime Now) const -> bool {
  const auto Left = secondsBetween(Now, Work.m_Item.m_Deadline);
  return Left < UrgentRunMultiple * Work.m_Expected.m_RunSeconds + UrgentSeconds;
}

auto Dispatcher::isShort(const Work &Work) const -> bool {
  return Work.m_Expected.m_AnswerTokens <= static_cast<double>(m_Options.m_ShortTokens);
}

auto Dispatcher::nextPoll(base::SteadyTime Now) const -> std::optional<base::SteadyTime> {
  auto Next = std::optional<base::SteadyTime>();
  const auto Waits = std::any_of(m_Pools.begin(), m_Pools.end(), [](const auto &Entry) {
    return Entry.second.m_Queue->size() > 0;
  });
  if (Waits) {
    Next = Now + WaitingPollInterval;
  }
  for (const auto *Dues : {&m_Deadlines, &m_Backoffs}) {
    if (!Dues->empty() && (!Next || Dues->begin()->m_Time < *Next)) {
      Next = Dues->begin()->m_Time;
    }
  }
  return Next;
}

} // namespace geraniumlift::admission
