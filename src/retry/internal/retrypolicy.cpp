#include "retry/retrypolicy.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>

namespace geraniumlift::retry {

RetryPolicy::RetryPolicy(const RetryOptions &Options) : m_Options(Options), m_Budget(Options) {}

auto RetryPolicy::onFirstAttempt() -> void { m_Budget.onFirstAttempt(); }

auto RetryPolicy::nextAttempt(const FailedAttempt &Failed, base::SteadyTime Now,
                              base::RandomEngine &Random) -> std::optional<base::SteadyTime> {
  if (!Failed.m_Idempotent && Failed.m_Verdict != base::Verdict::DidNotRun) {
    return std::nullopt;
  }
  if (Failed.m_Attempts >= m_Options.m_MaxAttempts) {
    return std::nullopt;
  }
  if (m_Options.m_Strategy == RetryStrategy::Blind) {
    return Now;
  }
  const auto Next = Now + backoff(Failed.m_Attempts, Random);
  if (Next >= Failed.m_Deadline || !m_Budget.tryAcquire()) {
    return std::nullopt;
  }
  return Next;
}

auto RetryPolicy::backoff(std::int64_t Attempts, base::RandomEngine &Random) const
    -> std::chrono::milliseconds {
  // Limits the shift: ten doublings exceed any practical m_MaxDelay, and many more would overflow.
  const auto Doublings = std::min<std::int64_t>(Attempts - 1, 10);
  const auto Longest =
      std::min(m_Options.m_BaseDelay * (std::int64_t{1} << Doublings), m_Options.m_MaxDelay);
  // Half of the delay is random, which spreads retries of requests that failed together; the other
  // half guarantees a minimum delay.
  auto Jitter =
      boost::random::uniform_int_distribution<std::int64_t>(Longest.count() / 2, Longest.count());
  return std::chrono::milliseconds{Jitter(Random)};
}

} // namespace geraniumlift::retry
