#pragma once

#include "base/random.h"
#include "budget/granttypes.h"
#include "budget/ibudgetreserver.h"
#include "budget/transfertypes.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>

namespace geraniumlift::budget {

/// Keeps this router's grants of all budgets and decides what to read and write. It does no input
/// or output; at most one call is in flight. It spends only what a write that is known to have
/// landed has granted, and nothing that it has offered to return.
class GrantBook {
public:
  using Answer = std::function<void(ReservationOutcome)>;

  explicit GrantBook(GrantOptions Options) : m_Options(Options), m_Random(Options.m_Seed) {}

  /// Sets what is prepaid for each budget. Where that is less than before, unused grants are
  /// returned.
  auto setPrepaid(const std::map<std::string, Tokens> &Prepaid, base::SteadyTime Now) -> void;

  /// Number of routers that draw on the same records, at least 1, and of all routers. Larger fleets
  /// write less often each, so that few writes meet another one.
  auto setRouters(std::int64_t Sharing, std::int64_t Fleet) -> void {
    m_Routers = std::max<std::int64_t>(1, Sharing);
    m_Fleet = std::max<std::int64_t>(1, Fleet);
  }

  /// Whether budgets are kept by single routers that draw for all.
  auto setHasKeepers(bool HasKeepers) -> void { m_HasKeepers = HasKeepers; }

  /// Budgets of which nothing is held in reserve; tokens are drawn only for requests that wait.
  auto setWithoutReserve(std::set<std::string> Budgets) -> void {
    m_WithoutReserve = std::move(Budgets);
  }

  /// What is left of a budget, as far as its record tells what was used.
  [[nodiscard]] auto unsettledTokens(const std::string &Budget) const -> Tokens;

  /// Whether the store answers; without it a request that needs a write is refused at once.
  auto setStoreReachable(bool IsReachable) -> void { m_IsReachable = IsReachable; }

  /// Reserves tokens at once, or when a write has granted them, or refuses at the deadline.
  auto reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
               base::SteadyTime Now, Answer Done) -> void;

  /// Reserves tokens if they are held.
  auto reserveNow(const std::string &Budget, Tokens WorstCase, base::SteadyTime Now) -> bool;

  /// Counts tokens as used if they are held. This is no demand of this router's own callers.
  auto withdraw(const std::string &Budget, Tokens Amount) -> bool;

  /// What can be passed on to other routers, of each budget that is kept in reserve and in demand,
  /// with what can be drawn for them.
  [[nodiscard]] auto offers() const -> std::vector<BudgetOffer>;

  /// Adds tokens that another router has counted as used.
  auto receive(const std::string &Budget, Tokens Amount) -> void;

  /// Ends a reservation with what was used of it.
  auto settle(const std::string &Budget, Tokens WorstCase, Tokens Used, base::SteadyTime Now)
      -> void;

  /// Returns all that is not reserved, now and whenever a reservation ends.
  auto drain(base::SteadyTime Now) -> void;

  /// Whether nothing is left to return.
  [[nodiscard]] auto isDrained() const -> bool;

  /// The next call if one is due. A Write is composed by composeWrite.
  [[nodiscard]] auto nextCall(base::SteadyTime Now) const -> GrantCall;

  /// When nextCall may change without an event; nothing if only events change it.
  [[nodiscard]] auto nextWake(base::SteadyTime Now) const -> std::optional<base::SteadyTime>;

  /// Whether the records have been read since the start.
  [[nodiscard]] auto hasRead() const -> bool { return m_HasIncarnation; }

  /// The read that is due has been sent.
  auto onCallIssued() -> void { m_IsCalling = true; }

  /// Composes the write that is due. Its outcome is to be reported.
  [[nodiscard]] auto composeWrite(base::SteadyTime Now) -> GrantWrite;

  /// The write landed at this revision.
  auto onLanded(std::int64_t Revision, base::SteadyTime Now) -> void;

  /// The write found other revisions; the records as they stand.
  auto onConflict(const Versioned<HolderRecord> &Holder,
                  const std::map<std::string, Versioned<GrantPool>> &Pools, base::SteadyTime Now)
      -> void;

  /// The write certainly had no effect.
  auto onNotDone(base::SteadyTime Now) -> void;

  /// The write may have landed or may yet land.
  auto onUnknown(base::SteadyTime Now) -> void;

  /// The records as read from the store.
  auto onRead(const Versioned<HolderRecord> &Holder,
              const std::map<std::string, Versioned<GrantPool>> &Pools, base::SteadyTime Now)
      -> void;
  auto onReadFailed(base::SteadyTime Now) -> void;

  /// A newer state of a budget, learnt without a read.
  auto notePool(const std::string &Budget, const Versioned<GrantPool> &Pool) -> void;

