#include "budget/grantbook.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <utility>

namespace geraniumlift::budget {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// First pause after a failed call; it doubles up to the longest one.
constexpr auto FirstPause = 100ms;
constexpr auto LongestPause = 800ms;

/// Unit of the pause after conflicts in a row.
constexpr auto ConflictPause = 6ms;

auto asMs(std::chrono::steady_clock::duration Span) -> double {
  return std::chrono::duration<double, std::milli>(Span).count();
}

} // namespace

auto GrantBook::setPrepaid(const std::map<std::string, Tokens> &Prepaid, base::SteadyTime Now)
    -> void {
  std::erase_if(m_Lines, [&Prepaid](const auto &Item) {
    const auto &Line = Item.second;
    return !Prepaid.contains(Item.first) && Line.m_Granted == 0 && Line.m_Reserved == 0 &&
           Line.m_Waiting == 0;
  });
  for (auto &[Name, Item] : m_Lines) {
    if (!Prepaid.contains(Name)) {
      Item.m_Prepaid = 0;
    }
  }
  for (const auto &[Name, Amount] : Prepaid) {
    const auto [Found, IsNew] = m_Lines.try_emplace(Name);
    Found->second.m_Prepaid = Amount;
    if (IsNew) {
      Found->second.m_RateTime = Now;
    }
  }
}

auto GrantBook::held(const Line &Item) const -> Tokens {
  const auto Safe =
      Item.m_GrantedAtLeast ? std::min(Item.m_Granted, *Item.m_GrantedAtLeast) : Item.m_Granted;
  // Where the budget was cut below what is granted, only what was used before may stay granted.
  const auto Excess = Item.m_Pool.m_Value.m_Granted - Item.m_Prepaid;
  return Excess > 0 ? Safe - std::min(Safe, Excess) : Safe;
}

auto GrantBook::unused(const Line &Item) const -> Tokens {
  return std::max<Tokens>(0, held(Item) + Item.m_Received - Item.m_Used - Item.m_Reserved);
}

auto GrantBook::unspent(const Line &Item, Tokens Granted) -> Tokens {
  const auto ReservedOfGrant = std::max<Tokens>(0, Item.m_Reserved - Item.m_Received);
  return std::max<Tokens>(0, Granted - Item.m_Used - ReservedOfGrant);
}

auto GrantBook::spendable(const std::string &Budget) const -> Tokens {
  const auto Found = m_Lines.find(Budget);
  return Found == m_Lines.end() || m_IsClosed ? 0 : unused(Found->second);
}

auto GrantBook::freeTokens(const std::string &Budget) const -> Tokens {
  const auto Found = m_Lines.find(Budget);
  return Found == m_Lines.end() ? 0 : freeOf(Found->second);
}

auto GrantBook::freeOf(const Line &Item) -> Tokens {
  return std::max<Tokens>(0, Item.m_Prepaid - Item.m_Pool.m_Value.m_Granted);
}

auto GrantBook::unsettledTokens(const std::string &Budget) const -> Tokens {
  const auto Found = m_Lines.find(Budget);
  return Found == m_Lines.end() ? 0
                                : Found->second.m_Prepaid - Found->second.m_Pool.m_Value.m_Settled;
}

auto GrantBook::noteDemand(Line &Item, Tokens WorstCase, base::SteadyTime Now) const -> void {
  const auto Window = static_cast<double>(m_Options.m_RateWindow.count());
  const auto Decay = std::exp(-asMs(Now - Item.m_RateTime) / Window);
  const auto Size = static_cast<double>(WorstCase);
  Item.m_RatePerMs = Item.m_RatePerMs * Decay + Size / Window;
  Item.m_RateTime = Now;
  Item.m_MeanSize = Item.m_HasDemand ? 0.9 * Item.m_MeanSize + 0.1 * Size : Size;
  Item.m_HasDemand = true;
}

