#pragma once

#include "budget/budgetoptions.h"
#include "budget/internal/ratemeter.h"
#include "budget/internal/settlement.h"
#include "budget/ledgertypes.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace geraniumlift::budget {

/// State machine of one budget at one router: decides which reservations to grant, when to read and
/// write the budget record and what to write. It does no input or output: it takes events and
/// returns commands. At most one read or write is in flight at a time.
///
/// Only tokens that were granted by a write known to have landed are spent. A write with an unknown
/// outcome is kept until a read shows a newer revision. The sequence number in the holder's entry
/// then tells which write landed, if any; the others expect an older revision and can only fail.
class BudgetLedger {
public:
  BudgetLedger(BudgetOptions Options, std::uint64_t Seed);

  /// Processes one event and returns the commands to execute, in order. Now must not decrease from
  /// call to call.
  auto handle(const LedgerEvent &Event, LedgerTime Now) -> std::vector<LedgerCommand>;

  /// Time at which the caller must send the next TickEvent; empty if none is needed.
  [[nodiscard]] auto nextTick() const -> std::optional<base::SteadyTime> { return m_NextTick; }

  /// The budget as this router sees it. The ledger does not know the budget's name, so m_Budget is
  /// empty.
  [[nodiscard]] auto view() const -> BudgetView;

  /// Tokens of bills whose settlement is not known to have landed in the record.
  [[nodiscard]] auto pendingTokens() const -> Tokens;

  /// Whether the outcome of a write is not known yet, in flight or after a failure.
  [[nodiscard]] auto hasUnresolvedWrite() const -> bool {
    return m_WriteInFlight.has_value() || !m_UnresolvedWrites.empty();
  }

private:
  struct Waiter {
    ReservationId m_Reservation = 0;
    std::string m_RequestHash;
    Tokens m_WorstCase = 0;
    base::SteadyTime m_Deadline;
    base::SteadyTime m_Arrived;

    /// Number of store calls issued before the request arrived. Only a record found by a later call
    /// can prove that the budget is exhausted.
    std::uint64_t m_CallsBefore = 0;
  };

  struct OpenReservation {
    std::string m_RequestHash;
    Tokens m_WorstCase = 0;
  };

  /// A write that was composed or sent and may have landed.
  struct WriteAttempt {
    std::uint64_t m_Sequence = 0;
    Tokens m_Granted = 0;
    bool m_RemovesEntry = false;
    std::vector<internal::SettledBill> m_Bills;
    BudgetRecord m_Record;
  };

  enum class StoreCall { None, Read, Write };

  auto on(const ReserveEvent &Event, LedgerTime Now) -> void;
  auto on(const BillEvent &Event, LedgerTime Now) -> void;
  auto on(const ReleaseEvent &Event, LedgerTime Now) -> void;
  auto on(const RecordReadEvent &Event, LedgerTime Now) -> void;
  auto on(const ReadFailedEvent &Event, LedgerTime Now) -> void;
  auto on(const WriteLandedEvent &Event, LedgerTime Now) -> void;
  auto on(const WriteConflictEvent &Event, LedgerTime Now) -> void;
  auto on(const WriteUnknownEvent &Event, LedgerTime Now) -> void;
  auto on(const TickEvent &Event, LedgerTime Now) -> void;
  auto on(const HolderGoneEvent &Event, LedgerTime Now) -> void;
  auto on(const DrainEvent &Event, LedgerTime Now) -> void;

  // State of the record.
  auto markCallAnswered() -> void;
  auto backOffAfterFailure(LedgerTime Now) -> void;

  /// Spaces writes further apart, because another router wrote between this router's read and its
  /// write.
  auto backOffAfterConflict(LedgerTime Now) -> void;
  auto markWriteUnresolved() -> void;
  auto processStoredRecord(const StoredRecord &Stored, LedgerTime Now) -> void;
  auto resolveWrites(const StoredRecord &Stored) -> void;
  auto setLatestRecord(StoredRecord Stored) -> void;
  auto updateTotals() -> void;
  auto finishBills(const WriteAttempt &Landed) -> void;
  auto handleLostEntry(bool HolderIdReused) -> void;
  [[nodiscard]] auto ownEntry() const -> HolderEntry;
  [[nodiscard]] auto hasEntry() const -> bool;

  // Reservations.
  auto serveWaiters(LedgerTime Now) -> void;

  /// The refusal for a request that must not wait any longer. Empty if it may still wait; a tick is
  /// then requested for its deadline or its outage limit.
  auto checkRefusal(const Waiter &Request, LedgerTime Now) -> std::optional<base::Refusal>;
  auto acceptRequest(const Waiter &Request, LedgerTime Now) -> void;

  /// Time at which a request may overtake the requests before it: halfway from its arrival to its
  /// deadline. Until then returned tokens collect for a large request at the front of the queue;
  /// afterwards a small request still has half of its time left.
  [[nodiscard]] static auto bypassAt(const Waiter &Request) -> base::SteadyTime;
  [[nodiscard]] auto isExhausted(const Waiter &Request) const -> bool;

