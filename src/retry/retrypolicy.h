#pragma once

#include "base/iclock.h"
#include "base/random.h"
#include "base/verdict.h"
#include "retry/retrybudget.h"

#include <optional>

namespace geraniumlift::retry {

/// A failed attempt that may be retried.
struct FailedAttempt {
  /// Number of attempts so far, this one included.
  std::int64_t m_Attempts = 1;
  bool m_Idempotent = true;
  base::Verdict m_Verdict = base::Verdict::MayHaveRun;

  /// Deadline of the request; no retry starts at or after it.
  base::SteadyTime m_Deadline;
};

/// Decides whether and when a failed attempt is retried. With any strategy, non-idempotent requests
/// are retried only after DidNotRun.
class RetryPolicy {
public:
  explicit RetryPolicy(const RetryOptions &Options);

  /// Credits a first attempt to the retry budget.
  auto onFirstAttempt() -> void;

  /// Returns the time of the next attempt, or nothing if the request must not be retried. Takes the
  /// retry from the budget, except with RetryStrategy::Blind.
  auto nextAttempt(const FailedAttempt &Failed, base::SteadyTime Now, base::RandomEngine &Random)
      -> std::optional<base::SteadyTime>;

private:
  /// Returns a random delay between half and all of the exponential backoff.
  auto backoff(std::int64_t Attempts, base::RandomEngine &Random) const
      -> std::chrono::milliseconds;

  RetryOptions m_Options;
  RetryBudget m_Budget;
};

} // namespace geraniumlift::retry