auto GrantBook::wanted(const std::string &Name, const Line &Item, base::SteadyTime Now) const
    -> Tokens {
  if (m_IsDraining || m_IsClosed || m_WithoutReserve.contains(Name)) {
    return 0;
  }
  // A part of what is free, and of the own holding, so that holdings shrink with the free tokens:
  // the rest stays there for routers that need it now, and is not lost if all processes are killed.
  const auto Free = freeOf(Item);
  const auto Share = static_cast<Tokens>(static_cast<double>(Free + unused(Item)) *
                                         m_Options.m_ReserveShare / static_cast<double>(m_Routers));
  const auto Decay =
      std::exp(-asMs(Now - Item.m_RateTime) / static_cast<double>(m_Options.m_RateWindow.count()));
  const auto Horizon = m_HasKeepers ? m_Options.m_KeeperHorizon : m_Options.m_Horizon;
  const auto Demand = Item.m_RatePerMs * Decay * static_cast<double>(Horizon.count());
  // Arrivals vary; one standard deviation of a Poisson process is held on top.
  const auto Margin = std::sqrt(Demand * Item.m_MeanSize);
  const auto Forecast = static_cast<Tokens>(Demand + Margin);
  return std::min(Share, std::max(Forecast, m_Options.m_FirstHolding));
}

auto GrantBook::change(const std::string &Name, const Line &Item, base::SteadyTime Now) const
    -> Tokens {
  const auto Free = freeOf(Item);
  const auto Have = unused(Item);
  const auto Want = wanted(Name, Item, Now);
  if (Item.m_Prepaid < Item.m_Pool.m_Value.m_Granted) {
    return -std::min(unspent(Item, Item.m_Granted), Item.m_Pool.m_Value.m_Granted - Item.m_Prepaid);
  }
  if (Item.m_Waiting > 0) {
    return std::min(Free, std::max<Tokens>(0, Item.m_Waiting + Want - Have));
  }
  const auto Target = static_cast<double>(Want);
  if (static_cast<double>(Have) < Target * m_Options.m_RefillBelow) {
    return std::min(Free, Want - Have);
  }
  if (static_cast<double>(Have) > Target * m_Options.m_ReturnAbove) {
    return -std::min(Have - Want, unspent(Item, held(Item)));
  }
  return 0;
}

auto GrantBook::reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
                        base::SteadyTime Now, Answer Done) -> void {
  const auto Found = m_Lines.find(Budget);
  if (Found == m_Lines.end() || m_IsClosed) {
    Done(ReservationOutcome::Unavailable);
    return;
  }
  auto &Item = Found->second;
  if (reserveNow(Budget, WorstCase, Now)) {
    Done(ReservationOutcome::Granted);
    return;
  }
  if (Item.m_Prepaid - Item.m_Pool.m_Value.m_Settled < WorstCase && !m_MustRead) {
    Done(ReservationOutcome::Exhausted);
    return;
  }
  const auto Free = freeOf(Item);
  if (!m_IsReachable || (Free + unused(Item) < WorstCase + Item.m_Waiting && !m_MustRead)) {
    Done(ReservationOutcome::Unavailable);
    return;
  }
  noteDemand(Item, WorstCase, Now);
  Item.m_Waiting += WorstCase;
  m_Waiters.push_back({Budget, WorstCase, Deadline, std::move(Done)});
}

auto GrantBook::reserveNow(const std::string &Budget, Tokens WorstCase, base::SteadyTime Now)
    -> bool {
  const auto Found = m_Lines.find(Budget);
  if (Found == m_Lines.end() || spendable(Budget) < WorstCase) {
    return false;
  }
  auto &Item = Found->second;
  noteDemand(Item, WorstCase, Now);
  Item.m_Reserved += WorstCase;
  return true;
}

auto GrantBook::withdraw(const std::string &Budget, Tokens Amount) -> bool {
  const auto Found = m_Lines.find(Budget);
  if (Found == m_Lines.end() || spendable(Budget) < Amount) {
    return false;
  }
  use(Found->second, Amount);
  return true;
}

auto GrantBook::use(Line &Item, Tokens Amount) -> void {
  const auto UsedOfReceived = std::min(Item.m_Received, Amount);
  Item.m_Received -= UsedOfReceived;
  Item.m_Used += Amount - UsedOfReceived;
}

auto GrantBook::offers() const -> std::vector<BudgetOffer> {
  auto Result = std::vector<BudgetOffer>();
  for (const auto &[Name, Item] : m_Lines) {
    if (Item.m_HasDemand && !m_WithoutReserve.contains(Name)) {
      Result.push_back({Name, spendable(Name) + (m_IsReachable ? freeOf(Item) : 0)});
    }
  }
  return Result;
}

auto GrantBook::receive(const std::string &Budget, Tokens Amount) -> void {
  // A budget that is gone from the configuration needs no tokens.
  if (const auto Found = m_Lines.find(Budget); Found != m_Lines.end()) {
    Found->second.m_Received += Amount;
    serveWaiters();
  }
}

