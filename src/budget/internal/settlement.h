#pragma once

#include "budget/budgetrecord.h"
#include "budget/budgettypes.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace geraniumlift::budget::internal {

/// Time for which a record keeps a recent bill. A later retry of the request is billed in full.
inline constexpr auto BillRetention = std::chrono::seconds{600};

/// Maximum number of recent bills that a record keeps.
inline constexpr std::size_t MaxRecentBills = 4096;

/// A bill whose settlement is not known to have landed in the record.
struct PendingBill {
  ReservationId m_Reservation = 0;
  std::string m_RequestHash;
  Tokens m_Used = 0;
  base::SteadyTime m_Submitted;

  /// Whether the bill was answered as Pending before its settlement landed.
  bool m_Answered = false;
};

/// A bill contained in a write, and its outcome if the write lands.
struct SettledBill {
  ReservationId m_Reservation = 0;
  BillOutcome m_Outcome = BillOutcome::Settled;
};

/// Enters the bills into the record's recent bills, appends their outcomes to Settled and returns
/// the tokens to add to the holder's settled tokens. A request that was billed before is charged
/// only what exceeds its largest attempt so far.
auto settleBills(BudgetRecord &Record, const std::vector<PendingBill> &Bills,
                 std::int64_t NowUnixSeconds, std::vector<SettledBill> &Settled) -> Tokens;

/// Removes the entries of gone holders and adds the tokens that they settled to the retired total.
auto reclaimEntries(BudgetRecord &Record, const std::set<base::HolderId> &Gone) -> void;

/// The first 128 bits of the SHA-256 of the request ID, in hexadecimal. With a shorter or weaker
/// hash, a caller could craft two requests that are billed as one.
auto hashOfRequest(std::string_view RequestId) -> std::string;

} // namespace geraniumlift::budget::internal
