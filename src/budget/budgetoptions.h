#pragma once

#include "base/identifiers.h"
#include "budget/grantstrategy.h"

#include <chrono>
#include <cstdint>

namespace geraniumlift::budget {

/// Settings of the budget service of one router.
struct BudgetOptions {
  /// Identifies this router process: the VM and the incarnation of the process on it.
  base::HolderId m_Holder;

  /// Bills submitted within this time are settled in one write. The ledger lengthens the interval
  /// while writes conflict.
  std::chrono::milliseconds m_CommitInterval{50};

  /// Longest time that the end of an answer is held back for its bill to be settled in the record.
  std::chrono::milliseconds m_BillHold{2000};

  /// A reservation that needs a write is refused when the key-value service has not answered for
  /// this long. The time allows for two consecutive lost answers and a third call.
  std::chrono::milliseconds m_UnavailableAfter{1000};

  GrantStrategy m_GrantStrategy = GrantStrategy::Forecast;

  /// Length of the period whose expected demand a grant covers (strategy `forecast`).
  std::chrono::milliseconds m_GrantHorizon{60000};

  /// Unused allowance is returned to the budget after this time.
  std::chrono::milliseconds m_IdleReturnTime{5000};

  /// Number of routers that may draw on a budget at the same time; at least 1.
  std::int64_t m_ExpectedRouters = 9;

  /// Seed of the random jitter.
  std::uint64_t m_Seed = 1;
};

} // namespace geraniumlift::budget