auto GrantBook::settle(const std::string &Budget, Tokens WorstCase, Tokens Used, base::SteadyTime)
    -> void {
  const auto Found = m_Lines.find(Budget);
  if (Found == m_Lines.end()) {
    return;
  }
  Found->second.m_Reserved -= WorstCase;
  use(Found->second, Used);
  serveWaiters();
}

auto GrantBook::drain(base::SteadyTime Now) -> void {
  m_IsDraining = true;
  m_NotBefore = Now;
}

auto GrantBook::isDrained() const -> bool {
  return m_IsClosed ||
         (!m_IsCalling && std::all_of(m_Lines.begin(), m_Lines.end(), [this](const auto &Item) {
           return unspent(Item.second, held(Item.second)) == 0;
         }));
}

auto GrantBook::answerWaiters(
    const std::function<std::optional<ReservationOutcome>(const Waiter &)> &Judge) -> void {
  auto Ready = std::vector<std::pair<Answer, ReservationOutcome>>();
  auto Rest = std::deque<Waiter>();
  for (auto &Item : m_Waiters) {
    const auto Result = Judge(Item);
    if (!Result) {
      Rest.push_back(std::move(Item));
      continue;
    }
    auto &Budget = m_Lines[Item.m_Budget];
    Budget.m_Waiting -= Item.m_WorstCase;
    if (*Result == ReservationOutcome::Granted) {
      Budget.m_Reserved += Item.m_WorstCase;
    }
    Ready.emplace_back(std::move(Item.m_Done), *Result);
  }
  m_Waiters = std::move(Rest);
  // An answer may ask for the next reservation, so the list must be whole before.
  for (auto &[Done, Result] : Ready) {
    Done(Result);
  }
}

auto GrantBook::serveWaiters() -> void {
  answerWaiters([this](const Waiter &Item) -> std::optional<ReservationOutcome> {
    const auto &Budget = m_Lines[Item.m_Budget];
    if (!m_IsClosed && unused(Budget) >= Item.m_WorstCase) {
      return ReservationOutcome::Granted;
    }
    const auto Free = freeOf(Budget);
    if (m_IsClosed || !m_IsReachable ||
        (!m_IsCalling && !m_MustRead && Free + unused(Budget) < Item.m_WorstCase)) {
      return ReservationOutcome::Unavailable;
    }
    return std::nullopt;
  });
}

auto GrantBook::expire(base::SteadyTime Now) -> void {
  answerWaiters([Now](const Waiter &Item) -> std::optional<ReservationOutcome> {
    return Item.m_Deadline <= Now ? std::optional(ReservationOutcome::Unavailable) : std::nullopt;
  });
}

auto GrantBook::writeInterval() const -> milliseconds {
  const auto Share = milliseconds(1000 * m_Fleet / m_Options.m_FleetWritesPerSecond);
  return std::max(m_Options.m_WriteInterval, Share);
}

auto GrantBook::jitter(milliseconds Longest) -> milliseconds {
  return milliseconds(boost::random::uniform_int_distribution<std::int64_t>(
      Longest.count() / 2, std::max<std::int64_t>(1, Longest.count()))(m_Random));
}

auto GrantBook::isRefreshDue(base::SteadyTime Now) const -> bool {
  return m_IsDraining || Now - m_LastRefresh >= writeInterval();
}

auto GrantBook::isWriteDue(base::SteadyTime Now) const -> bool {
  const auto IsRefresh = isRefreshDue(Now);
  return std::any_of(m_Lines.begin(), m_Lines.end(), [&](const auto &Item) {
    return (IsRefresh || Item.second.m_Waiting > 0) && change(Item.first, Item.second, Now) != 0;
  });
}

auto GrantBook::nextCall(base::SteadyTime Now) const -> GrantCall {
  if (m_IsCalling || m_IsClosed || m_Lines.empty() || Now < m_NotBefore) {
    return GrantCall::None;
  }
  if (m_MustRead) {
    return GrantCall::Read;
  }
  return isWriteDue(Now) ? GrantCall::Write : GrantCall::None;
}

auto GrantBook::nextWake(base::SteadyTime Now) const -> std::optional<base::SteadyTime> {
  auto Wake = std::optional<base::SteadyTime>();
  for (const auto &Item : m_Waiters) {
    Wake = std::min(Wake.value_or(Item.m_Deadline), Item.m_Deadline);
  }
  if (!m_IsCalling && !m_IsClosed && !m_Lines.empty()) {
    const auto Call = std::max({m_NotBefore, m_LastRefresh + writeInterval(), Now + 1ms});
    const auto IsUrgent = m_MustRead || !m_Waiters.empty() || (m_IsDraining && !isDrained());
    const auto Earliest = IsUrgent ? std::max(m_NotBefore, Now + 1ms) : Call;
    Wake = std::min(Wake.value_or(Earliest), Earliest);
  }
  return Wake;
}

