#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"
#include "base/refusal.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace geraniumlift::budget {

using base::Tokens;

/// Identifies a reservation within one router process.
using ReservationId = std::uint64_t;

/// Request to reserve the worst-case cost of a request before it is dispatched.
struct ReserveRequest {
  std::string m_Budget;
  base::RequestId m_RequestId;

  /// Whether the caller sent an idempotency key, so that the bill must be kept for retries.
  bool m_HasIdempotencyKey = false;
  Tokens m_WorstCase = 0;

  /// The reservation waits for tokens to be returned until this time and is then refused.
  base::SteadyTime m_Deadline;

  /// The operators' limit on the tokens that one router holds of this budget beyond its
  /// reservations; no limit if empty.
  std::optional<Tokens> m_MaxGrantTokens = std::nullopt;
};

using ReserveResult = std::variant<ReservationId, base::Refusal>;
using ReserveCallback = std::function<void(ReserveResult)>;

/// State of a bill at the time when the end of the answer may be sent to the caller.
enum class BillOutcome {
  /// The settlement is in the record.
  Settled,
  /// An earlier attempt of the same request was billed; nothing was added.
  AlreadyBilled,
  /// The settlement was not confirmed while the end of the answer was held; the router keeps the
  /// bill and retries. Also given for a bill that can't be settled because its reservation is not
  /// known any more.
  Pending,
};

inline constexpr auto BillOutcomeNames = std::array{
    base::NamedValue<BillOutcome>{BillOutcome::Settled, "settled"},
    base::NamedValue<BillOutcome>{BillOutcome::AlreadyBilled, "already_billed"},
    base::NamedValue<BillOutcome>{BillOutcome::Pending, "pending"},
};

using BillCallback = std::function<void(BillOutcome)>;

/// One budget as this router sees it.
struct BudgetView {
  std::string m_Budget;
  Tokens m_ToppedUp = 0;
  Tokens m_Settled = 0;

  /// Tokens granted to all routers and not settled yet.
  Tokens m_Outstanding = 0;

  /// Tokens that this router may still reserve without a write.
  Tokens m_Allowance = 0;

  /// Tokens that this router has reserved for requests in flight.
  Tokens m_Reserved = 0;

  /// The other holders in the record, so that a caller can check which of them have ended.
  std::vector<base::HolderId> m_OtherHolders = {};
};

} // namespace geraniumlift::budget
