#include "budget/grantallocator.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <utility>

namespace geraniumlift::budget {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Delay after the first failed call; it doubles with each further one up to MaxRetryDelay.
constexpr auto InitialRetryDelay = 100ms;
constexpr auto MaxRetryDelay = 800ms;

/// Unit of the delay after several conflicts in a row.
constexpr auto ConflictBackoffUnit = 6ms;

auto toUnixMs(base::SystemTime Time) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch()).count();
}

auto toMs(std::chrono::steady_clock::duration Span) -> double {
  return std::chrono::duration<double, std::milli>(Span).count();
}

} // namespace

auto GrantAllocator::setPrepaid(const std::map<std::string, Tokens> &Prepaid, base::SteadyTime Now)
    -> void {
  std::erase_if(m_Budgets, [&Prepaid](const auto &Item) {
    const auto &State = Item.second;
    return !Prepaid.contains(Item.first) && State.m_Granted == 0 && State.m_Reserved == 0 &&
           State.m_WaitingTokens == 0;
  });
  for (auto &[Name, Item] : m_Budgets) {
    if (!Prepaid.contains(Name)) {
      Item.m_Prepaid = 0;
    }
  }
  for (const auto &[Name, Amount] : Prepaid) {
    const auto [Found, IsNew] = m_Budgets.try_emplace(Name);
    Found->second.m_Prepaid = Amount;
    if (IsNew) {
      Found->second.m_RateUpdated = Now;
    }
  }
}

auto GrantAllocator::spendableGrant(const BudgetState &Item) const -> Tokens {
  const auto ConfirmedGrant = Item.m_GrantedLowerBound
                                  ? std::min(Item.m_Granted, *Item.m_GrantedLowerBound)
                                  : Item.m_Granted;
  // If fewer tokens are prepaid than granted, only tokens that are already used may stay granted.
  const auto Excess = Item.m_Totals.m_Value.m_Granted - Item.m_Prepaid;
  return Excess > 0 ? ConfirmedGrant - std::min(ConfirmedGrant, Excess) : ConfirmedGrant;
}

auto GrantAllocator::unreservedTokens(const BudgetState &Item) const -> Tokens {
  return std::max<Tokens>(0,
                          spendableGrant(Item) + Item.m_Received - Item.m_Used - Item.m_Reserved);
}

auto GrantAllocator::returnableTokens(const BudgetState &Item, Tokens Granted) -> Tokens {
  const auto ReservedOfGrant = std::max<Tokens>(0, Item.m_Reserved - Item.m_Received);
  return std::max<Tokens>(0, Granted - Item.m_Used - ReservedOfGrant);
}

auto GrantAllocator::spendable(const std::string &Budget) const -> Tokens {
  const auto Found = m_Budgets.find(Budget);
  return Found == m_Budgets.end() || m_IsSuperseded ? 0 : unreservedTokens(Found->second);
}

auto GrantAllocator::freeTokens(const std::string &Budget) const -> Tokens {
  const auto Found = m_Budgets.find(Budget);
  return Found == m_Budgets.end() ? 0 : freeTokensOf(Found->second);
}

auto GrantAllocator::freeTokensOf(const BudgetState &Item) -> Tokens {
  return std::max<Tokens>(0, Item.m_Prepaid - Item.m_Totals.m_Value.m_Granted);
}

auto GrantAllocator::unsettledTokens(const std::string &Budget) const -> Tokens {
  const auto Found = m_Budgets.find(Budget);
  return Found == m_Budgets.end()
             ? 0
             : Found->second.m_Prepaid - Found->second.m_Totals.m_Value.m_Settled;
}

auto GrantAllocator::recordDemand(BudgetState &Item, Tokens WorstCase, base::SteadyTime Now) const
    -> void {
  const auto Window = static_cast<double>(m_Options.m_RateWindow.count());
  const auto Size = static_cast<double>(WorstCase);
  Item.m_TokensPerMs = demandRate(Item, Now) + Size / Window;
  Item.m_RateUpdated = Now;
  Item.m_MeanRequestTokens = Item.m_HasDemand ? 0.9 * Item.m_MeanRequestTokens + 0.1 * Size : Size;
  Item.m_HasDemand = true;
}