auto GrantBook::composeWrite(base::SteadyTime Now) -> GrantWrite {
  const auto IsRefresh = isRefreshDue(Now);
  auto Write = GrantWrite();
  auto Next = Attempt();
  Next.m_Holder.m_Incarnation = m_Options.m_Incarnation;
  Next.m_Holder.m_Sequence = ++m_Sequence;
  auto Changes = std::vector<std::pair<const std::string *, Tokens>>();
  for (const auto &[Name, Item] : m_Lines) {
    if (Item.m_Granted != 0) {
      Next.m_Holder.m_Granted[Name] = Item.m_Granted;
      Next.m_Holder.m_Settled[Name] = std::max<Tokens>(0, Item.m_Told);
    }
    // A write that a request waits for touches few budgets, so that it meets few other writes.
    const auto Delta = IsRefresh || Item.m_Waiting > 0 ? change(Name, Item, Now) : 0;
    if (Delta != 0) {
      Changes.emplace_back(&Name, Delta);
    }
  }
  // Budgets with waiting requests go first, then those with the largest change.
  std::sort(Changes.begin(), Changes.end(), [this](const auto &Left, const auto &Right) {
    const auto Key = [this](const auto &Entry) {
      return std::pair(m_Lines.at(*Entry.first).m_Waiting > 0, std::abs(Entry.second));
    };
    return Key(Left) > Key(Right);
  });
  // In a large fleet each write touches fewer budgets, so that two writes seldom share one.
  const auto Most =
      std::clamp<std::size_t>(m_Options.m_MaxPoolsPerWrite * m_Options.m_RoutersForFullWrites /
                                  static_cast<std::size_t>(m_Routers),
                              2, m_Options.m_MaxPoolsPerWrite);
  Changes.resize(std::min(Changes.size(), Most));
  for (const auto &[Name, Delta] : Changes) {
    const auto &Item = m_Lines.at(*Name);
    auto Pool = Item.m_Pool;
    Pool.m_Value.m_Granted += Delta;
    Pool.m_Value.m_Settled += Item.m_Used - Item.m_Told;
    Next.m_Holder.m_Granted[*Name] = Item.m_Granted + Delta;
    Next.m_Holder.m_Settled[*Name] = Item.m_Used;
    Next.m_Told[*Name] = Item.m_Used;
    Next.m_Pools[*Name] = Pool.m_Value;
    Write.m_Pools[*Name] = Pool;
    Write.m_Reasons[*Name] = {Delta, Item.m_Prepaid, unused(Item), wanted(*Name, Item, Now),
                              Item.m_Waiting};
  }
  Write.m_Holder = {Next.m_Holder, m_HolderRevision};
  m_InFlight = std::move(Next);
  m_IsCalling = true;
  m_RefreshBefore = m_LastRefresh;
  if (IsRefresh) {
    m_LastRefresh = Now;
  }
  updateLowerBounds();
  return Write;
}

auto GrantBook::writeOff(const HolderRecord &Former) -> void {
  for (const auto &[Name, Granted] : Former.m_Granted) {
    const auto Found = m_Lines.find(Name);
    if (Found == m_Lines.end()) {
      continue;
    }
    const auto Told = Former.m_Settled.find(Name);
    const auto Settled = Told == Former.m_Settled.end() ? Tokens{0} : Told->second;
    // The former process may have used all of it, so the next write tells it as used.
    Found->second.m_Told = -(Granted - Settled);
  }
}

auto GrantBook::updateLowerBounds() -> void {
  for (auto &[Name, Item] : m_Lines) {
    Item.m_GrantedAtLeast.reset();
    const auto Lower = [&Name = Name, &Item = Item](const Attempt &Open) {
      const auto Found = Open.m_Holder.m_Granted.find(Name);
      const auto Left = Found == Open.m_Holder.m_Granted.end() ? Tokens{0} : Found->second;
      Item.m_GrantedAtLeast = std::min(Item.m_GrantedAtLeast.value_or(Left), Left);
    };
    if (m_InFlight) {
      Lower(*m_InFlight);
    }
    std::for_each(m_Unresolved.begin(), m_Unresolved.end(), Lower);
  }
}

