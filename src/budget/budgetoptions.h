#pragma once

#include "base/identifiers.h"
#include "budget/grantstrategy.h"

#include <chrono>
#include <cstdint>

namespace geraniumlift::budget {

/// Settings of the budget service of one router.
struct BudgetOptions {
  /// This life of this router.
  base::HolderId m_Holder;

  /// Bills that end within this time share one write. It stretches while writes conflict.
  std::chrono::milliseconds m_CommitInterval{50};

  /// The end of an answer waits at most this long for the settlement to land.
  std::chrono::milliseconds m_BillHold{2000};

  /// A reservation that needs a write is refused when the key-value service has not answered for
  /// this long. Two lost answers in a row and a third call fit in.
  std::chrono::milliseconds m_UnavailableAfter{1000};

  GrantStrategy m_GrantStrategy = GrantStrategy::Forecast;

  /// Time of demand that a grant covers (strategy `forecast`).
  std::chrono::milliseconds m_GrantHorizon{60000};

  /// Unused allowance goes back after this time.
  std::chrono::milliseconds m_IdleReturnTime{5000};

  /// Routers that may draw on a budget at the same time; at least 1.
  std::int64_t m_ExpectedRouters = 9;

  /// Seed of the jitter.
  std::uint64_t m_Seed = 1;
};

} // namespace geraniumlift::budget