auto GrantAllocator::demandRate(const BudgetState &Item, base::SteadyTime Now) const -> double {
  const auto Window = static_cast<double>(m_Options.m_RateWindow.count());
  return Item.m_TokensPerMs * std::exp(-toMs(Now - Item.m_RateUpdated) / Window);
}

auto GrantAllocator::setStoreReachable(bool IsReachable, base::SteadyTime Now,
                                       base::SystemTime WallTime) -> void {
  if (m_IsStoreReachable && !IsReachable) {
    m_OutageStarted = Now;
  } else if (!m_IsStoreReachable && IsReachable && Now - m_OutageStarted >= m_Options.m_MinOutage) {
    m_OutageEnded = Now;
    m_LastOutageMs = toUnixMs(WallTime);
  }
  m_IsStoreReachable = IsReachable;
}

auto GrantAllocator::adoptOutage(std::int64_t EndedMs, base::SteadyTime Now,
                                 base::SystemTime WallTime) -> void {
  const auto Age = milliseconds(toUnixMs(WallTime) - EndedMs);
  if (!m_OutageEnded && Age >= 0ms && Age < m_Options.m_OutageMemory) {
    m_OutageEnded = Now - Age;
    m_LastOutageMs = EndedMs;
  }
}

auto GrantAllocator::reserveShare(const BudgetState &Item, base::SteadyTime Now) const -> double {
  if (m_OutageEnded && Now - *m_OutageEnded < m_Options.m_OutageMemory) {
    return m_Options.m_ReserveShareAfterOutage;
  }
  const auto FreeFraction =
      static_cast<double>(freeTokensOf(Item)) / std::max(1.0, static_cast<double>(Item.m_Prepaid));
  const auto Freshness = std::clamp(
      (FreeFraction - m_Options.m_LowFreeFraction) / (1.0 - m_Options.m_LowFreeFraction), 0.0, 1.0);
  return m_Options.m_LowReserveShare +
         Freshness * (m_Options.m_FreshReserveShare - m_Options.m_LowReserveShare);
}

auto GrantAllocator::reserveLimitOf(const BudgetState &Item, base::SteadyTime Now) const -> Tokens {
  // A fraction of the free tokens and of those that this router holds, so that reserves shrink with
  // the free tokens: the rest stays free for routers that need it now, and is not lost if all
  // processes are killed.
  const auto Free = freeTokensOf(Item);
  const auto Fraction = reserveShare(Item, Now);
  // The owner of a shard holds as much as all routers of a small fleet hold together.
  const auto Sharers = m_IsSharded ? 1.0 + Fraction : static_cast<double>(m_SharingRouters);
  return static_cast<Tokens>(static_cast<double>(Free + unreservedTokens(Item)) * Fraction /
                             Sharers);
}

auto GrantAllocator::dividedReserve(const std::string &Budget, Tokens HeldAhead,
                                    base::SteadyTime Now) const -> Tokens {
  const auto Found = m_Budgets.find(Budget);
  if (Found == m_Budgets.end() || m_IsDraining || m_IsSuperseded) {
    return 0;
  }
  const auto IsAfterKill = m_StrandedAt && Now - *m_StrandedAt < m_Options.m_KillMemory;
  const auto Fraction = IsAfterKill ? m_Options.m_DividedShareAfterKill : m_Options.m_DividedShare;
  const auto Left = static_cast<double>(freeTokensOf(Found->second) +
                                        unreservedTokens(Found->second) + HeldAhead);
  // What one router holds serves no other, so that little is held of a budget near its end.
  const auto LeftFraction = Left / std::max(1.0, static_cast<double>(Found->second.m_Prepaid));
  const auto Freshness =
      std::clamp((LeftFraction - m_Options.m_NoDivisionBelow) /
                     (m_Options.m_FullDivisionAbove - m_Options.m_NoDivisionBelow),
                 0.0, 1.0);
  return static_cast<Tokens>(Fraction * Freshness * Left);
}

auto GrantAllocator::takeReceived(const std::string &Budget, Tokens Most) -> Tokens {
  const auto Found = m_Budgets.find(Budget);
  if (Found == m_Budgets.end()) {
    return 0;
  }
  auto &Item = Found->second;
  const auto Taken = std::clamp<Tokens>(std::min(Item.m_Received, unreservedTokens(Item)), 0,
                                        std::max<Tokens>(0, Most));
  Item.m_Received -= Taken;
  return Taken;
}

