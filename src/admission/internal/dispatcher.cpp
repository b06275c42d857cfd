#include "admission/dispatcher.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <fmt/format.h>

namespace geraniumlift::admission {

namespace {

/// Maximum time between polls while requests wait, as requests become urgent, reports become old
/// and probes become due without an event.
constexpr auto WaitingPollInterval = std::chrono::milliseconds{250};

/// Minimum pause suggested to a caller; after a shorter one, the request would be refused again.
constexpr auto MinRetryAfter = std::chrono::milliseconds{50};

/// Share of the expected run time that must fit before the deadline. Half of all runs are shorter
/// than their mean, so that requiring the whole mean would refuse requests that end in time.
constexpr auto MinRunShare = 0.5;

/// In a pool shared with many routers, a request is refused early only if its expected wait exceeds
/// the time left by a factor of 1 plus this margin. With a margin of 0, 1 and 2, false refusals
/// reached 0.6%, 0.2% and 0.2% in the benchmark workload lampdesk.
constexpr auto SharedPoolMargin = 4.0;

/// Lower bound of the drain rate, in slot seconds per second, as it is used as a divisor.
constexpr auto MinDrainRate = 0.01;

/// Slots kept free for short requests: this multiple of their demand, and at most this share of the
/// pool.
constexpr auto ShortDemandMargin = 1.0;
constexpr auto MaxShortShare = 0.5;

/// A request is urgent when the time to its deadline is less than this multiple of its expected run
/// time, as run times differ widely, plus a reserve in seconds for the wait at the target. With a
/// reserve of 3 s instead of 8 s, false refusals with routers cut off exceeded 1%.
constexpr auto UrgentRunMultiple = 1.5;
constexpr auto UrgentReserveSeconds = 8.0;

/// Weight of one report in the estimated number of active routers. About 50 reports replace the old
/// value; a dozen targets that report several times a second send them within a second or two.
constexpr auto ActiveRoutersSmoothing = 0.02;

auto secondsBetween(base::SteadyTime From, base::SteadyTime To) -> double {
  return std::chrono::duration<double>(To - From).count();
}

/// Builds the refusal of a request that did not run. The pause is rounded up to milliseconds and is
/// at least MinRetryAfter.
auto makeRefusal(base::RefusalCode Code, std::string Detail, double RetryAfterSeconds = 1.0)
    -> base::Refusal {
  const auto Pause = std::chrono::milliseconds{std::llround(std::ceil(RetryAfterSeconds * 1000.0))};
  return {Code, base::Verdict::DidNotRun, std::move(Detail), std::max(MinRetryAfter, Pause)};
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
    auto &Pool = getOrCreatePool(Info.m_Pool);
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
    updateDetector(getOrCreatePool(State->m_View.info().m_Pool));
  }
}

auto Dispatcher::offer(WorkItem Item, base::SteadyTime Now) -> std::optional<base::Refusal> {
  auto &Pool = getOrCreatePool(Item.m_Pool);
  const auto Id = Item.m_Id;
  auto NewRequest = TrackedRequest();
  NewRequest.m_Expected = m_Lengths.estimate(Item);
  NewRequest.m_Item = std::move(Item);
  if (auto Refusal = refuseOnArrival(Pool, NewRequest, Now)) {
    return Refusal;
  }
  m_Retries.onFirstAttempt();
  m_Deadlines.insert({NewRequest.m_Item.m_Deadline, Id});
  auto &Stored = m_Requests.insert_or_assign(Id, std::move(NewRequest)).first->second;
  if (isShort(Stored)) {
    Pool.m_ShortDemand.add(Stored.m_Expected.m_RunSeconds, Now);
  }
  enqueue(Stored);
  return std::nullopt;
}

auto Dispatcher::cancel(WorkId Id, base::SteadyTime Now) -> void { removeRequest(Id, Now); }

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
  auto *Request = findRequest(Id);
  if (Request != nullptr && Request->m_State == RequestState::Dispatched &&
      !Request->m_FirstTokenAt) {
    Request->m_FirstTokenAt = Now;
    Request->m_LastProgress = Now;
    if (auto *Target = findTarget(Request->m_Target)) {
      Target->m_Limit->onFirstToken(secondsBetween(Request->m_DispatchedAt, Now));
    }
  }
}

