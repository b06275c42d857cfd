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

/// Number of top-up IDs that a record keeps. A top-up that is repeated after its ID was dropped is
/// added again.
inline constexpr std::size_t MaxRememberedTopUps = 256;

/// Longest top-up ID in bytes.
inline constexpr std::size_t MaxTopUpIdBytes = 128;

/// The share of one router process in a budget. Both counters are cumulative: the holder may still
/// spend the difference between them.
struct HolderEntry {
  base::HolderId m_Holder;
  Tokens m_Granted = 0;
  Tokens m_Settled = 0;

  /// Sequence number of the holder's latest write, by which the holder recognises a write whose
  /// answer was lost.
  std::uint64_t m_Sequence = 0;

  auto operator==(const HolderEntry &) const -> bool = default;
};

/// What was billed for a request that came with an idempotency key.
struct RecentBill {
  /// The first 32 hexadecimal digits of the SHA-256 of the request ID.
  std::string m_RequestHash;

  /// Tokens charged for all attempts of the request together.
  Tokens m_Tokens = 0;

  /// Time of the latest bill, in seconds since 1970.
  std::int64_t m_BilledAtSeconds = 0;

  auto operator==(const RecentBill &) const -> bool = default;
};

/// One budget as the key-value service stores it.
struct BudgetRecord {
  /// Total of all tokens ever added.
  Tokens m_ToppedUp = 0;

  /// IDs of recent top-ups, oldest first; at most MaxRememberedTopUps.
  std::vector<std::string> m_TopUpIds = {};

  /// Total of the tokens settled by holders whose entries were removed.
  Tokens m_RetiredSettled = 0;
  std::vector<HolderEntry> m_Holders = {};

  /// Bills of requests with an idempotency key, oldest first.
  std::vector<RecentBill> m_RecentBills = {};

  auto operator==(const BudgetRecord &) const -> bool = default;
};

/// Result of a top-up.
enum class TopUpOutcome { Added, AlreadyApplied };

/// Key of a budget's record in the key-value service. An empty name gives the common prefix.
auto keyOfBudget(std::string_view Name) -> std::string;

/// Encodes the record as JSON text.
auto encodeRecord(const BudgetRecord &Record) -> std::string;

/// Decodes a record. Accepts any input: InvalidArgument if the text is not a record, DataLoss if
/// the record violates an invariant of checkRecord.
auto decodeRecord(std::string_view Text) -> absl::StatusOr<BudgetRecord>;

/// Adds tokens unless the record already contains a top-up with this ID. InvalidArgument if the ID
/// is empty or too long or the amount is not positive; OutOfRange if the total would exceed
/// MaxBudgetTokens. The record is unchanged after an error.
auto applyTopUp(BudgetRecord &Record, std::string_view Id, Tokens Amount)
    -> absl::StatusOr<TopUpOutcome>;

/// Checks the invariants of a record: the tokens settled by removed holders and granted to present
/// ones do not exceed the tokens topped up, no holder has settled more than it was granted, and
/// each holder has one entry. DataLoss describes the first violation.
auto checkRecord(const BudgetRecord &Record) -> absl::Status;

/// Tokens that can still be drawn: neither granted to a present holder nor settled by a removed
/// one.
auto freeTokens(const BudgetRecord &Record) -> Tokens;

/// Tokens that are not settled: those that would be free if all holders returned their grants.
auto unsettledTokens(const BudgetRecord &Record) -> Tokens;

/// The holder's entry in the record, or nullptr if it has none. The pointer is valid until the
/// record's holders change.
auto findHolder(const BudgetRecord &Record, const base::HolderId &Holder) -> const HolderEntry *;

} // namespace geraniumlift::budget
