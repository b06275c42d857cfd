#pragma once

#include "budget/budgetrecord.h"
#include "budget/budgettypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace geraniumlift::budget {

/// The time of an event.
struct LedgerTime {
  base::SteadyTime m_Steady;

  /// Wall-clock seconds since 1970, for the times of recent bills.
  std::int64_t m_UnixSeconds = 0;
};

/// A record as the key-value service holds it; no record and revision 0 if there is none.
struct StoredRecord {
  std::int64_t m_Revision = 0;
  std::optional<BudgetRecord> m_Record;
};

/// A request asks for its worst case.
struct ReserveEvent {
  ReservationId m_Reservation = 0;

  /// Empty if the request came without an idempotency key.
  std::string m_RequestHash;
  Tokens m_WorstCase = 0;
  base::SteadyTime m_Deadline;

  /// The limit on the allowance that is in force from now on.
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

/// The read that was asked for succeeded.
struct RecordReadEvent {
  StoredRecord m_Stored;
};

/// The read failed, or what it found is no valid record.
struct ReadFailedEvent {};

/// The write in flight was applied.
struct WriteLandedEvent {
  std::int64_t m_Revision = 0;
};

/// The write in flight found another revision.
struct WriteConflictEvent {
  StoredRecord m_Current;
};

/// The write in flight may have been applied, may be applied later, or never.
struct WriteUnknownEvent {};

/// Time has passed.
struct TickEvent {};

/// A holder provably cannot spend any more.
struct HolderGoneEvent {
  base::HolderId m_Holder;
};

/// Return everything and stop.
struct DrainEvent {};

using LedgerEvent = std::variant<ReserveEvent, BillEvent, ReleaseEvent, RecordReadEvent,
                                 ReadFailedEvent, WriteLandedEvent, WriteConflictEvent,
                                 WriteUnknownEvent, TickEvent, HolderGoneEvent, DrainEvent>;

/// Read the record; answered by RecordReadEvent or ReadFailedEvent.
struct ReadCommand {};

/// Replace the record if its revision is as expected; answered by one of the write events.
struct WriteCommand {
  std::int64_t m_ExpectedRevision = 0;
  BudgetRecord m_Record;
};

/// A reservation was made, or refused if a refusal is given.
struct ReserveAnswer {
  ReservationId m_Reservation = 0;
  std::optional<base::Refusal> m_Refusal;
};

/// The end of the answer may be released.
struct BillAnswer {
  ReservationId m_Reservation = 0;
  BillOutcome m_Outcome = BillOutcome::Pending;
};

/// Bills that can never be settled, because this holder's entry is gone from the record.
struct LostEntryReport {
  Tokens m_Tokens = 0;

  /// Whether another process writes under this holder ID; the ledger then stays closed.
  bool m_HolderIdReused = false;
};

/// All grants are returned.
struct DrainedAnswer {};

using LedgerCommand = std::variant<ReadCommand, WriteCommand, ReserveAnswer, BillAnswer,
                                   LostEntryReport, DrainedAnswer>;

} // namespace geraniumlift::budget
