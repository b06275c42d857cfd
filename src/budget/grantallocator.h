#pragma once

#include "base/random.h"
#include "budget/granttypes.h"
#include "budget/ibudgetgate.h"
#include "budget/transfertypes.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>

namespace geraniumlift::budget {

/// Keeps this router's grants of all budgets and decides what to read and write. It does no input
/// or output; at most one call is in flight. It spends only what a write that is known to have
/// landed has granted, and nothing that it has offered to return.
class GrantAllocator {
public:
  using Answer = std::function<void(GrantAnswer)>;

  explicit GrantAllocator(GrantOptions Options) : m_Options(Options), m_Random(Options.m_Seed) {}

  /// Sets what is prepaid for each budget. Where that is less than before, unused grants are
  /// returned.
  auto setPrepaid(const std::map<std::string, Tokens> &Prepaid, base::SteadyTime Now) -> void;

  /// Number of routers that draw on the same records, at least 1, and of all routers. Larger fleets
  /// write less often each, so that few writes meet another one.
  auto setRouterCounts(std::int64_t Sharing, std::int64_t Fleet) -> void {
    m_SharingRouters = std::max<std::int64_t>(1, Sharing);
    m_FleetRouters = std::max<std::int64_t>(1, Fleet);
  }

  /// Whether budgets are kept by single routers that draw for all.
  auto setIsSharded(bool IsSharded) -> void { m_IsSharded = IsSharded; }

  /// Budgets of which nothing is held in reserve; tokens are drawn only for requests that wait.
  auto setBudgetsWithoutReserve(std::set<std::string> Budgets) -> void {
    m_BudgetsWithoutReserve = std::move(Budgets);
  }

  /// What is left of a budget, as far as its record tells what was used.
  [[nodiscard]] auto unsettledTokens(const std::string &Budget) const -> Tokens;

  /// Whether the store answers; without it a request that needs a write is refused at once.
  auto setStoreReachable(bool IsReachable) -> void { m_IsStoreReachable = IsReachable; }

  /// Reserves tokens at once, or when a write has granted them, or refuses at the deadline.
  auto reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
               base::SteadyTime Now, Answer Done) -> void;

  /// Reserves tokens if they are held.
  auto tryReserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Now) -> bool;

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
  [[nodiscard]] auto nextWakeTime(base::SteadyTime Now) const -> std::optional<base::SteadyTime>;

  /// Whether the records have been read since the start.
  [[nodiscard]] auto hasReadRecords() const -> bool { return m_HasReadRecords; }

  /// The read that is due has been sent.
  auto onReadStarted() -> void { m_IsCallInFlight = true; }

  /// Composes the write that is due. Its outcome is to be reported.
  [[nodiscard]] auto composeWrite(base::SteadyTime Now) -> GrantWrite;

  /// The write landed at this revision.
  auto onWriteLanded(std::int64_t Revision, base::SteadyTime Now) -> void;

  /// The write found other revisions; the records as they stand.
  auto onWriteConflict(const Versioned<RouterGrants> &RouterRecord,
                       const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget,
                       base::SteadyTime Now) -> void;

  /// The write certainly had no effect.
  auto onWriteNotDone(base::SteadyTime Now) -> void;

  /// The write may have landed or may yet land.
  auto onWriteUnknown(base::SteadyTime Now) -> void;

  /// The records as read from the store.
  auto onRecordsRead(const Versioned<RouterGrants> &RouterRecord,
                     const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget,
                     base::SteadyTime Now) -> void;
  auto onCallFailed(base::SteadyTime Now) -> void;

  /// A newer state of a budget, learnt without a read.
  auto updateTotals(const std::string &Budget, const Versioned<GrantTotals> &Totals) -> void;

  /// Refuses the waiting requests whose deadline has passed.
  auto expire(base::SteadyTime Now) -> void;

  /// Tokens that may be reserved now without a write.
  [[nodiscard]] auto spendable(const std::string &Budget) const -> Tokens;

  /// Tokens of this budget that no router holds.
  [[nodiscard]] auto freeTokens(const std::string &Budget) const -> Tokens;

