#include "geraniumctl/internal/budgetfigures.h"

namespace geraniumlift::geraniumctl::internal {

auto figuresOf(const budget::BudgetRecord &Record) -> BudgetFigures {
  auto Figures = BudgetFigures{.m_ToppedUp = Record.m_ToppedUp,
                               .m_Settled = Record.m_RetiredSettled,
                               .m_Granted = 0,
                               .m_Left = budget::freeTokens(Record)};
  for (const auto &Holder : Record.m_Holders) {
    Figures.m_Settled += Holder.m_Settled;
    Figures.m_Granted += Holder.m_Granted - Holder.m_Settled;
  }
  return Figures;
}

} // namespace geraniumlift::geraniumctl::internal
