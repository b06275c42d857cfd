#include "forwarding/targettable.h"

#include <algorithm>

namespace geraniumlift::forwarding {

namespace {

using namespace std::chrono_literals;

/// A part that was not used for this long has probably been evicted from the engine's cache.
constexpr auto CachedPartLifetime = 20s;

/// Above this number of remembered parts of one target, those that were not used for a quarter of
/// CachedPartLifetime are dropped.
constexpr auto MaxCachedParts = std::size_t{2048};

/// Weight of the newest request in the mean of a pool.
constexpr auto MeanSmoothing = 0.02;

auto isSameRecord(const TargetRecord &Left, const TargetRecord &Right) -> bool {
  return Left.m_Pool == Right.m_Pool && Left.m_Address == Right.m_Address &&
         Left.m_Port == Right.m_Port && Left.m_IsLeaving == Right.m_IsLeaving &&
         Left.m_DataCentre == Right.m_DataCentre && Left.m_Version == Right.m_Version;
}

} // namespace

auto TargetState::cachedTokens(const PromptMetadata &Prompt, base::SteadyTime Now) const -> Tokens {
  auto CachedTokens = Tokens{0};
  for (const auto &Part : Prompt.m_Parts) {
    const auto Found = m_CachedParts.find(Part.m_Id);
    if (Found == m_CachedParts.end() || Now - Found->second > CachedPartLifetime) {
      break;
    }
    CachedTokens += Part.m_Tokens;
  }
  return std::min(CachedTokens, Prompt.m_PromptTokens);
}

auto TargetTable::put(const TargetRecord &Record, base::SteadyTime Now) -> bool {
  const auto IsPoolInUse = poolSpeed(Record.m_Pool).samples() > 0.0;
  const auto Found = m_Targets.find(Record.m_Id);
  if (Found == m_Targets.end()) {
    const auto Added = m_Targets.emplace(Record.m_Id, TargetState(Record)).first;
    restoreStatements(Added->second);
    if (IsPoolInUse && m_Options.m_IsPaced) {
      Added->second.m_Pace.begin(Now);
    }
    return true;
  }
  auto &State = Found->second;
  if (Record.m_Incarnation != State.m_Record.m_Incarnation) {
    // Requests sent to the previous process are still to end; their load counts until then.
    const auto OwnLoad = State.m_OwnLoad;
    const auto HeldTokens = State.m_HeldTokens;
    const auto Before = std::move(State);
    State = TargetState(Record);
    remember(Before);
    restoreStatements(State);
    State.m_OwnLoad = OwnLoad;
    State.m_HeldTokens = HeldTokens;
    if (IsPoolInUse && m_Options.m_IsPaced) {
      State.m_Pace.begin(Now);
    }
    return true;
  }
  const auto Changed = !isSameRecord(State.m_Record, Record);
  State.m_Record = Record;
  return Changed;
}

auto TargetTable::remove(const std::string &Id) -> bool {
  const auto Found = m_Targets.find(Id);
  if (Found == m_Targets.end()) {
    return false;
  }
  const auto Pool = Found->second.m_Record.m_Pool;
  const auto State = std::move(Found->second);
  m_Targets.erase(Found);
  remember(State);
  if (targetsOf(Pool).empty()) {
    m_Pools.erase(Pool);
  }
  return true;
}

auto TargetTable::remember(const TargetState &State) -> void {
  const auto &Record = State.m_Record;
  const auto HasSaidNothing = !Record.m_IsLeaving && !State.m_Statements.m_LeavingSince &&
                              State.m_Statements.m_PausedUntil == base::SteadyTime();
  if (HasSaidNothing || !isIdentified(Record.m_Id, Record.m_Incarnation)) {
    return;
  }
  statementsOf(Record.m_Id, Record.m_Incarnation) = State.m_Statements;
  findFormer(Record.m_Id, Record.m_Incarnation)->m_IsLeaving |= Record.m_IsLeaving;
}

auto TargetTable::isIdentified(const std::string &Id, std::int64_t Incarnation) -> bool {
  return Incarnation != 0 || findProcess(Id, Incarnation) != nullptr;
}

auto TargetTable::findFormer(const std::string &Id, std::int64_t Incarnation) -> FormerTarget * {
  const auto Found =
      std::find_if(m_FormerTargets.rbegin(), m_FormerTargets.rend(), [&](const FormerTarget &Item) {
        return Item.m_Id == Id && Item.m_Incarnation == Incarnation;
      });
  return Found == m_FormerTargets.rend() ? nullptr : &*Found;
}

auto TargetTable::restoreStatements(TargetState &State) -> void {
  auto &Record = State.m_Record;
  if (const auto *Former = findFormer(Record.m_Id, Record.m_Incarnation)) {
    Record.m_IsLeaving |= Former->m_IsLeaving;
    State.m_Statements = Former->m_Statements;
  }
}

auto TargetTable::statementsOf(const std::string &Id, std::int64_t Incarnation)
    -> TargetStatements & {
  if (auto *State = findProcess(Id, Incarnation)) {
    return State->m_Statements;
  }
  if (auto *Former = findFormer(Id, Incarnation)) {
    return Former->m_Statements;
  }
  if (m_FormerTargets.size() >= MaxFormerTargets) {
    m_FormerTargets.pop_front();
  }
  return m_FormerTargets.emplace_back(FormerTarget{Id, Incarnation, false, {}}).m_Statements;
}

auto TargetTable::find(const std::string &Id) const -> const TargetState * {
  const auto Found = m_Targets.find(Id);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

auto TargetTable::targetsOf(std::string_view Pool) const -> std::vector<const TargetState *> {
  auto Result = std::vector<const TargetState *>();
  for (const auto &[Id, State] : m_Targets) {
    if (State.m_Record.m_Pool == Pool) {
      Result.push_back(&State);
    }
  }
  return Result;
}

auto TargetTable::recordSent(const std::string &Id, const PromptMetadata *Prompt,
                             Tokens UncachedTokens, base::SteadyTime Now) -> void {
  const auto Found = m_Targets.find(Id);
  if (Found == m_Targets.end()) {
    return;
  }
  auto &State = Found->second;
  ++State.m_OwnLoad.m_ActiveRequests;
  State.m_Pace.onSent();
  if (Prompt == nullptr) {
    return;
  }
  State.m_OwnLoad.m_PendingPromptTokens += UncachedTokens;
  State.m_HeldTokens += Prompt->worstCase();
  auto &Mean = m_Pools[State.m_Record.m_Pool].m_HeldTokens;
  const auto Held = static_cast<double>(Prompt->worstCase());
  Mean = Mean == 0.0 ? Held : Mean + (Held - Mean) * MeanSmoothing;
  if (State.m_CachedParts.size() > MaxCachedParts) {
    absl::erase_if(State.m_CachedParts,
                   [Now](const auto &Part) { return Now - Part.second > CachedPartLifetime / 4; });
  }
  for (const auto &Part : Prompt->m_Parts) {
    State.m_CachedParts[Part.m_Id] = Now;
  }
}

auto TargetTable::recordResponseStart(const std::string &Id, Tokens UncachedTokens) -> void {
  const auto Found = m_Targets.find(Id);
  if (Found != m_Targets.end()) {
    auto &OwnLoad = Found->second.m_OwnLoad;
    OwnLoad.m_PendingPromptTokens =
        std::max<Tokens>(0, OwnLoad.m_PendingPromptTokens - UncachedTokens);
  }
}

auto TargetTable::recordEnd(const std::string &Id, Tokens HeldTokens, bool IsAnswered) -> void {
  const auto Found = m_Targets.find(Id);
  if (Found != m_Targets.end()) {
    auto &State = Found->second;
    State.m_OwnLoad.m_ActiveRequests =
        std::max<std::int64_t>(0, State.m_OwnLoad.m_ActiveRequests - 1);
    State.m_HeldTokens = std::max<Tokens>(0, State.m_HeldTokens - HeldTokens);
    if (!IsAnswered) {
      State.m_Pace.onUnansweredEnd();
    }
  }
}

auto TargetTable::recordFirstEvent(const std::string &Id, std::int64_t Incarnation,
                                   const AttemptWork &Work, std::chrono::milliseconds Time,
                                   base::SteadyTime Now) -> void {
  if (auto *State = findProcess(Id, Incarnation)) {
    const auto Ms = static_cast<double>(Time.count());
    const auto Prior = poolFigures(State->m_Record.m_Pool, Work.m_HasPrompt, Now);
    State->m_Pace.onAnswered();
    State->m_Speed.recordFirstEvent(Work.m_Ahead, Work.m_Slots, Ms, Prior, Now);
    m_Pools[State->m_Record.m_Pool].m_Speed.recordFirstEvent(
        Work.m_Ahead, Work.m_Slots, Ms, SpeedFigures::assumed(Work.m_HasPrompt), Now);
  }
}

auto TargetTable::recordResponse(const std::string &Id, std::int64_t Incarnation,
                                 std::chrono::milliseconds Time, std::int64_t Events) -> void {
  if (auto *State = findProcess(Id, Incarnation)) {
    const auto Ms = static_cast<double>(Time.count());
    State->m_Speed.recordEnd(Ms, Events);
    m_Pools[State->m_Record.m_Pool].m_Speed.recordEnd(Ms, Events);
  }
}

auto TargetTable::recordTurnedAway(const std::string &Id, std::int64_t Incarnation,
                                   std::int64_t ActiveRequests, base::SteadyTime Now) -> void {
  if (auto *State = findProcess(Id, Incarnation)) {
    State->m_Speed.recordTurnedAway(ActiveRequests, Now);
  }
}

auto TargetTable::poolFigures(const std::string &Pool, bool HasPrompt, base::SteadyTime Now) const
    -> SpeedFigures {
  const auto Assumed = SpeedFigures::assumed(HasPrompt);
  const auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end() ? Assumed : Found->second.m_Speed.figures(Assumed, Now);
}

auto TargetTable::poolSpeed(const std::string &Pool) const -> const TargetSpeed & {
  static const auto Unknown = TargetSpeed();
  const auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end() ? Unknown : Found->second.m_Speed;
}

auto TargetTable::meanHeldTokens(const std::string &Pool) const -> double {
  const auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end() ? 0.0 : Found->second.m_HeldTokens;
}

auto TargetTable::recordResult(const std::string &Id, AttemptResult Result, base::SteadyTime Now)
    -> void {
  const auto Found = m_Targets.find(Id);
  if (Found == m_Targets.end() || Result == AttemptResult::Unknown) {
    return;
  }
  auto &State = Found->second;
  const auto Failed = Result != AttemptResult::Success;
  State.m_FailureRate +=
      m_Options.m_FailureRateSmoothing * ((Failed ? 1.0 : 0.0) - State.m_FailureRate);
  if (!Failed) {
    State.m_ConsecutiveFailures = 0;
    if (Now >= State.m_Statements.m_PausedUntil) {
      State.m_Pace.onSuccess();
    }
    return;
  }
  ++State.m_ConsecutiveFailures;
  // A single failed response does not eject a healthy target; being unresponsive does at once.
  const auto IsEjected = Result == AttemptResult::Unresponsive || State.m_Pace.isBeginning() ||
                         State.m_ConsecutiveFailures >= 2 ||
                         State.m_FailureRate > m_Options.m_MaxFailureRate;
  if (IsEjected) {
    const auto Doublings = std::min(State.m_ConsecutiveFailures - 1, 5);
    const auto EjectionTime =
        std::min(m_Options.m_BaseEjectionTime * (1 << Doublings), m_Options.m_MaxEjectionTime);
    State.m_EjectedUntil = std::max(State.m_EjectedUntil, Now + EjectionTime);
    if (m_Options.m_IsPaced) {
      State.m_Pace.begin(State.m_EjectedUntil);
    }
  }
}

auto TargetTable::pardon(const std::string &Id) -> void {
  const auto Found = m_Targets.find(Id);
  if (Found != m_Targets.end()) {
    Found->second.m_EjectedUntil = base::SteadyTime();
    Found->second.m_ConsecutiveFailures = 0;
  }
}

auto TargetTable::findProcess(const std::string &Id, std::int64_t Incarnation) -> TargetState * {
  const auto Found = m_Targets.find(Id);
  return Found == m_Targets.end() || Found->second.m_Record.m_Incarnation != Incarnation
             ? nullptr
             : &Found->second;
}

auto TargetTable::recordLeaving(const std::string &Id, std::int64_t Incarnation,
                                base::SteadyTime Now) -> void {
  if (!isIdentified(Id, Incarnation)) {
    return;
  }
  auto &Statements = statementsOf(Id, Incarnation);
  Statements.m_LeavingSince = Statements.m_LeavingSince.value_or(Now);
}

auto TargetTable::recordPause(const std::string &Id, std::int64_t Incarnation,
                              std::chrono::milliseconds Pause, base::SteadyTime Now) -> void {
  if (!isIdentified(Id, Incarnation)) {
    return;
  }
  auto &Statements = statementsOf(Id, Incarnation);
  Statements.m_PausedUntil = std::max(Statements.m_PausedUntil, Now + Pause);
  if (auto *State = findProcess(Id, Incarnation)) {
    State->m_Pace.begin(Statements.m_PausedUntil);
  }
}

auto TargetTable::countUnreadableStatement(const std::string &Id) -> std::int64_t {
  const auto Found = m_Targets.find(Id);
  return Found == m_Targets.end() ? 0 : ++Found->second.m_Statements.m_Unreadable;
}

} // namespace geraniumlift::forwarding
