#pragma once

#include "base/identifiers.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::budget {

using base::Tokens;

/// Upper bound of all token counts in a record, so that sums of two of them cannot overflow.
inline constexpr Tokens MaxBudgetTokens = Tokens{1} << 61U;

/// Number of top-up IDs that a record remembers. A repeat older than this would add again.
inline constexpr std::size_t MaxRememberedTopUps = 256;

/// Longest top-up ID in bytes.
inline constexpr std::size_t MaxTopUpIdBytes = 128;

/// The share of one router process in a budget. Both counters are cumulative: the holder may still
/// spend the difference between them.
struct HolderEntry {
  base::HolderId m_Holder;
  Tokens m_Granted = 0;
  Tokens m_Settled = 0;

  /// Number of the holder's latest write, by which it recognises a write whose answer was lost.
  std::uint64_t m_Sequence = 0;

  auto operator==(const HolderEntry &) const -> bool = default;
};

/// A bill of a request that came with an idempotency key.
struct RecentBill {
  /// The first 32 hexadecimal digits of the SHA-256 of the request ID.
  std::string m_RequestHash;

  /// Tokens charged by all attempts together.
  Tokens m_Tokens = 0;

  /// Time of the latest bill, in seconds since 1970.
  std::int64_t m_BilledAtSeconds = 0;

  auto operator==(const RecentBill &) const -> bool = default;
};

/// One budget as the key-value service stores it.
struct BudgetRecord {
  /// Total tokens ever added.
  Tokens m_ToppedUp = 0;

  /// IDs of recent top-ups, oldest first.
  std::vector<std::string> m_TopUpIds = {};

  /// Tokens settled by holders that are gone from the record.
  Tokens m_RetiredSettled = 0;
  std::vector<HolderEntry> m_Holders = {};

  /// Oldest first.
  std::vector<RecentBill> m_RecentBills = {};

  auto operator==(const BudgetRecord &) const -> bool = default;
};

/// Says what a top-up did.
enum class TopUpOutcome { Added, AlreadyApplied };

/// The key of a budget's record in the key-value service.
auto keyOfBudget(std::string_view Name) -> std::string;

/// The record as JSON text.
auto encodeRecord(const BudgetRecord &Record) -> std::string;

/// Reads a record back. InvalidArgument if the text is no record; DataLoss if it is one that breaks
/// the invariant. Accepts any input.
auto decodeRecord(std::string_view Text) -> absl::StatusOr<BudgetRecord>;

/// Adds tokens unless a top-up with this ID is already there. InvalidArgument if the ID is empty or
/// too long or the tokens are not positive; OutOfRange if the total would pass MaxBudgetTokens. The
/// record is unchanged after an error.
auto applyTopUp(BudgetRecord &Record, std::string_view Id, Tokens Amount)
    -> absl::StatusOr<TopUpOutcome>;

/// Checks that what is settled by gone holders and granted to the others does not exceed what was
/// topped up, that no holder settled more than it was granted, and that each holder appears once.
/// DataLoss names the first violation.
auto checkRecord(const BudgetRecord &Record) -> absl::Status;

/// Tokens that no holder has been granted or has settled: what can still be drawn.
auto freeTokens(const BudgetRecord &Record) -> Tokens;

/// Tokens that are not settled: what would be free if all holders returned their grants.
auto unsettledTokens(const BudgetRecord &Record) -> Tokens;

/// The holder's entry, or nullptr if it has none.
auto findHolder(const BudgetRecord &Record, const base::HolderId &Holder) -> const HolderEntry *;

} // namespace geraniumlift::budget