auto Dispatcher::onProgress(WorkId Id, base::Tokens NewTokens, base::SteadyTime Now) -> void {
  auto *Request = findRequest(Id);
  if (Request == nullptr || Request->m_State != RequestState::Dispatched || NewTokens <= 0) {
    return;
  }
  Request->m_AnswerTokens += NewTokens;
  const auto Gap = secondsBetween(Request->m_LastProgress, Now);
  if (Request->m_FirstTokenAt && Gap > 0.0) {
    addLatencySample(*Request, Gap / static_cast<double>(NewTokens), Now);
  }
  Request->m_LastProgress = Now;
}

auto Dispatcher::onEnd(WorkId Id, const AttemptEnd &End, bool MayRetry, base::SteadyTime Now)
    -> bool {
  auto *Request = findRequest(Id);
  if (Request == nullptr || Request->m_State != RequestState::Dispatched) {
    return false;
  }
  if (End.m_TargetLeaving) {
    markLeaving(Request->m_Target, Now);
  }
  if (End.m_Success) {
    recordCompletion(*Request, Now);
  }
  if (!End.m_Success && MayRetry && retryAfterFailure(*Request, End, Now)) {
    return true;
  }
  removeRequest(Id, Now);
  return false;
}

auto Dispatcher::onLoadReport(const LoadReport &Report, base::SteadyTime Now) -> void {
  if (auto *State = findTarget(Report.m_Target)) {
    State->m_View.onReport(Report, Now);
    State->m_View.setDither(boost::random::uniform_01<double>()(m_Random));
    updateActiveRouters(getOrCreatePool(State->m_View.info().m_Pool));
  }
}

auto Dispatcher::onCacheEvent(const CacheEvent &Event, base::SteadyTime /*Now*/) -> void {
  if (auto *State = findTarget(Event.m_Target)) {
    State->m_View.onPrefixEvent(Event.m_PrefixHash, Event.m_Cached);
  }
}

auto Dispatcher::getOrCreatePool(const std::string &Name) -> PoolState & {
  const auto Known = m_Pools.find(Name);
  if (Known != m_Pools.end()) {
    return Known->second;
  }
  auto Pool = PoolState();
  Pool.m_ActiveRouters =
      static_cast<double>(std::max<std::int64_t>(1, m_Options.m_ExpectedRouters));
  Pool.m_Queue = makeWorkQueue(m_Options.m_QueueStrategy);
  Pool.m_Chooser = routing::makeTargetChooser(
      m_Options.m_TargetStrategy, {m_Options.m_DataCentre, m_Options.m_ExpectedRouters});
  return m_Pools.emplace(Name, std::move(Pool)).first->second;
}

auto Dispatcher::findTarget(const std::string &Name) -> TargetState * {
  const auto PoolName = m_PoolOfTarget.find(Name);
  if (PoolName == m_PoolOfTarget.end()) {
    return nullptr;
  }
  auto &Targets = getOrCreatePool(PoolName->second).m_Targets;
  const auto Found = Targets.find(Name);
  return Found == Targets.end() ? nullptr : &Found->second;
}

auto Dispatcher::findRequest(WorkId Id) -> TrackedRequest * {
  const auto Found = m_Requests.find(Id);
  return Found == m_Requests.end() ? nullptr : &Found->second;
}

auto Dispatcher::updateDetector(PoolState &Pool) -> void {
  auto Names = std::vector<std::string>();
  for (const auto &[Name, Target] : Pool.m_Targets) {
    if (Target.m_View.acceptsWork()) {
      Names.push_back(Name);
    }
  }
  Pool.m_SlowTargets.setTargets(Names);
}

