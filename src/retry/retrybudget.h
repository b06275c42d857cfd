#pragma once

#include "retry/retrytypes.h"

namespace geraniumlift::retry {

/// Bounds retries to a share of fresh work, so that retries do not multiply an outage.
class RetryBudget {
public:
  explicit RetryBudget(const RetryOptions &Options);

  /// Adds the share of one fresh request.
  auto onFirstAttempt() -> void;

  /// Takes one retry out of the budget. Returns false if the budget is used up.
  auto tryAcquire() -> bool;

  /// Retries that may be taken now.
  [[nodiscard]] auto available() const -> double;

private:
  double m_Share;
  double m_Burst;
  double m_Available;
};

} // namespace geraniumlift::retry
