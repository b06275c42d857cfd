#pragma once

#include "budget/budgetrecord.h"

namespace geraniumlift::geraniumctl::internal {

/// Where the tokens of a budget are. The last three add up to the first.
struct BudgetBalance {
  base::Tokens m_ToppedUp = 0;

  /// Billed.
  base::Tokens m_Settled = 0;

  /// Held by routers and not billed.
  base::Tokens m_Granted = 0;

  /// Not granted to any router.
  base::Tokens m_Left = 0;
};

/// The figures of one record.
auto computeBalance(const budget::BudgetRecord &Record) -> BudgetBalance;

} // namespace geraniumlift::geraniumctl::internal