auto GrantAllocator::budgetsWithReceived() const -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  for (const auto &[Name, Item] : m_Budgets) {
    if (Item.m_Received > 0) {
      Names.push_back(Name);
    }
  }
  return Names;
}

auto GrantAllocator::desiredReserve(const std::string &Name, const BudgetState &Item,
                                    base::SteadyTime Now) const -> Tokens {
  if (m_IsDraining || m_IsSuperseded || m_BudgetsWithoutReserve.contains(Name)) {
    return 0;
  }
  const auto Divided = m_DividedReserves.find(Name);
  const auto IsDivided = Divided != m_DividedReserves.end();
  const auto Share = static_cast<Tokens>(static_cast<double>(reserveLimitOf(Item, Now)) *
                                         (IsDivided ? m_Options.m_OwnerShare : 1.0));
  const auto Horizon = m_IsSharded ? m_Options.m_ShardOwnerHorizon : m_Options.m_Horizon;
  const auto Demand = demandRate(Item, Now) * static_cast<double>(Horizon.count());
  // Arrivals vary, so one standard deviation of a Poisson process is added.
  const auto Margin = std::sqrt(Demand * Item.m_MeanRequestTokens);
  const auto Forecast = static_cast<Tokens>(Demand + Margin);
  return std::min(Share, std::max(Forecast, m_Options.m_InitialReserve)) +
         (IsDivided ? Divided->second : 0);
}

auto GrantAllocator::grantChange(const std::string &Name, const BudgetState &Item,
                                 base::SteadyTime Now) const -> Tokens {
  const auto Free = freeTokensOf(Item);
  const auto Unreserved = unreservedTokens(Item);
  const auto DesiredTokens = desiredReserve(Name, Item, Now);
  if (Item.m_Prepaid < Item.m_Totals.m_Value.m_Granted) {
    return -std::min(returnableTokens(Item, Item.m_Granted),
                     Item.m_Totals.m_Value.m_Granted - Item.m_Prepaid);
  }
  if (Item.m_WaitingTokens > 0) {
    return std::min(Free, std::max<Tokens>(0, Item.m_WaitingTokens + DesiredTokens - Unreserved));
  }
  const auto Desired = static_cast<double>(DesiredTokens);
  if (static_cast<double>(Unreserved) < Desired * m_Options.m_RefillBelow) {
    return std::min(Free, DesiredTokens - Unreserved);
  }
  if (static_cast<double>(Unreserved) > Desired * m_Options.m_ReturnAbove) {
    return -std::min(Unreserved - DesiredTokens, returnableTokens(Item, spendableGrant(Item)));
  }
  return 0;
}

auto GrantAllocator::reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
                             base::SteadyTime Now, Answer Done) -> void {
  const auto Found = m_Budgets.find(Budget);
  if (Found == m_Budgets.end() || m_IsSuperseded) {
    Done(ReservationOutcome::Unavailable);
    return;
  }
  auto &Item = Found->second;
  if (tryReserve(Budget, WorstCase, Now)) {
    Done(ReservationOutcome::Granted);
    return;
  }
  if (Item.m_Prepaid - Item.m_Totals.m_Value.m_Settled < WorstCase && !m_MustRead) {
    Done(ReservationOutcome::Exhausted);
    return;
  }
  const auto Free = freeTokensOf(Item);
  if (!m_IsStoreReachable ||
      (Free + unreservedTokens(Item) < WorstCase + Item.m_WaitingTokens && !m_MustRead)) {
    Done(ReservationOutcome::Unavailable);
    return;
  }
  recordDemand(Item, WorstCase, Now);
  Item.m_WaitingTokens += WorstCase;
  m_WaitingRequests.push_back({Budget, WorstCase, Deadline, std::move(Done)});
}

auto GrantAllocator::tryReserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Now)
    -> bool {
  const auto Found = m_Budgets.find(Budget);
  if (Found == m_Budgets.end() || spendable(Budget) < WorstCase) {
    return false;
  }
  auto &Item = Found->second;
  recordDemand(Item, WorstCase, Now);
  Item.m_Reserved += WorstCase;
  return true;
}