auto Dispatcher::addLatencySample(const TrackedRequest &Request, double Seconds,
                                  base::SteadyTime Now) -> void {
  if (!m_Options.m_EjectSlowTargets) {
    return;
  }
  auto &Pool = poolOf(Request);
  Pool.m_SlowTargets.onSample(Request.m_Target, Seconds, Now);
  for (auto &[Name, Target] : Pool.m_Targets) {
    Target.m_View.setSlowness(Pool.m_SlowTargets.slowness(Name));
  }
}

auto Dispatcher::hasUsableTarget(const PoolState &Pool) -> bool {
  return std::any_of(Pool.m_Targets.begin(), Pool.m_Targets.end(),
                     [](const auto &Entry) { return Entry.second.m_View.acceptsWork(); });
}

auto Dispatcher::makeQueueEntry(const TrackedRequest &Request) const -> QueueEntry {
  const auto &Item = Request.m_Item;
  auto Entry = QueueEntry();
  Entry.m_Id = Item.m_Id;
  Entry.m_Workspace = Item.m_Workspace;
  Entry.m_WorkspaceWeight = Item.m_WorkspaceWeight;
  Entry.m_PriorityClass = Item.m_PriorityClass;
  Entry.m_PriorityLevel = Item.m_PriorityLevel;
  Entry.m_ClassGuaranteedShare = Item.m_ClassGuaranteedShare;
  Entry.m_CostTokens = static_cast<double>(Item.m_PromptTokens) + Request.m_Expected.m_AnswerTokens;
  Entry.m_RunSeconds = Request.m_Expected.m_RunSeconds;
  Entry.m_Short = isShort(Request);
  Entry.m_Deadline = Item.m_Deadline;
  return Entry;
}

auto Dispatcher::refuseOnArrival(PoolState &Pool, const TrackedRequest &Request,
                                 base::SteadyTime Now) -> std::optional<base::Refusal> {
  if (!hasUsableTarget(Pool)) {
    return makeRefusal(base::RefusalCode::NoTarget, "no target of the pool accepts work");
  }
  const auto Waiting = static_cast<std::int64_t>(Pool.m_Queue->size());
  if (Waiting >= m_Options.m_QueueLimit) {
    return makeRefusal(base::RefusalCode::QueueFull,
                       fmt::format("{} requests already wait for the pool", Waiting),
                       Request.m_Expected.m_RunSeconds / drainRate(Pool));
  }
  const auto TimeLeft = secondsBetween(Now, Request.m_Item.m_Deadline);
  if (TimeLeft <= 0.0) {
    return makeRefusal(base::RefusalCode::DeadlineUnreachable, "the deadline has passed");
  }
  if (!m_Options.m_RefuseEarly) {
    return std::nullopt;
  }
  const auto Wait = expectedWaitSeconds(Pool, Request, Now);
  // The more routers share the pool, the less certain is the capacity that this one will get.
  const auto Margin = 1.0 + SharedPoolMargin * (1.0 - 1.0 / std::max(1.0, Pool.m_ActiveRouters));
  const auto Excess = Wait - Margin * (TimeLeft - MinRunShare * Request.m_Expected.m_RunSeconds);
  if (Wait <= 0.0 || Excess <= 0.0 || reportsFreeSlots(Pool, Now)) {
    return std::nullopt;
  }
  return makeRefusal(base::RefusalCode::DeadlineUnreachable,
                     fmt::format("the expected wait of {:.1f} s exceeds the deadline", Wait),
                     Excess);
}

auto Dispatcher::expectedWaitSeconds(PoolState &Pool, const TrackedRequest &Request,
                                     base::SteadyTime Now) -> double {
  const auto Ahead = Pool.m_Queue->slotSecondsAhead(makeQueueEntry(Request));
  if (Ahead <= 0.0 && !candidatesFor(Pool, Request, Now).empty()) {
    return 0.0;
  }
  // In addition to the waiting requests, one run has to end before a slot becomes free.
  return (Ahead + Request.m_Expected.m_RunSeconds) / drainRate(Pool);
}