  /// Refuses the waiting requests whose deadline has passed.
  auto expire(base::SteadyTime Now) -> void;

  /// Tokens that may be reserved now without a write.
  [[nodiscard]] auto spendable(const std::string &Budget) const -> Tokens;

  /// Tokens of this budget that no router holds.
  [[nodiscard]] auto freeTokens(const std::string &Budget) const -> Tokens;

private:
  struct Line {
    Tokens m_Prepaid = 0;
    Versioned<GrantPool> m_Pool;

    /// Granted by writes that are known to have landed.
    Tokens m_Granted = 0;

    /// The least that any write of unknown outcome would leave granted.
    std::optional<Tokens> m_GrantedAtLeast;

    /// Used of what was granted.
    Tokens m_Used = 0;
    Tokens m_Reserved = 0;

    /// Received from other routers and not used. They are used before the own grant, and cannot be
    /// returned to the store, where they count as used.
    Tokens m_Received = 0;

    /// Used, as the landed writes have told.
    Tokens m_Told = 0;
    Tokens m_Waiting = 0;
    double m_RatePerMs = 0.0;
    double m_MeanSize = 0.0;
    base::SteadyTime m_RateTime;
    bool m_HasDemand = false;
  };

  struct Waiter {
    std::string m_Budget;
    Tokens m_WorstCase = 0;
    base::SteadyTime m_Deadline;
    Answer m_Done;
  };

  /// A write whose outcome is not known.
  struct Attempt {
    HolderRecord m_Holder;
    std::map<std::string, GrantPool> m_Pools;
    std::map<std::string, Tokens> m_Told;
  };

  /// Tokens of the budget that no router holds.
  [[nodiscard]] static auto freeOf(const Line &Item) -> Tokens;
  [[nodiscard]] auto held(const Line &Item) const -> Tokens;
  [[nodiscard]] auto unused(const Line &Item) const -> Tokens;

  /// The part of the grant that is neither used nor needed for what is reserved.
  [[nodiscard]] static auto unspent(const Line &Item, Tokens Granted) -> Tokens;
  [[nodiscard]] auto wanted(const std::string &Name, const Line &Item, base::SteadyTime Now) const
      -> Tokens;
  [[nodiscard]] auto change(const std::string &Name, const Line &Item, base::SteadyTime Now) const
      -> Tokens;
  [[nodiscard]] auto isWriteDue(base::SteadyTime Now) const -> bool;

  /// Whether the time for changes that no request waits for has come.
  [[nodiscard]] auto isRefreshDue(base::SteadyTime Now) const -> bool;
  [[nodiscard]] auto writeInterval() const -> std::chrono::milliseconds;

  /// A random time between half of the longest and the longest.
  auto jitter(std::chrono::milliseconds Longest) -> std::chrono::milliseconds;
  auto noteDemand(Line &Item, Tokens WorstCase, base::SteadyTime Now) const -> void;
  static auto use(Line &Item, Tokens Amount) -> void;
  auto serveWaiters() -> void;
  auto answerWaiters(const std::function<std::optional<ReservationOutcome>(const Waiter &)> &Judge)
      -> void;
  auto adopt(const Attempt &Landed) -> void;
  auto adoptViews(const Versioned<HolderRecord> &Holder,
                  const std::map<std::string, Versioned<GrantPool>> &Pools) -> void;
  auto updateLowerBounds() -> void;

  /// Counts what the former process on this VM held as used.
  auto writeOff(const HolderRecord &Former) -> void;

  GrantOptions m_Options;
  base::RandomEngine m_Random;
  std::map<std::string, Line> m_Lines;
  std::deque<Waiter> m_Waiters;
  std::set<std::string> m_WithoutReserve;
  std::int64_t m_Routers = 1;
  std::int64_t m_Fleet = 1;
  bool m_HasKeepers = false;
  bool m_IsReachable = true;
  bool m_IsDraining = false;

  /// Set when another process has taken this router's record; nothing is granted from then on.
  bool m_IsClosed = false;
  bool m_MustRead = true;
  bool m_IsCalling = false;

  /// Whether the first read has shown which incarnations there were.
  bool m_HasIncarnation = false;
  std::int64_t m_HolderRevision = 0;
  std::uint64_t m_Sequence = 0;
  std::optional<Attempt> m_InFlight;
  std::vector<Attempt> m_Unresolved;
  base::SteadyTime m_LastRefresh;

  /// The time of the refresh before the write in flight; that time holds again if the write
  /// conflicts.
  base::SteadyTime m_RefreshBefore;
  base::SteadyTime m_NotBefore;
  int m_Failures = 0;
  int m_Conflicts = 0;
};

} // namespace geraniumlift::budget