auto GrantAllocator::withdraw(const std::string &Budget, Tokens Amount) -> bool {
  const auto Found = m_Budgets.find(Budget);
  if (Found == m_Budgets.end() || spendable(Budget) < Amount) {
    return false;
  }
  spend(Found->second, Amount);
  return true;
}

auto GrantAllocator::spend(BudgetState &Item, Tokens Amount) -> void {
  const auto UsedOfReceived = std::min(Item.m_Received, Amount);
  Item.m_Received -= UsedOfReceived;
  Item.m_Used += Amount - UsedOfReceived;
}

auto GrantAllocator::offers() const -> std::vector<BudgetOffer> {
  auto Result = std::vector<BudgetOffer>();
  for (const auto &[Name, Item] : m_Budgets) {
    if (Item.m_HasDemand && !m_BudgetsWithoutReserve.contains(Name)) {
      Result.push_back({Name, spendable(Name) + (m_IsStoreReachable ? freeTokensOf(Item) : 0)});
    }
  }
  return Result;
}

auto GrantAllocator::receive(const std::string &Budget, Tokens Amount) -> void {
  // A budget that was removed from the configuration needs no tokens.
  if (const auto Found = m_Budgets.find(Budget); Found != m_Budgets.end()) {
    Found->second.m_Received += Amount;
    serveWaitingRequests();
  }
}

auto GrantAllocator::takeBack(const std::string &Budget, Tokens Amount) -> void {
  const auto Found = m_Budgets.find(Budget);
  if (Found == m_Budgets.end()) {
    return;
  }
  const auto Unused = std::min(Amount, Found->second.m_Used);
  Found->second.m_Used -= Unused;
  Found->second.m_Received += Amount - Unused;
  serveWaitingRequests();
}

auto GrantAllocator::settle(const std::string &Budget, Tokens WorstCase, Tokens Used,
                            base::SteadyTime) -> void {
  const auto Found = m_Budgets.find(Budget);
  if (Found == m_Budgets.end()) {
    return;
  }
  Found->second.m_Reserved -= WorstCase;
  spend(Found->second, Used);
  serveWaitingRequests();
}

auto GrantAllocator::drain(base::SteadyTime Now) -> void {
  m_IsDraining = true;
  m_NextCallTime = Now;
}

auto GrantAllocator::isDrained() const -> bool {
  return m_IsSuperseded ||
         (!m_IsCallInFlight &&
          std::all_of(m_Budgets.begin(), m_Budgets.end(), [this](const auto &Item) {
            return returnableTokens(Item.second, spendableGrant(Item.second)) == 0;
          }));
}

auto GrantAllocator::answerWaitingRequests(
    const std::function<std::optional<ReservationOutcome>(const WaitingRequest &)> &Decide)
    -> void {
  auto Ready = std::vector<std::pair<Answer, ReservationOutcome>>();
  auto Rest = std::deque<WaitingRequest>();
  for (auto &Item : m_WaitingRequests) {
    const auto Result = Decide(Item);
    if (!Result) {
      Rest.push_back(std::move(Item));
      continue;
    }
    auto &Budget = m_Budgets[Item.m_Budget];
    Budget.m_WaitingTokens -= Item.m_WorstCase;
    if (*Result == ReservationOutcome::Granted) {
      Budget.m_Reserved += Item.m_WorstCase;
    }
    Ready.emplace_back(std::move(Item.m_Done), *Result);
  }
  m_WaitingRequests = std::move(Rest);
  // A callback may make the next reservation, so the list must be complete before it runs.
  for (auto &[Done, Result] : Ready) {
    Done(Result);
  }
}

auto GrantAllocator::serveWaitingRequests() -> void {
  answerWaitingRequests([this](const WaitingRequest &Item) -> std::optional<ReservationOutcome> {
    const auto &Budget = m_Budgets[Item.m_Budget];
    if (!m_IsSuperseded && unreservedTokens(Budget) >= Item.m_WorstCase) {
      return ReservationOutcome::Granted;
    }
    const auto Free = freeTokensOf(Budget);
    if (m_IsSuperseded || !m_IsStoreReachable ||
        (!m_IsCallInFlight && !m_MustRead && Free + unreservedTokens(Budget) < Item.m_WorstCase)) {
      return ReservationOutcome::Unavailable;
    }
    return std::nullopt;
  });
}

