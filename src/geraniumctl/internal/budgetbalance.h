#pragma once

#include "budget/budgetrecord.h"

namespace geraniumlift::geraniumctl::internal {

/// Distribution of the tokens of a budget. m_Settled, m_Granted and m_Left add up to m_ToppedUp.
struct BudgetBalance {
  base::Tokens m_ToppedUp = 0;

  /// Tokens already billed.
  base::Tokens m_Settled = 0;

  /// Tokens granted to routers and not yet billed.
  base::Tokens m_Granted = 0;

  /// Tokens not granted to any router.
  base::Tokens m_Left = 0;
};

/// Computes the balance from a stored budget record.
auto computeBalance(const budget::BudgetRecord &Record) -> BudgetBalance;

} // namespace geraniumlift::geraniumctl::internal
