#pragma once

#include "base/nametable.h"

#include <chrono>
#include <cstdint>

namespace geraniumlift::retry {

/// How failed attempts are repeated. Blind repeats at once without a budget and serves as baseline.
enum class RetryStrategy { Blind, Budgeted };

inline constexpr auto RetryStrategyNames = std::array{
    base::NamedValue<RetryStrategy>{RetryStrategy::Blind, "blind"},
    base::NamedValue<RetryStrategy>{RetryStrategy::Budgeted, "budgeted"},
};

/// Settings of the retries of one router.
struct RetryOptions {
  RetryStrategy m_Strategy = RetryStrategy::Budgeted;

  /// Retries allowed per fresh request, 0 to 1.
  double m_Share = 0.1;

  /// Retries that an idle router may save up, so that a single failure at low traffic is retried.
  double m_Burst = 10.0;

  /// Attempts on targets per request, the first included.
  std::int64_t m_MaxAttempts = 3;

  /// Upper limit of the first backoff; it doubles with each further attempt.
  std::chrono::milliseconds m_BaseDelay{50};

  /// Upper limit of every backoff.
  std::chrono::milliseconds m_MaxDelay{2000};
};

} // namespace geraniumlift::retry