auto GrantAllocator::expire(base::SteadyTime Now) -> void {
  answerWaitingRequests([Now](const WaitingRequest &Item) -> std::optional<ReservationOutcome> {
    return Item.m_Deadline <= Now ? std::optional(ReservationOutcome::Unavailable) : std::nullopt;
  });
}

auto GrantAllocator::writeInterval() const -> milliseconds {
  const auto Share = milliseconds(1000 * m_FleetRouters / m_Options.m_FleetWritesPerSecond);
  return std::max(m_Options.m_WriteInterval, Share);
}

auto GrantAllocator::jitter(milliseconds MaxDelay) -> milliseconds {
  return milliseconds(boost::random::uniform_int_distribution<std::int64_t>(
      MaxDelay.count() / 2, std::max<std::int64_t>(1, MaxDelay.count()))(m_Random));
}

auto GrantAllocator::isRefreshDue(base::SteadyTime Now) const -> bool {
  return m_IsDraining || Now - m_LastRefresh >= writeInterval();
}

auto GrantAllocator::isWriteDue(base::SteadyTime Now) const -> bool {
  const auto IsRefresh = isRefreshDue(Now);
  return std::any_of(m_Budgets.begin(), m_Budgets.end(), [&](const auto &Item) {
    return (IsRefresh || Item.second.m_WaitingTokens > 0) &&
           grantChange(Item.first, Item.second, Now) != 0;
  });
}

auto GrantAllocator::mayCall() const -> bool {
  // Calls to a store that is known to be unreachable are left out. A stopping router has no time to
  // wait for the next probe.
  return !m_IsCallInFlight && !m_IsSuperseded && !m_Budgets.empty() &&
         (m_IsStoreReachable || m_IsDraining);
}

auto GrantAllocator::nextCall(base::SteadyTime Now) const -> GrantCall {
  if (!mayCall() || Now < m_NextCallTime) {
    return GrantCall::None;
  }
  if (m_MustRead) {
    return GrantCall::Read;
  }
  return isWriteDue(Now) ? GrantCall::Write : GrantCall::None;
}

auto GrantAllocator::nextWakeTime(base::SteadyTime Now) const -> std::optional<base::SteadyTime> {
  auto Wake = std::optional<base::SteadyTime>();
  for (const auto &Item : m_WaitingRequests) {
    Wake = std::min(Wake.value_or(Item.m_Deadline), Item.m_Deadline);
  }
  if (mayCall()) {
    const auto Call = std::max({m_NextCallTime, m_LastRefresh + writeInterval(), Now + 1ms});
    const auto IsUrgent =
        m_MustRead || !m_WaitingRequests.empty() || (m_IsDraining && !isDrained());
    const auto Earliest = IsUrgent ? std::max(m_NextCallTime, Now + 1ms) : Call;
    Wake = std::min(Wake.value_or(Earliest), Earliest);
  }
  return Wake;
}

