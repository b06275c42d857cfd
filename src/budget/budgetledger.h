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

/// Decides for one budget at one router what to reserve, when to read and write the record and what
/// to write. It does no input or output: events go in, commands come out. At most one read or write
/// is in flight at a time.
///
/// It spends only what a write that is known to have landed granted. A write whose outcome is
/// unknown is kept until a read shows a newer revision: then the sequence in the holder's entry
/// says which write landed, if any, and all others can only fail their compare.
class BudgetLedger {
public:
  BudgetLedger(BudgetOptions Options, std::uint64_t Seed);

  /// Takes one event and returns what is to be done. Times must not go backwards.
  auto handle(const LedgerEvent &Event, LedgerTime Now) -> std::vector<LedgerCommand>;

  /// When the next tick is due, if any.
  [[nodiscard]] auto nextTick() const -> std::optional<base::SteadyTime> { return m_NextTick; }

  /// The budget as this router sees it, without its name.
  [[nodiscard]] auto view() const -> BudgetView;

  /// Tokens of bills that are not known to have landed.
  [[nodiscard]] auto pendingTokens() const -> Tokens;

  /// Whether a write has an outcome that is not known yet.
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

    /// Calls issued before it arrived; only a later one proves that the budget is exhausted.
    std::uint64_t m_CallsBefore = 0;
  };

  struct OpenReservation {
    std::string m_RequestHash;
    Tokens m_WorstCase = 0;
  };

  /// A write that may have landed.
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

  // Views of the record.
  auto recordStoreAnswer() -> void;
  auto backOffAfterFailure(LedgerTime Now) -> void;

  /// Another router wrote between this one's view and its write: writes come less often.
  auto backOffAfterConflict(LedgerTime Now) -> void;
  auto markWriteUnresolved() -> void;
  auto processStoredRecord(const StoredRecord &Stored, LedgerTime Now) -> void;
  auto resolveWrites(const StoredRecord &Stored) -> void;
  auto setView(StoredRecord Stored) -> void;
  auto updateTotals() -> void;
  auto finishBills(const WriteAttempt &Landed) -> void;
  auto handleLostEntry(bool HolderIdReused) -> void;
  [[nodiscard]] auto ownEntry() const -> HolderEntry;
  [[nodiscard]] auto hasEntry() const -> bool;

  // Reservations.
  auto serveWaiters(LedgerTime Now) -> void;
  auto checkRefusal(const Waiter &Request, LedgerTime Now) -> std::optional<base::Refusal>;
  auto acceptRequest(const Waiter &Request, LedgerTime Now) -> void;

  /// When a request no longer waits for those before it. Until then a large request at the front
  /// gets what comes back; after that a small one still has half its time to run.
  [[nodiscard]] static auto bypassAt(const Waiter &Request) -> base::SteadyTime;
  [[nodiscard]] auto isExhausted(const Waiter &Request) const -> bool;
  [[nodiscard]] auto unavailableAt(const Waiter &Request) const -> base::SteadyTime;
  [[nodiscard]] auto allowance() const -> Tokens;

  // Calls.
  auto issueNextCall(LedgerTime Now) -> void;
  auto isWriteDue(LedgerTime Now) -> bool;
  auto isReadDue(LedgerTime Now) -> bool;
  auto isSurplusDue(LedgerTime Now) -> bool;
  auto isDrainWriteDue() const -> bool;
  [[nodiscard]] auto surplusReturnDelay() const -> std::chrono::milliseconds;
  auto issueRead(LedgerTime Now) -> void;
  auto issueWrite(LedgerTime Now) -> bool;
  auto composeWrite(LedgerTime Now) -> WriteAttempt;

  /// Gives the write a new sequence, by which it can be recognised in the record.
  auto assignSequence(WriteAttempt &Next) -> void;
  auto sizeGrant(const BudgetRecord &Record, HolderEntry &Own, LedgerTime Now) -> void;
  auto recordCall(StoreCall Kind, LedgerTime Now) -> void;

  /// Worst cases of the waiting requests whose turn it is that fit in what is at hand and free.
  [[nodiscard]] auto coverableDemand(Tokens Have, Tokens Free, LedgerTime Now) const -> Tokens;

  /// Worst cases of all waiting requests, at most MaxBudgetTokens.
  [[nodiscard]] auto waitingTokens() const -> Tokens;
  [[nodiscard]] auto targetAllowance(Tokens Available, LedgerTime Now) const -> Tokens;
  auto finishDrain() -> void;
  auto answerBillHolds(LedgerTime Now) -> void;

  /// Asks for a tick at this time, unless an earlier one is asked for already.
  auto requestTick(base::SteadyTime Time) -> void;

  /// Whether the time has come; asks for a tick if not.
  auto isDue(base::SteadyTime Time, LedgerTime Now) -> bool;

  /// A random part of a duration.
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

  /// The newest record known to have been stored, and the number of the call that found it.
  StoredRecord m_View;
  bool m_HasView = false;
  std::uint64_t m_ViewCall = 0;

  /// What can be drawn, counting the grants of gone holders, and what nobody settled.
  Tokens m_FreeTokens = 0;
  Tokens m_UnsettledTokens = 0;

  StoreCall m_CallInFlight = StoreCall::None;
  std::uint64_t m_CallsIssued = 0;
  std::optional<WriteAttempt> m_WriteInFlight;

  /// Writes of unknown outcome. All expect the revision of the view, so at most one can land.
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
  bool m_WasViewFresh = false;
  base::SteadyTime m_ViewTime;

  internal::RateMeter m_SpendRate;
  internal::RateMeter m_ReserveRate;

  bool m_IsDraining = false;
  bool m_IsDrainAnswered = false;

  /// Set when another process writes under this holder ID; nothing is spent from then on.
  bool m_IsClosed = false;
};

} // namespace geraniumlift::budget
