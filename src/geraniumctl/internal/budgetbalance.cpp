#include "geraniumctl/internal/budgetbalance.h"

namespace geraniumlift::geraniumctl::internal {

auto computeBalance(const budget::BudgetRecord &Record) -> BudgetBalance {
  auto Balance = BudgetBalance{.m_ToppedUp = Record.m_ToppedUp,
                               .m_Settled = Record.m_RetiredSettled,
                               .m_Granted = 0,
                               .m_Left = budget::freeTokens(Record)};
  for (const auto &Holder : Record.m_Holders) {
    Balance.m_Settled += Holder.m_Settled;
    Balance.m_Granted += Holder.m_Granted - Holder.m_Settled;
  }
  return Balance;
}

} // namespace geraniumlift::geraniumctl::internal