private:
  struct BudgetState {
    Tokens m_Prepaid = 0;
    Versioned<GrantTotals> m_Totals;

    /// Granted by writes that are known to have landed.
    Tokens m_Granted = 0;

    /// The least that any write of unknown outcome would leave granted.
    std::optional<Tokens> m_GrantedLowerBound;

    /// Used of what was granted.
    Tokens m_Used = 0;
    Tokens m_Reserved = 0;

    /// Received from other routers and not used. They are used before the own grant, and cannot be
    /// returned to the store, where they count as used.
    Tokens m_Received = 0;

    /// Used, as the landed writes have told.
    Tokens m_ReportedUsed = 0;
    Tokens m_WaitingTokens = 0;
    double m_TokensPerMs = 0.0;
    double m_MeanRequestTokens = 0.0;
    base::SteadyTime m_RateUpdated;
    bool m_HasDemand = false;
  };

  struct WaitingRequest {
    std::string m_Budget;
    Tokens m_WorstCase = 0;
    base::SteadyTime m_Deadline;
    Answer m_Done;
  };

  /// A write whose outcome is not known.
  struct UnconfirmedWrite {
    RouterGrants m_RouterGrants;
    std::map<std::string, GrantTotals> m_Totals;
    std::map<std::string, Tokens> m_ReportedUsed;
  };

  /// Tokens of the budget that no router holds.
  [[nodiscard]] static auto freeTokensOf(const BudgetState &Item) -> Tokens;
  [[nodiscard]] auto spendableGrant(const BudgetState &Item) const -> Tokens;
  [[nodiscard]] auto unreservedTokens(const BudgetState &Item) const -> Tokens;

  /// The part of the grant that is neither used nor needed for what is reserved.
  [[nodiscard]] static auto returnableTokens(const BudgetState &Item, Tokens Granted) -> Tokens;
  [[nodiscard]] auto desiredReserve(const std::string &Name, const BudgetState &Item,
                                    base::SteadyTime Now) const -> Tokens;
  [[nodiscard]] auto grantChange(const std::string &Name, const BudgetState &Item,
                                 base::SteadyTime Now) const -> Tokens;
  [[nodiscard]] auto isWriteDue(base::SteadyTime Now) const -> bool;

  /// Whether the time for changes that no request waits for has come.
  [[nodiscard]] auto isRefreshDue(base::SteadyTime Now) const -> bool;
  [[nodiscard]] auto writeInterval() const -> std::chrono::milliseconds;

  /// A random time between half of the longest and the longest.
  auto jitter(std::chrono::milliseconds MaxDelay) -> std::chrono::milliseconds;
  auto recordDemand(BudgetState &Item, Tokens WorstCase, base::SteadyTime Now) const -> void;
  static auto spend(BudgetState &Item, Tokens Amount) -> void;
  auto serveWaitingRequests() -> void;
  auto answerWaitingRequests(
      const std::function<std::optional<GrantAnswer>(const WaitingRequest &)> &Decide) -> void;
  auto applyLandedWrite(const UnconfirmedWrite &Landed) -> void;
  auto applyRecords(const Versioned<RouterGrants> &RouterRecord,
                    const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget) -> void;
  auto updateLowerBounds() -> void;

  /// Counts what the former process on this VM held as used.
  auto writeOffFormerGrants(const RouterGrants &Former) -> void;

  GrantOptions m_Options;
  base::RandomEngine m_Random;
  std::map<std::string, BudgetState> m_Budgets;
  std::deque<WaitingRequest> m_WaitingRequests;
  std::set<std::string> m_BudgetsWithoutReserve;
  std::int64_t m_SharingRouters = 1;
  std::int64_t m_FleetRouters = 1;
  bool m_IsSharded = false;
  bool m_IsStoreReachable = true;
  bool m_IsDraining = false;

  /// Set when another process has taken this router's record; nothing is granted from then on.
  bool m_IsSuperseded = false;
  bool m_MustRead = true;
  bool m_IsCallInFlight = false;

  /// Whether the first read has shown which incarnations there were.
  bool m_HasReadRecords = false;
  std::int64_t m_RouterGrantsRevision = 0;
  std::uint64_t m_Sequence = 0;
  std::optional<UnconfirmedWrite> m_InFlight;
  std::vector<UnconfirmedWrite> m_Unresolved;
  base::SteadyTime m_LastRefresh;

  /// The time of the refresh before the write in flight; that time holds again if the write
  /// conflicts.
  base::SteadyTime m_PreviousRefresh;
  base::SteadyTime m_NextCallTime;
  int m_ConsecutiveFailures = 0;
  int m_ConsecutiveConflicts = 0;
};

} // namespace geraniumlift::budget
