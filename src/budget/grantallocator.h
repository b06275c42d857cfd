#pragma once

#include "base/random.h"
#include "budget/granttypes.h"
#include "budget/ibudgetreserver.h"
#include "budget/transfertypes.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <set>

namespace geraniumlift::budget {

/// Manages this router's grants of all budgets and decides what to read from the store and what to
/// write to it. It does no input or output itself; at most one store call is in flight. It spends
/// only tokens granted by a write that is known to have landed, and none that it has offered to
/// return.
class GrantAllocator {
public:
  using Answer = std::function<void(ReservationOutcome)>;

  explicit GrantAllocator(GrantOptions Options) : m_Options(Options), m_Random(Options.m_Seed) {}

  /// Sets the prepaid tokens of each budget. Where they are fewer than before, unused grants are
  /// returned.
  auto setPrepaid(const std::map<std::string, Tokens> &Prepaid, base::SteadyTime Now) -> void;

  /// Sets the number of routers that draw on the same records, at least 1, and of all routers. In a
  /// larger fleet each router writes less often, so that few writes conflict.
  auto setRouterCounts(std::int64_t Sharing, std::int64_t Fleet) -> void {
    m_SharingRouters = std::max<std::int64_t>(1, Sharing);
    m_FleetRouters = std::max<std::int64_t>(1, Fleet);
  }

  /// Sets whether budgets are split into shards, each with one owner that draws on it for all
  /// routers.
  auto setIsSharded(bool IsSharded) -> void { m_IsSharded = IsSharded; }

  /// Sets the budgets of which nothing is held in reserve; tokens of these are drawn only for
  /// requests that wait.
  auto setBudgetsWithoutReserve(std::set<std::string> Budgets) -> void {
    m_BudgetsWithoutReserve = std::move(Budgets);
  }

  /// Prepaid tokens of a budget that its totals do not count as used; 0 for an unknown budget.
  [[nodiscard]] auto unsettledTokens(const std::string &Budget) const -> Tokens;

  /// Sets whether the store can be reached; otherwise a request that needs a write is refused at
  /// once. After an outage more is held in reserve.
  auto setStoreReachable(bool IsReachable, base::SteadyTime Now, base::SystemTime WallTime) -> void;

  /// Takes over an outage that the former process on this VM has seen, if it is recent.
  auto adoptOutage(std::int64_t EndedMs, base::SteadyTime Now, base::SystemTime WallTime) -> void;

  /// Reserves tokens at once or after a write has granted them. The callback runs once: with
  /// Granted, with Exhausted if the budget's totals show that too few tokens are left, and
  /// otherwise with Unavailable, at the latest when expire is called after the deadline.
  auto reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
               base::SteadyTime Now, Answer Done) -> void;

