#pragma once

#include "base/iclock.h"
#include "base/random.h"
#include "base/verdict.h"
#include "retry/retrybudget.h"

#include <optional>

namespace geraniumlift::retry {

/// A failed attempt for which a retry is asked.
struct FailedAttempt {
  /// Attempts made so far, this one included.
  std::int64_t m_Attempts = 1;
  bool m_Idempotent = true;
  base::Verdict m_Verdict = base::Verdict::MayHaveRun;
  base::SteadyTime m_Deadline;
};

/// Decides whether and when a failed attempt is repeated. Non-idempotent work is repeated only
/// after DidNotRun, whatever the strategy.
class RetryPolicy {
public:
  explicit RetryPolicy(const RetryOptions &Options);

  /// Counts a fresh request towards the retry budget.
  auto onFirstAttempt() -> void;

  /// Returns the time of the next attempt, or nothing if the request must not be repeated.
  auto nextAttempt(const FailedAttempt &Failed, base::SteadyTime Now, base::RandomEngine &Random)
      -> std::optional<base::SteadyTime>;

private:
  auto backoff(std::int64_t Attempts, base::RandomEngine &Random) const
      -> std::chrono::milliseconds;

  RetryOptions m_Options;
  RetryBudget m_Budget;
};

} // namespace geraniumlift::retry
