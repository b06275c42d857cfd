#pragma once

#include "budget/budgetrecord.h"
#include "budget/budgettypes.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace geraniumlift::budget::internal {

/// Bills older than this are forgotten; a retry after that is billed in full.
inline constexpr auto BillRetention = std::chrono::seconds{600};

/// Most bills that a record remembers.
inline constexpr std::size_t MaxRecentBills = 4096;

/// A bill that is not known to have landed.
struct PendingBill {
  ReservationId m_Reservation = 0;
  std::string m_RequestHash;
  Tokens m_Used = 0;
  base::SteadyTime m_Submitted;

  /// Whether the caller was let go before the settlement landed.
  bool m_Answered = false;
};

/// A bill in a write, and how it stands once the write landed.
struct SettledBill {
  ReservationId m_Reservation = 0;
  BillOutcome m_Outcome = BillOutcome::Settled;
};

/// Charges the bills to the record's recent bills and returns the tokens to settle. A request that
/// was billed before is charged only the difference to its largest attempt.
auto settleBills(BudgetRecord &Record, const std::vector<PendingBill> &Bills,
                 std::int64_t NowUnixSeconds, std::vector<SettledBill> &Settled) -> Tokens;

/// Removes the entries of holders that cannot spend any more and keeps what they settled.
auto reclaimEntries(BudgetRecord &Record, const std::set<base::HolderId> &Gone) -> void;

/// The first 128 bits of the SHA-256 of the request ID. A shorter or weaker hash would let a caller
/// make two requests that count as one.
auto hashOfRequest(std::string_view RequestId) -> std::string;

} // namespace geraniumlift::budget::internal