auto GrantAllocator::composeWrite(base::SteadyTime Now) -> GrantWrite {
  const auto IsRefresh = isRefreshDue(Now);
  auto Write = GrantWrite();
  auto Next = UnconfirmedWrite();
  Next.m_RouterGrants.m_Incarnation = m_Options.m_Incarnation;
  Next.m_RouterGrants.m_Sequence = ++m_Sequence;
  Next.m_RouterGrants.m_LastOutageMs = m_LastOutageMs;
  auto Changes = std::vector<std::pair<const std::string *, Tokens>>();
  for (const auto &[Name, Item] : m_Budgets) {
    const auto WriteOff = unreportedWriteOff(Item);
    if (Item.m_Granted != 0 || WriteOff != 0) {
      Next.m_RouterGrants.m_Granted[Name] = Item.m_Granted + WriteOff;
      Next.m_RouterGrants.m_Settled[Name] = std::max<Tokens>(0, Item.m_ReportedUsed);
    }
    // Between refreshes only budgets with waiting requests are written, so that few writes
    // conflict.
    const auto Delta = IsRefresh || Item.m_WaitingTokens > 0 ? grantChange(Name, Item, Now) : 0;
    if (Delta != 0) {
      Changes.emplace_back(&Name, Delta);
    }
  }
  // Budgets with waiting requests go first, then those with the largest change.
  std::sort(Changes.begin(), Changes.end(), [this](const auto &Left, const auto &Right) {
    const auto Key = [this](const auto &Entry) {
      return std::pair(m_Budgets.at(*Entry.first).m_WaitingTokens > 0, std::abs(Entry.second));
    };
    return Key(Left) > Key(Right);
  });
  // In a large fleet each write changes fewer budgets, so that two writes seldom change the same
  // one.
  const auto MaxBudgets =
      std::clamp<std::size_t>(m_Options.m_MaxBudgetsPerWrite * m_Options.m_RoutersForFullWrites /
                                  static_cast<std::size_t>(m_SharingRouters),
                              2, m_Options.m_MaxBudgetsPerWrite);
  Changes.resize(std::min(Changes.size(), MaxBudgets));
  for (const auto &[Name, Delta] : Changes) {
    const auto &Item = m_Budgets.at(*Name);
    auto Totals = Item.m_Totals;
    Totals.m_Value.m_Granted += Delta;
    Totals.m_Value.m_Settled += Item.m_Used - Item.m_ReportedUsed;
    Next.m_RouterGrants.m_Granted[*Name] = Item.m_Granted + Delta;
    Next.m_RouterGrants.m_Settled[*Name] = Item.m_Used;
    Next.m_ReportedUsed[*Name] = Item.m_Used;
    Next.m_TotalsByBudget[*Name] = Totals.m_Value;
    Write.m_TotalsByBudget[*Name] = Totals;
    Write.m_Reasons[*Name] = {Delta, Item.m_Prepaid, unreservedTokens(Item),
                              desiredReserve(*Name, Item, Now), Item.m_WaitingTokens};
  }
  Write.m_RouterGrants = {Next.m_RouterGrants, m_RouterGrantsRevision};
  m_InFlight = std::move(Next);
  m_IsCallInFlight = true;
  m_PreviousRefresh = m_LastRefresh;
  if (IsRefresh) {
    m_LastRefresh = Now;
  }
  updateLowerBounds();
  return Write;
}

auto GrantAllocator::writeOffFormerGrants(const RouterGrants &Former, base::SteadyTime Now)
    -> void {
  for (const auto &[Name, Granted] : Former.m_Granted) {
    const auto Found = m_Budgets.find(Name);
    if (Found == m_Budgets.end()) {
      continue;
    }
    const auto Reported = Former.m_Settled.find(Name);
    const auto Settled = Reported == Former.m_Settled.end() ? Tokens{0} : Reported->second;
    // The former process may have used all of its grant, so the next write reports it as used.
    Found->second.m_ReportedUsed = -(Granted - Settled);
    if (Granted > Settled) {
      m_StrandedAt = Now;
    }
  }
}

auto GrantAllocator::updateLowerBounds() -> void {
  for (auto &[Name, Item] : m_Budgets) {
    Item.m_GrantedLowerBound.reset();
    const auto Lower = [&Name = Name, &Item = Item](const UnconfirmedWrite &Open) {
      const auto Left = grantIn(Open, Name, Item);
      Item.m_GrantedLowerBound = std::min(Item.m_GrantedLowerBound.value_or(Left), Left);
    };
    if (m_InFlight) {
      Lower(*m_InFlight);
    }
    std::for_each(m_Unresolved.begin(), m_Unresolved.end(), Lower);
  }
}

auto GrantAllocator::grantIn(const UnconfirmedWrite &Write, const std::string &Name,
                             const BudgetState &Item) -> Tokens {
  const auto Found = Write.m_RouterGrants.m_Granted.find(Name);
  if (Found == Write.m_RouterGrants.m_Granted.end()) {
    return 0;
  }
  return Found->second - (Write.m_ReportedUsed.contains(Name) ? 0 : unreportedWriteOff(Item));
}

auto GrantAllocator::applyLandedWrite(const UnconfirmedWrite &Landed) -> void {
  for (auto &[Name, Item] : m_Budgets) {
    Item.m_Granted = grantIn(Landed, Name, Item);
    if (const auto Reported = Landed.m_ReportedUsed.find(Name);
        Reported != Landed.m_ReportedUsed.end()) {
      Item.m_ReportedUsed = Reported->second;
    }
  }
}