  /// Time at which a waiting request is refused because the key-value service does not answer;
  /// SteadyTime::max() while no call is unanswered, the time of arrival if the ledger is closed.
  [[nodiscard]] auto unavailableAt(const Waiter &Request) const -> base::SteadyTime;

  /// Tokens that may still be reserved without a write; 0 or less if there are none.
  [[nodiscard]] auto allowance() const -> Tokens;

  // Reads and writes of the record.
  auto issueNextCall(LedgerTime Now) -> void;
  auto isWriteDue(LedgerTime Now) -> bool;
  auto isReadDue(LedgerTime Now) -> bool;
  auto isSurplusDue(LedgerTime Now) -> bool;
  auto isDrainWriteDue() const -> bool;
  [[nodiscard]] auto surplusReturnDelay() const -> std::chrono::milliseconds;
  auto issueRead(LedgerTime Now) -> void;

  /// Issues a write, unless it would change nothing and no earlier write is unresolved. Returns
  /// whether a write was issued.
  auto issueWrite(LedgerTime Now) -> bool;
  auto composeWrite(LedgerTime Now) -> WriteAttempt;

  /// Assigns a new sequence number, by which the write can be recognised in the record.
  auto assignSequence(WriteAttempt &Next) -> void;

  /// Raises or lowers the grant in the router's own entry to match demand and target allowance.
  auto sizeGrant(const BudgetRecord &Record, HolderEntry &Own, LedgerTime Now) -> void;
  auto markCallIssued(StoreCall Kind, LedgerTime Now) -> void;

  /// Sum of the worst cases of those waiting requests that may be served now and whose total fits
  /// in the tokens already held plus the free tokens of the record.
  [[nodiscard]] auto coverableDemand(Tokens Have, Tokens Free, LedgerTime Now) const -> Tokens;

  /// Sum of the worst cases of all waiting requests, at most MaxBudgetTokens.
  [[nodiscard]] auto waitingTokens() const -> Tokens;

  /// Allowance that the router aims for, given the tokens available to it; 0 while draining or
  /// idle.
  [[nodiscard]] auto targetAllowance(Tokens Available, LedgerTime Now) const -> Tokens;
  auto finishDrain() -> void;
  auto answerBillHolds(LedgerTime Now) -> void;

  /// Requests a tick at this time, unless an earlier one has been requested already.
  auto requestTick(base::SteadyTime Time) -> void;

  /// Whether the time has been reached; requests a tick at that time if not.
  auto isDue(base::SteadyTime Time, LedgerTime Now) -> bool;

  /// A uniformly distributed random duration from 0 to Limit.
  auto jitter(std::chrono::milliseconds Limit) -> std::chrono::microseconds;

  BudgetOptions m_Options;
  const IGrantStrategy *m_Strategy;
  std::mt19937_64 m_Random;
  std::vector<LedgerCommand> m_Commands;
  std::optional<base::SteadyTime> m_NextTick;

  std::deque<Waiter> m_Waiters;
  std::map<ReservationId, OpenReservation> m_Reservations;
  std::vector<internal::PendingBill> m_Pending;
  Tokens m_Reserved = 0;
  std::optional<Tokens> m_MaxGrantTokens;
  Tokens m_PendingTokens = 0;
  std::set<base::HolderId> m_GoneHolders;

  /// The newest record known to have been stored, and the number of the store call that found it.
  StoredRecord m_LatestRecord;
  bool m_HasLatestRecord = false;
  std::uint64_t m_LatestRecordCall = 0;

  /// Tokens that can be drawn, including the grants of gone holders, and tokens that no holder has
  /// settled.
  Tokens m_FreeTokens = 0;
  Tokens m_UnsettledTokens = 0;

  StoreCall m_CallInFlight = StoreCall::None;
  std::uint64_t m_CallsIssued = 0;
  std::optional<WriteAttempt> m_WriteInFlight;

  /// Writes with an unknown outcome. All expect the revision of m_LatestRecord, so at most one can
  /// land.
  std::vector<WriteAttempt> m_UnresolvedWrites;
  std::uint64_t m_Sequence = 0;
  bool m_MustRead = false;

  std::optional<base::SteadyTime> m_UnansweredSince;
  std::optional<base::SteadyTime> m_SurplusSince;
  base::SteadyTime m_EarliestCall;
  base::SteadyTime m_LastCall;
  base::SteadyTime m_LastActivity;
  std::chrono::milliseconds m_CommitSpacing;
  int m_ConsecutiveFailures = 0;
  int m_ConsecutiveConflicts = 0;
  int m_UncontendedReadsLeft = 0;
  bool m_WasRecordFresh = false;
  base::SteadyTime m_LatestRecordTime;

  internal::RateMeter m_SpendRate;
  internal::RateMeter m_ReserveRate;

  bool m_IsDraining = false;
  bool m_IsDrainAnswered = false;

  /// Set when another process writes under this router's holder ID; no tokens are spent afterwards.
  bool m_IsClosed = false;
};

} // namespace geraniumlift::budget