  /// Reserves tokens if that needs no write. Returns false if too few are held.
  auto tryReserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Now) -> bool;

  /// Counts tokens as used if they are held, for another router; they do not count as this router's
  /// own demand. Returns false if too few are held.
  auto withdraw(const std::string &Budget, Tokens Amount) -> bool;

  /// Tokens that other routers may request of each budget that is held in reserve and in demand.
  /// They include those that can be drawn for this while the store can be reached.
  [[nodiscard]] auto offers() const -> std::vector<BudgetOffer>;

  /// Adds tokens that another router has transferred and counted as used. Ignored for an unknown
  /// budget.
  auto receive(const std::string &Budget, Tokens Amount) -> void;

  /// Ends a reservation of WorstCase tokens, of which Used were used.
  auto settle(const std::string &Budget, Tokens WorstCase, Tokens Used, base::SteadyTime Now)
      -> void;

  /// Returns all tokens that are not reserved, now and whenever a reservation ends.
  auto drain(base::SteadyTime Now) -> void;

  /// Whether no granted token is left to return and no store call is in flight, or a newer process
  /// has taken over this router's record.
  [[nodiscard]] auto isDrained() const -> bool;

  /// Returns the store call that is due, or None. A write is composed by composeWrite.
  [[nodiscard]] auto nextCall(base::SteadyTime Now) const -> GrantCall;

  /// Time at which nextCall or expire may have something to do without a further event; nothing if
  /// only events can change that.
  [[nodiscard]] auto nextWakeTime(base::SteadyTime Now) const -> std::optional<base::SteadyTime>;

  /// Whether the records have been read since the start.
  [[nodiscard]] auto hasReadRecords() const -> bool { return m_HasReadRecords; }

  /// Reports that the due read has been sent.
  auto onReadStarted() -> void { m_IsCallInFlight = true; }

  /// Composes the write that is due. Its outcome must be reported by one of the onWrite functions.
  [[nodiscard]] auto composeWrite(base::SteadyTime Now) -> GrantWrite;

  /// Reports that the write landed, and the revision that it made.
  auto onWriteLanded(std::int64_t Revision, base::SteadyTime Now) -> void;

  /// Reports that the write found other revisions, with the records as they are now.
  auto onWriteConflict(const Versioned<RouterGrants> &RouterRecord,
                       const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget,
                       base::SteadyTime Now) -> void;

  /// Reports that the write certainly had no effect.
  auto onWriteNotDone(base::SteadyTime Now) -> void;

  /// Reports that the write may have landed or may still land.
  auto onWriteUnknown(base::SteadyTime Now) -> void;

  /// Reports the records that were read from the store.
  auto onRecordsRead(const Versioned<RouterGrants> &RouterRecord,
                     const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget,
                     base::SteadyTime Now) -> void;

  /// Ends the call in flight without a result; the next one waits for a delay that doubles with
  /// each failure in a row.
  auto onCallFailed(base::SteadyTime Now) -> void;

  /// Takes over newer totals of a budget that were learnt without a read; older revisions are
  /// ignored.
  auto updateTotals(const std::string &Budget, const Versioned<GrantTotals> &Totals) -> void;

  /// Refuses the waiting requests whose deadline has passed.
  auto expire(base::SteadyTime Now) -> void;

  /// Tokens of a shard that this router owns which all routers together may hold ahead of their
  /// demand, if they hold so many already; 0 for an unknown budget.
  [[nodiscard]] auto dividedReserve(const std::string &Budget, Tokens HeldAhead,
                                    base::SteadyTime Now) const -> Tokens;

  /// Sets the shards whose reserve is divided among the routers, with the tokens that these still
  /// want and may hold. They are drawn together with the next ones that a request waits for.
  auto setDividedReserves(std::map<std::string, Tokens> Backlogs) -> void {
    m_DividedReserves = std::move(Backlogs);
  }

  /// Takes back tokens that this router transferred and another one has returned. They no longer
  /// count as used, so that they can go back to the store; what goes beyond this router's own use
  /// is held as received.
  auto takeBack(const std::string &Budget, Tokens Amount) -> void;

  /// Takes out all tokens received from other routers that are not reserved.
  auto takeReceived(const std::string &Budget, Tokens Most) -> Tokens;

  /// Names of the budgets of which tokens of other routers are held.
  [[nodiscard]] auto budgetsWithReceived() const -> std::vector<std::string>;

  /// Tokens that may be reserved now without a write; 0 for an unknown budget.
  [[nodiscard]] auto spendable(const std::string &Budget) const -> Tokens;

  /// Prepaid tokens of a budget that no router holds; 0 for an unknown budget.
  [[nodiscard]] auto freeTokens(const std::string &Budget) const -> Tokens;