auto GrantAllocator::onWriteLanded(std::int64_t Revision, base::SteadyTime) -> void {
  m_IsCallInFlight = false;
  m_ConsecutiveFailures = 0;
  m_ConsecutiveConflicts = 0;
  m_RouterGrantsRevision = Revision;
  const auto Landed = *std::exchange(m_InFlight, std::nullopt);
  applyLandedWrite(Landed);
  for (const auto &[Name, Totals] : Landed.m_TotalsByBudget) {
    updateTotals(Name, {Totals, Revision});
  }
  // The router's record has a new revision, so no earlier write can land any more.
  m_Unresolved.clear();
  updateLowerBounds();
  serveWaitingRequests();
}

auto GrantAllocator::applyRecords(
    const Versioned<RouterGrants> &RouterRecord,
    const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget, base::SteadyTime Now)
    -> void {
  for (const auto &[Name, Totals] : TotalsByBudget) {
    updateTotals(Name, Totals);
  }
  if (RouterRecord.m_Revision != m_RouterGrantsRevision) {
    const auto &Record = RouterRecord.m_Value;
    if (!m_HasReadRecords) {
      // The system clock may have been set back before the restart; the incarnation must still
      // grow.
      m_Options.m_Incarnation = std::max(m_Options.m_Incarnation, Record.m_Incarnation + 1);
      writeOffFormerGrants(Record, Now);
    } else if (Record.m_Incarnation > m_Options.m_Incarnation) {
      m_IsSuperseded = true;
    }
    for (const auto &Open : m_Unresolved) {
      if (Record == Open.m_RouterGrants) {
        applyLandedWrite(Open);
        break;
      }
    }
    m_RouterGrantsRevision = RouterRecord.m_Revision;
    m_Unresolved.clear();
  }
  updateLowerBounds();
}

auto GrantAllocator::onWriteConflict(
    const Versioned<RouterGrants> &RouterRecord,
    const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget, base::SteadyTime Now)
    -> void {
  m_IsCallInFlight = false;
  m_ConsecutiveFailures = 0;
  m_InFlight.reset();
  // After the first conflict the write is repeated at once; several in a row mean that many routers
  // write, and delay it.
  const auto MaxDelay = ConflictBackoffUnit * ((1 << std::min(m_ConsecutiveConflicts++, 6)) - 1);
  m_NextCallTime = Now + jitter(MaxDelay);
  // A refresh that conflicted waits for a part of its interval, so that refreshes spread out.
  if (m_LastRefresh != m_PreviousRefresh) {
    m_LastRefresh = Now - writeInterval() + std::max(MaxDelay, jitter(writeInterval() / 4));
  }
  applyRecords(RouterRecord, TotalsByBudget, Now);
  serveWaitingRequests();
}

auto GrantAllocator::onWriteNotDone(base::SteadyTime Now) -> void {
  m_InFlight.reset();
  onCallFailed(Now);
  updateLowerBounds();
}

auto GrantAllocator::onWriteUnknown(base::SteadyTime Now) -> void {
  m_Unresolved.push_back(*std::exchange(m_InFlight, std::nullopt));
  m_MustRead = true;
  onCallFailed(Now);
  updateLowerBounds();
}

auto GrantAllocator::onRecordsRead(
    const Versioned<RouterGrants> &RouterRecord,
    const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget, base::SteadyTime Now)
    -> void {
  m_IsCallInFlight = false;
  m_MustRead = false;
  m_ConsecutiveFailures = 0;
  m_NextCallTime = Now;
  applyRecords(RouterRecord, TotalsByBudget, Now);
  m_HasReadRecords = true;
  serveWaitingRequests();
}

auto GrantAllocator::onCallFailed(base::SteadyTime Now) -> void {
  m_IsCallInFlight = false;
  const auto Doublings = std::min(m_ConsecutiveFailures++, 4);
  m_NextCallTime =
      Now + std::min<milliseconds>(InitialRetryDelay * (1 << Doublings), MaxRetryDelay);
  serveWaitingRequests();
}

auto GrantAllocator::updateTotals(const std::string &Budget, const Versioned<GrantTotals> &Totals)
    -> void {
  const auto Found = m_Budgets.find(Budget);
  if (Found != m_Budgets.end() && Totals.m_Revision > Found->second.m_Totals.m_Revision) {
    Found->second.m_Totals = Totals;
  }
}

} // namespace geraniumlift::budget
