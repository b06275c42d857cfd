#pragma once

#include "retry/retrytypes.h"

namespace geraniumlift::retry {

/// Token bucket that limits retries to a share of first attempts, so that retries do not multiply
/// the load during an outage.
class RetryBudget {
public:
  explicit RetryBudget(const RetryOptions &Options);

  /// Applies changed options. Retries beyond a smaller capacity are dropped.
  auto setOptions(const RetryOptions &Options) -> void;

  /// Adds the share of retries that one first attempt allows.
  auto onFirstAttempt() -> void;

  /// Takes one retry from the budget. Returns false if less than one is available.
  auto tryAcquire() -> bool;

  /// Number of retries in the budget, with fractions.
  [[nodiscard]] auto available() const -> double;

private:
  double m_Share;
  double m_Burst;
  double m_Available;
};

} // namespace geraniumlift::retry
