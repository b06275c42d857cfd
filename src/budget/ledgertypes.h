#pragma once

#include "budget/budgetrecord.h"
#include "budget/budgettypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace geraniumlift::budget {

/// Time of an event.
struct LedgerTime {
  base::SteadyTime m_Steady;

  /// Wall-clock seconds since 1970, for the times of recent bills.
  std::int64_t m_UnixSeconds = 0;
};

/// A record as the key-value service stores it. Without a stored record, m_Record is empty and the
/// revision is 0.
struct StoredRecord {
  std::int64_t m_Revision = 0;
  std::optional<BudgetRecord> m_Record;
};

/// A request needs a reservation of its worst-case cost.
struct ReserveEvent {
  ReservationId m_Reservation = 0;

  /// Hash of the request ID; empty if the request came without an idempotency key.
  std::string m_RequestHash;
  Tokens m_WorstCase = 0;
  base::SteadyTime m_Deadline;

  /// Limit on the allowance from this event on; no limit if empty.
  std::optional<Tokens> m_MaxGrantTokens = std::nullopt;
};

/// A request ended and used the given tokens.
struct BillEvent {
  ReservationId m_Reservation = 0;
  Tokens m_Used = 0;
};

/// A request ended without a bill.
struct ReleaseEvent {
  ReservationId m_Reservation = 0;
};

/// The read in flight succeeded.
struct RecordReadEvent {
  StoredRecord m_Stored;
};

/// The read in flight failed, or the value found is not a valid record.
struct ReadFailedEvent {};

/// The write in flight was applied and produced this revision.
struct WriteLandedEvent {
  std::int64_t m_Revision = 0;
};

/// The write in flight was not applied because the store holds another revision.
struct WriteConflictEvent {
  StoredRecord m_Current;
};

/// The outcome of the write in flight is unknown: it may have been applied, may be applied later or
/// never.
struct WriteUnknownEvent {};

/// The time requested by BudgetLedger::nextTick() has been reached.
struct TickEvent {};

/// A holder is proven unable to spend tokens any more.
struct HolderGoneEvent {
  base::HolderId m_Holder;
};

/// The router is shutting down: all tokens are to be returned.
struct DrainEvent {};

using LedgerEvent = std::variant<ReserveEvent, BillEvent, ReleaseEvent, RecordReadEvent,
                                 ReadFailedEvent, WriteLandedEvent, WriteConflictEvent,
                                 WriteUnknownEvent, TickEvent, HolderGoneEvent, DrainEvent>;

/// Reads the record; answered by RecordReadEvent or ReadFailedEvent.
struct ReadCommand {};

/// Replaces the record if its revision is the expected one; answered by WriteLandedEvent,
/// WriteConflictEvent or WriteUnknownEvent.
struct WriteCommand {
  std::int64_t m_ExpectedRevision = 0;
  BudgetRecord m_Record;
};

/// Answers a ReserveEvent: refused if m_Refusal is set, granted otherwise.
struct ReserveAnswer {
  ReservationId m_Reservation = 0;
  std::optional<base::Refusal> m_Refusal;
};

/// Answers a BillEvent: the end of the answer may be sent to the caller.
struct BillAnswer {
  ReservationId m_Reservation = 0;
  BillOutcome m_Outcome = BillOutcome::Pending;
};

/// Reports tokens that can never be billed because the record no longer has this holder's entry as
/// this holder wrote it.
struct LostEntryReport {
  /// Tokens of pending bills and open reservations.
  Tokens m_Tokens = 0;

  /// Whether another process writes under this holder ID; the ledger then grants nothing any more.
  bool m_HolderIdReused = false;
};

/// Answers a DrainEvent: all grants have been returned, or the ledger spends nothing any more.
struct DrainedAnswer {};

using LedgerCommand = std::variant<ReadCommand, WriteCommand, ReserveAnswer, BillAnswer,
                                   LostEntryReport, DrainedAnswer>;

} // namespace geraniumlift::budget