auto Dispatcher::reportsFreeSlots(const PoolState &Pool, base::SteadyTime Now) -> bool {
  auto Free = 0.0;
  for (const auto &[Name, Target] : Pool.m_Targets) {
    const auto &View = Target.m_View;
    if (View.acceptsWork() && View.hasFreshReport(Now)) {
      Free += static_cast<double>(View.info().m_Slots) - View.reportedOutstanding();
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
  return std::max(MinDrainRate, Slots / Pool.m_ActiveRouters);
}

auto Dispatcher::enqueue(TrackedRequest &Request) -> void {
  Request.m_State = RequestState::Waiting;
  getOrCreatePool(Request.m_Item.m_Pool).m_Queue->push(makeQueueEntry(Request));
}

auto Dispatcher::removeRequest(WorkId Id, base::SteadyTime Now) -> void {
  auto *Request = findRequest(Id);
  if (Request == nullptr) {
    return;
  }
  if (Request->m_State == RequestState::Dispatched) {
    releaseTarget(*Request, Now);
  }
  if (Request->m_State == RequestState::Waiting) {
    getOrCreatePool(Request->m_Item.m_Pool).m_Queue->remove(Id);
  }
  m_Deadlines.erase({Request->m_Item.m_Deadline, Id});
  m_Backoffs.erase({Request->m_NotBefore, Id});
  m_Requests.erase(Id);
}

auto Dispatcher::releaseTarget(const TrackedRequest &Request, base::SteadyTime Now) -> void {
  // Uses the pool of the request, as the target's name may have moved to another pool since.
  auto &Targets = getOrCreatePool(Request.m_Item.m_Pool).m_Targets;
  const auto Target = Targets.find(Request.m_Target);
  if (Target == Targets.end()) {
    return;
  }
  auto &View = Target->second.m_View;
  View.onEnd(Request.m_Expected.m_RunSeconds, Now);
  if (View.isRemoved() && View.outstanding() == 0) {
    Targets.erase(Target);
  }
}

auto Dispatcher::recordCompletion(const TrackedRequest &Request, base::SteadyTime Now) -> void {
  const auto StartedAt = Request.m_FirstTokenAt.value_or(Request.m_DispatchedAt);
  if (!Request.m_FirstTokenAt) {
    // A plain service generates no tokens; its speed is measured as the time per call.
    addLatencySample(Request, secondsBetween(StartedAt, Now), Now);
  }
  m_Lengths.addSample(Request.m_Item, {static_cast<double>(Request.m_AnswerTokens),
                                       secondsBetween(StartedAt, Now)});
}

auto Dispatcher::retryAfterFailure(TrackedRequest &Request, const AttemptEnd &End,
                                   base::SteadyTime Now) -> bool {
  const auto Next = m_Retries.nextAttempt(
      {Request.m_Attempts, Request.m_Item.m_Idempotent, End.m_Verdict, Request.m_Item.m_Deadline},
      Now, m_Random);
  if (!Next) {
    return false;
  }
  releaseTarget(Request, Now);
  Request.m_State = RequestState::BackingOff;
  Request.m_NotBefore = *Next;
  Request.m_FirstTokenAt = std::nullopt;
  Request.m_AnswerTokens = 0;
  m_Backoffs.insert({*Next, Request.m_Item.m_Id});
  m_Deadlines.insert({Request.m_Item.m_Deadline, Request.m_Item.m_Id});
  return true;
}

auto Dispatcher::endBackoffs(base::SteadyTime Now) -> void {
  while (!m_Backoffs.empty() && m_Backoffs.begin()->m_Time <= Now) {
    const auto Id = m_Backoffs.begin()->m_Id;
    m_Backoffs.erase(m_Backoffs.begin());
    enqueue(*findRequest(Id));
  }
}

auto Dispatcher::rejectExpired(base::SteadyTime Now, PollResult &Result) -> void {
  while (!m_Deadlines.empty() && m_Deadlines.begin()->m_Time <= Now) {
    const auto Id = m_Deadlines.begin()->m_Id;
    const auto &Pool = getOrCreatePool(findRequest(Id)->m_Item.m_Pool);
    const auto Wait =
        Pool.m_Queue->slotSecondsAhead(makeQueueEntry(*findRequest(Id))) / drainRate(Pool);
    auto Refusal =
        hasUsableTarget(Pool)
            ? makeRefusal(base::RefusalCode::DeadlineUnreachable,
                          "the deadline passed while the request waited for a target", Wait)
            : makeRefusal(base::RefusalCode::NoTarget, "no target of the pool accepts work");
    Result.m_Rejections.push_back({Id, std::move(Refusal)});
    removeRequest(Id, Now);
  }
}

auto Dispatcher::dispatchPool(PoolState &Pool, base::SteadyTime Now, PollResult &Result) -> void {
  while (dispatchNext(Pool, EntryFilter::Any, Now, Result) ||
         dispatchNext(Pool, EntryFilter::ShortOnly, Now, Result)) {
  }
}

auto Dispatcher::dispatchNext(PoolState &Pool, EntryFilter Filter, base::SteadyTime Now,
                              PollResult &Result) -> bool {
  const auto Id = Pool.m_Queue->peek(Filter);
  if (!Id) {
    return false;
  }
  auto &Request = *findRequest(*Id);
  auto *Target = chooseTarget(Pool, Request, Now);
  if (Target == nullptr) {
    return false;
  }
  Pool.m_Queue->removeAndCharge(*Id);
  m_Deadlines.erase({Request.m_Item.m_Deadline, *Id});
  if (Pool.m_SlowTargets.isEjected(Target->m_View.info().m_Name)) {
    Pool.m_SlowTargets.onProbe(Target->m_View.info().m_Name, Now);
  }
  Target->m_View.onDispatch(Request.m_Expected.m_RunSeconds, Now);
  Request.m_State = RequestState::Dispatched;
  Request.m_Target = Target->m_View.info().m_Name;
  Request.m_DispatchedAt = Now;
  ++Request.m_Attempts;
  Result.m_Dispatches.push_back({*Id, Request.m_Target, targetPriority(Request)});
  return true;
}

auto Dispatcher::targetPriority(const TrackedRequest &Request) const -> std::int64_t {
  const auto Level = Request.m_Item.m_PriorityLevel;
  if (!m_Options.m_ShortFirstAtTarget) {
    return Level;
  }
  return isShort(Request) ? 0 : Level + 1;
}

auto Dispatcher::chooseTarget(PoolState &Pool, const TrackedRequest &Request, base::SteadyTime Now)
    -> TargetState * {
  const auto Candidates = candidatesFor(Pool, Request, Now);
  if (Candidates.empty()) {
    return nullptr;
  }
  auto Views = std::vector<const routing::TargetView *>();
  for (const auto *Target : Candidates) {
    Views.push_back(&Target->m_View);
  }
  const auto Traits = routing::RequestTraits{
      Request.m_Expected.m_RunSeconds, Request.m_Item.m_PromptTokens, Request.m_Item.m_PrefixHash};
  return Candidates[Pool.m_Chooser->choose(Views, Traits, Now, m_Random)];
}

auto Dispatcher::candidatesFor(PoolState &Pool, const TrackedRequest &Request, base::SteadyTime Now)
    -> std::vector<TargetState *> {
  auto Candidates = std::vector<TargetState *>();
  for (auto &[Name, Target] : Pool.m_Targets) {
    if (!Target.m_View.acceptsWork() || !allows(Pool, Target, Request, Now)) {
      continue;
    }
    if (!Pool.m_SlowTargets.isEjected(Name)) {
      Candidates.push_back(&Target);
    } else if (mayProbe(Pool, Target, Now)) {
      // An ejected target that is due for a probe gets the next request.
      return {&Target};
    }
  }
  // A retry avoids the target that just failed unless no other can take it.
  if (Request.m_Attempts > 0 && Candidates.size() > 1) {
    std::erase_if(Candidates, [&Request](const TargetState *Target) {
      return Target->m_View.info().m_Name == Request.m_Target;
    });
  }
  return Candidates;
}

auto Dispatcher::mayProbe(const PoolState &Pool, const TargetState &Target,
                          base::SteadyTime Now) const -> bool {
  return Target.m_View.outstanding() == 0 &&
         Pool.m_SlowTargets.isProbeDue(Target.m_View.info().m_Name, Now);
}

auto Dispatcher::allows(const PoolState &Pool, const TargetState &Target,
                        const TrackedRequest &Request, base::SteadyTime Now) const -> bool {
  const auto &View = Target.m_View;
  auto Query = LimitQuery();
  Query.m_Slots = View.info().m_Slots;
  Query.m_Own = static_cast<double>(View.outstanding());
  Query.m_Short = isShort(Request);
  Query.m_ActiveRouters = Pool.m_ActiveRouters;
  Query.m_ReservedShortShare = reservedShortShare(Pool, Now);
  Query.m_Urgent = isUrgent(Request, Now);
  if (View.hasFreshReport(Now)) {
    Query.m_Report =
        ReportedLoad{View.reportedOutstanding(), View.ownOutstandingAtReport(), View.dither()};
  }
  return Target.m_Limit->allows(Query);
}

auto Dispatcher::updateActiveRouters(PoolState &Pool) const -> void {
  auto Total = 0.0;
  auto Own = 0.0;
  for (const auto &[Name, Target] : Pool.m_Targets) {
    Total += Target.m_View.reportedOutstanding();
    Own += Target.m_View.ownOutstandingAtReport();
  }
  if (Own <= 0.0) {
    return;
  }
  const auto ExpectedRouters =
      static_cast<double>(std::max<std::int64_t>(1, m_Options.m_ExpectedRouters));
  const auto Seen = std::clamp(Total / Own, 1.0, 2.0 * ExpectedRouters);
  Pool.m_ActiveRouters += ActiveRoutersSmoothing * (Seen - Pool.m_ActiveRouters);
}

auto Dispatcher::reservedShortShare(const PoolState &Pool, base::SteadyTime Now) const -> double {
  if (m_Options.m_MinShortShare <= 0.0) {
    return 0.0;
  }
  auto Slots = 0.0;
  for (const auto &[Name, Target] : Pool.m_Targets) {
    Slots += Target.m_View.acceptsWork() ? static_cast<double>(Target.m_View.info().m_Slots) : 0.0;
  }
  const auto Demand =
      Pool.m_ShortDemand.perSecond(Now) * Pool.m_ActiveRouters / std::max(1.0, Slots);
  return std::clamp(ShortDemandMargin * Demand, m_Options.m_MinShortShare, MaxShortShare);
}

auto Dispatcher::isUrgent(const TrackedRequest &Request, base::SteadyTime Now) const -> bool {
  const auto TimeLeft = secondsBetween(Now, Request.m_Item.m_Deadline);
  return TimeLeft < UrgentRunMultiple * Request.m_Expected.m_RunSeconds + UrgentReserveSeconds;
}

auto Dispatcher::isShort(const TrackedRequest &Request) const -> bool {
  return Request.m_Expected.m_AnswerTokens <= static_cast<double>(m_Options.m_ShortTokens);
}

auto Dispatcher::nextPoll(base::SteadyTime Now) const -> std::optional<base::SteadyTime> {
  auto Next = std::optional<base::SteadyTime>();
  const auto HasWaiting = std::any_of(m_Pools.begin(), m_Pools.end(), [](const auto &Entry) {
    return Entry.second.m_Queue->size() > 0;
  });
  if (HasWaiting) {
    Next = Now + WaitingPollInterval;
  }
  for (const auto *TimerEntries : {&m_Deadlines, &m_Backoffs}) {
    if (!TimerEntries->empty() && (!Next || TimerEntries->begin()->m_Time < *Next)) {
      Next = TimerEntries->begin()->m_Time;
    }
  }
  return Next;
}

} // namespace geraniumlift::admission