auto GrantBook::adopt(const Attempt &Landed) -> void {
  for (auto &[Name, Item] : m_Lines) {
    const auto Found = Landed.m_Holder.m_Granted.find(Name);
    Item.m_Granted = Found == Landed.m_Holder.m_Granted.end() ? 0 : Found->second;
    if (const auto Told = Landed.m_Told.find(Name); Told != Landed.m_Told.end()) {
      Item.m_Told = Told->second;
    }
  }
}

auto GrantBook::onLanded(std::int64_t Revision, base::SteadyTime) -> void {
  m_IsCalling = false;
  m_Failures = 0;
  m_Conflicts = 0;
  m_HolderRevision = Revision;
  const auto Landed = *std::exchange(m_InFlight, std::nullopt);
  adopt(Landed);
  for (const auto &[Name, Pool] : Landed.m_Pools) {
    notePool(Name, {Pool, Revision});
  }
  // The record has a new revision, so no earlier write can land any more.
  m_Unresolved.clear();
  updateLowerBounds();
  serveWaiters();
}

auto GrantBook::adoptViews(const Versioned<HolderRecord> &Holder,
                           const std::map<std::string, Versioned<GrantPool>> &Pools) -> void {
  for (const auto &[Name, Pool] : Pools) {
    notePool(Name, Pool);
  }
  if (Holder.m_Revision != m_HolderRevision) {
    const auto &Record = Holder.m_Value;
    if (!m_HasIncarnation) {
      // The time of day may have gone back across the restart; the incarnation must not.
      m_Options.m_Incarnation = std::max(m_Options.m_Incarnation, Record.m_Incarnation + 1);
      writeOff(Record);
    } else if (Record.m_Incarnation > m_Options.m_Incarnation) {
      m_IsClosed = true;
    }
    for (const auto &Open : m_Unresolved) {
      if (Record == Open.m_Holder) {
        adopt(Open);
        break;
      }
    }
    m_HolderRevision = Holder.m_Revision;
    m_Unresolved.clear();
  }
  updateLowerBounds();
}

auto GrantBook::onConflict(const Versioned<HolderRecord> &Holder,
                           const std::map<std::string, Versioned<GrantPool>> &Pools,
                           base::SteadyTime Now) -> void {
  m_IsCalling = false;
  m_Failures = 0;
  m_InFlight.reset();
  // The first conflict is answered at once; a series of them means that many routers write.
  const auto Longest = ConflictPause * ((1 << std::min(m_Conflicts++, 6)) - 1);
  m_NotBefore = Now + jitter(Longest);
  // A refresh that met another write waits for a part of its interval, so that refreshes spread
  // out.
  if (m_LastRefresh != m_RefreshBefore) {
    m_LastRefresh = Now - writeInterval() + std::max(Longest, jitter(writeInterval() / 4));
  }
  adoptViews(Holder, Pools);
  serveWaiters();
}

auto GrantBook::onNotDone(base::SteadyTime Now) -> void {
  m_InFlight.reset();
  onReadFailed(Now);
  updateLowerBounds();
}

auto GrantBook::onUnknown(base::SteadyTime Now) -> void {
  m_Unresolved.push_back(*std::exchange(m_InFlight, std::nullopt));
  m_MustRead = true;
  onReadFailed(Now);
  updateLowerBounds();
}

auto GrantBook::onRead(const Versioned<HolderRecord> &Holder,
                       const std::map<std::string, Versioned<GrantPool>> &Pools,
                       base::SteadyTime Now) -> void {
  m_IsCalling = false;
  m_MustRead = false;
  m_Failures = 0;
  m_NotBefore = Now;
  adoptViews(Holder, Pools);
  m_HasIncarnation = true;
  serveWaiters();
}

auto GrantBook::onReadFailed(base::SteadyTime Now) -> void {
  m_IsCalling = false;
  const auto Doublings = std::min(m_Failures++, 4);
  m_NotBefore = Now + std::min<milliseconds>(FirstPause * (1 << Doublings), LongestPause);
  serveWaiters();
}

auto GrantBook::notePool(const std::string &Budget, const Versioned<GrantPool> &Pool) -> void {
  const auto Found = m_Lines.find(Budget);
  if (Found != m_Lines.end() && Pool.m_Revision > Found->second.m_Pool.m_Revision) {
    Found->second.m_Pool = Pool;
  }
}

} // namespace geraniumlift::budget
