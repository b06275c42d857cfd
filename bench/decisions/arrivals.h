#pragma once

#include "base/iclock.h"
#include "decisions/workload.h"

namespace geraniumlift::bench {

/// A request as planned before the run. Times count from the start of the run, in seconds.
struct PlannedRequest {
  double m_SendSeconds = 0.0;
  double m_DeadlineSeconds = 0.0;

  /// Places in the workload's lists.
  std::size_t m_Flow = 0;
  std::size_t m_Pool = 0;
  std::int64_t m_Caller = 0;
  base::Tokens m_PromptTokens = 0;
  base::Tokens m_AnswerTokens = 0;

  /// 0 if the prompt has no shared prefix.
  std::uint64_t m_PrefixHash = 0;
  bool m_AtPeak = false;
};

/// Seconds that the request needs on a slot of an unslowed target.
auto slotSeconds(const Workload &Load, const PlannedRequest &Request, bool PrefixCached) -> double;

/// Draws the requests of a run in order of their send times. The plan depends on the workload and
/// the seed only, so that every policy meets the same arrivals (open loop).
auto planRequests(const Workload &Load, std::uint64_t Seed) -> std::vector<PlannedRequest>;

} // namespace geraniumlift::bench
