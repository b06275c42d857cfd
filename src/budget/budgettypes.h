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

/// Names a reservation within one router process.
using ReservationId = std::uint64_t;

/// Asks for the worst-case cost of a request before it is dispatched.
struct ReserveRequest {
  std::string m_Budget;
  base::RequestId m_RequestId;

  /// Whether the caller sent an idempotency key, so that the bill must be remembered for retries.
  bool m_HasIdempotencyKey = false;
  Tokens m_WorstCase = 0;

  /// The reservation waits for tokens to come back until this time, then it is refused.
  base::SteadyTime m_Deadline;

  /// The operators' limit on what one router holds of this budget beyond its reservations.
  std::optional<Tokens> m_MaxGrantTokens = std::nullopt;
};

using ReserveResult = std::variant<ReservationId, base::Refusal>;
using ReserveCallback = std::function<void(ReserveResult)>;

/// Says how a bill stands when the end of the answer may be released.
enum class BillOutcome {
  /// The settlement is in the record.
  Settled,
  /// An earlier attempt of the same request was billed; nothing was added.
  AlreadyBilled,
  /// The key-value service did not answer within the hold; the router keeps the bill and retries.
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

  /// Granted to all routers and not settled yet.
  Tokens m_Outstanding = 0;

  /// What this router may still reserve without a write.
  Tokens m_Allowance = 0;

  /// What this router has reserved for requests in flight.
  Tokens m_Reserved = 0;

  /// The other holders in the record, for whoever can prove that one of them has ended.
  std::vector<base::HolderId> m_OtherHolders = {};
};

} // namespace geraniumlift::budget
