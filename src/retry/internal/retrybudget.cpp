#include "retry/retrybudget.h"

#include <algorithm>

namespace geraniumlift::retry {

RetryBudget::RetryBudget(const RetryOptions &Options)
    : m_Share(Options.m_Share), m_Burst(Options.m_Burst), m_Available(Options.m_Burst) {}

auto RetryBudget::setOptions(const RetryOptions &Options) -> void {
  m_Share = Options.m_Share;
  m_Burst = Options.m_Burst;
  m_Available = std::min(m_Available, m_Burst);
}

auto RetryBudget::onFirstAttempt() -> void {
  m_Available = std::min(m_Burst, m_Available + m_Share);
}

auto RetryBudget::tryAcquire() -> bool {
  if (m_Available < 1.0) {
    return false;
  }
  m_Available -= 1.0;
  return true;
}

auto RetryBudget::available() const -> double { return m_Available; }

} // namespace geraniumlift::retry