private:
  /// State of this router's grant of one budget or shard, in tokens.
  struct BudgetState {
    Tokens m_Prepaid = 0;
    Versioned<GrantTotals> m_Totals;

    /// Tokens granted by writes that are known to have landed.
    Tokens m_Granted = 0;

    /// Smallest grant that any write of unknown outcome would leave; nothing if there is no such
    /// write.
    std::optional<Tokens> m_GrantedLowerBound;

    /// Tokens used of the grant.
    Tokens m_Used = 0;
    Tokens m_Reserved = 0;

    /// Tokens received from other routers and not yet used. They are used before this router's
    /// grant and cannot be returned to the store, where they already count as used.
    Tokens m_Received = 0;

    /// Part of m_Used that landed writes have reported. Negative after a restart by what the former
    /// process may have used without reporting it.
    Tokens m_ReportedUsed = 0;

    /// Total worst case of the requests that wait for a grant.
    Tokens m_WaitingTokens = 0;

    /// Moving average of the demand in tokens per millisecond, as of m_RateUpdated.
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
    std::map<std::string, GrantTotals> m_TotalsByBudget;
    std::map<std::string, Tokens> m_ReportedUsed;
  };

  /// Prepaid tokens of the budget that no router holds.
  [[nodiscard]] static auto freeTokensOf(const BudgetState &Item) -> Tokens;

  /// The part of the grant that is kept whatever the outcome of open writes, less what must be
  /// returned because the prepaid tokens became fewer.
  [[nodiscard]] auto spendableGrant(const BudgetState &Item) const -> Tokens;

  /// Granted and received tokens that are neither used nor reserved.
  [[nodiscard]] auto unreservedTokens(const BudgetState &Item) const -> Tokens;

  /// The part of a grant that is neither used nor needed for reservations.
  [[nodiscard]] static auto returnableTokens(const BudgetState &Item, Tokens Granted) -> Tokens;

  /// Fraction of the even share to hold in reserve. Answers the choice between two losses: a small
  /// reserve is used up in an outage of the store, a large one is lost if all routers are killed.
  [[nodiscard]] auto reserveShare(const BudgetState &Item, base::SteadyTime Now) const -> double;

  /// Largest number of tokens to hold in reserve, whatever the demand is.
  [[nodiscard]] auto reserveLimitOf(const BudgetState &Item, base::SteadyTime Now) const -> Tokens;

  /// Tokens to hold beyond the reservations.
  [[nodiscard]] auto desiredReserve(const std::string &Name, const BudgetState &Item,
                                    base::SteadyTime Now) const -> Tokens;

  /// Tokens to draw from the store, or to return to it if negative.
  [[nodiscard]] auto grantChange(const std::string &Name, const BudgetState &Item,
                                 base::SteadyTime Now) const -> Tokens;
  [[nodiscard]] auto isWriteDue(base::SteadyTime Now) const -> bool;

  /// Whether a call may be made once it is due.
  [[nodiscard]] auto mayCall() const -> bool;

  /// Whether changes for which no request waits may be written now.
  [[nodiscard]] auto isRefreshDue(base::SteadyTime Now) const -> bool;
  [[nodiscard]] auto writeInterval() const -> std::chrono::milliseconds;

  /// Returns a random time between half of MaxDelay and MaxDelay.
  auto jitter(std::chrono::milliseconds MaxDelay) -> std::chrono::milliseconds;
  auto recordDemand(BudgetState &Item, Tokens WorstCase, base::SteadyTime Now) const -> void;

  /// Current demand in tokens per millisecond.
  [[nodiscard]] auto demandRate(const BudgetState &Item, base::SteadyTime Now) const -> double;

  /// Counts tokens as used, received ones first.
  static auto spend(BudgetState &Item, Tokens Amount) -> void;

  /// Answers the waiting requests that can now be granted or can no longer be.
  auto serveWaitingRequests() -> void;

  /// Calls Decide for each waiting request and answers those for which it returns an answer.
  auto answerWaitingRequests(
      const std::function<std::optional<ReservationOutcome>(const WaitingRequest &)> &Decide)
      -> void;
  auto applyLandedWrite(const UnconfirmedWrite &Landed) -> void;

  /// Tokens that the former process may have used and the budget's totals do not include yet. They
  /// stay in this router's record, so that they are not forgotten if this process is killed, too.
  [[nodiscard]] static auto unreportedWriteOff(const BudgetState &Item) -> Tokens {
    return std::max<Tokens>(0, -Item.m_ReportedUsed);
  }

  /// This process' grant of a budget as a write leaves it.
  [[nodiscard]] static auto grantIn(const UnconfirmedWrite &Write, const std::string &Name,
                                    const BudgetState &Item) -> Tokens;
  auto applyRecords(const Versioned<RouterGrants> &RouterRecord,
                    const std::map<std::string, Versioned<GrantTotals>> &TotalsByBudget,
                    base::SteadyTime Now) -> void;
  auto updateLowerBounds() -> void;

  /// Counts all tokens held by the former process on this VM as used.
  auto writeOffFormerGrants(const RouterGrants &Former, base::SteadyTime Now) -> void;

  GrantOptions m_Options;
  base::RandomEngine m_Random;
  std::map<std::string, BudgetState> m_Budgets;
  std::deque<WaitingRequest> m_WaitingRequests;
  std::set<std::string> m_BudgetsWithoutReserve;

  /// Tokens still to be given by shard whose reserve is divided.
  std::map<std::string, Tokens> m_DividedReserves;

  /// When this process found tokens of a killed one.
  std::optional<base::SteadyTime> m_StrandedAt;
  std::int64_t m_SharingRouters = 1;
  std::int64_t m_FleetRouters = 1;
  bool m_IsSharded = false;
  bool m_IsStoreReachable = true;

  /// Start of the outage in progress, or of the last one, and end of the last one that counts.
  base::SteadyTime m_OutageStarted;
  std::optional<base::SteadyTime> m_OutageEnded;

  /// See RouterGrants.
  std::int64_t m_LastOutageMs = 0;
  bool m_IsDraining = false;

  /// Set when a newer process has taken over this router's record; no tokens are granted from then
  /// on.
  bool m_IsSuperseded = false;
  bool m_MustRead = true;
  bool m_IsCallInFlight = false;

  /// Whether the records were read since the start, so that the earlier incarnations are known.
  bool m_HasReadRecords = false;
  std::int64_t m_RouterGrantsRevision = 0;
  std::uint64_t m_Sequence = 0;
  std::optional<UnconfirmedWrite> m_InFlight;
  std::vector<UnconfirmedWrite> m_Unresolved;
  base::SteadyTime m_LastRefresh;

  /// Value of m_LastRefresh before the write in flight was composed; it differs if that write is a
  /// refresh.
  base::SteadyTime m_PreviousRefresh;
  base::SteadyTime m_NextCallTime;
  int m_ConsecutiveFailures = 0;
  int m_ConsecutiveConflicts = 0;
};

} // namespace geraniumlift::budget
