#pragma once

#include "base/nametable.h"

#include <chrono>
#include <cstdint>

namespace geraniumlift::retry {

/// How failed attempts are retried. Blind retries at once without a budget; it is the baseline for
/// comparisons.
enum class RetryStrategy { Blind, Budgeted };

inline constexpr auto RetryStrategyNames = std::array{
    base::NamedValue<RetryStrategy>{RetryStrategy::Blind, "blind"},
    base::NamedValue<RetryStrategy>{RetryStrategy::Budgeted, "budgeted"},
};

/// Limits and delays of retries.
struct RetryOptions {
  RetryStrategy m_Strategy = RetryStrategy::Budgeted;

  /// Retries allowed per first attempt, 0 to 1.
  double m_Share = 0.1;

  /// Capacity and initial content of the retry budget, so that a single failure at low traffic is
  /// retried.
  double m_Burst = 10.0;

  /// Maximum number of attempts per request, the first included.
  std::int64_t m_MaxAttempts = 3;

  /// Upper limit of the first backoff; it doubles with each further attempt.
  std::chrono::milliseconds m_BaseDelay{50};

  /// Upper limit of every backoff.
  std::chrono::milliseconds m_MaxDelay{2000};
};

} // namespace geraniumlift::retry
