#include "admission/internal/lengthestimator.h"

#include <algorithm>
#include <bit>

namespace geraniumlift::admission {

namespace {

/// Weight of a new sample in the mean. About 30 requests replace the old mean, so that one
/// unusually long request changes it little.
constexpr auto SampleWeight = 1.0 / 32.0;

/// Assumptions for a group without samples: answers reach half of the caller's limit, 35 ms pass
/// between tokens (the goal in section 1 of the design), and 5,000 prompt tokens are processed per
/// second.
constexpr auto DefaultAnswerShareOfLimit = 0.5;
constexpr auto DefaultSecondsPerToken = 0.035;
constexpr auto DefaultPromptTokensPerSecond = 5000.0;

} // namespace

auto LengthEstimator::groupKeyOf(const WorkItem &Item) -> GroupKey {
  const auto Limit = static_cast<std::uint64_t>(std::max<base::Tokens>(0, Item.m_MaxTokens));
  return {Item.m_Pool, Item.m_Workspace, static_cast<int>(std::bit_width(Limit))};
}

auto LengthEstimator::estimate(const WorkItem &Item) const -> LengthEstimate {
  const auto Known = m_Estimates.find(groupKeyOf(Item));
  if (Known != m_Estimates.end()) {
    return Known->second;
  }
  const auto AnswerTokens = DefaultAnswerShareOfLimit * static_cast<double>(Item.m_MaxTokens);
  const auto PromptSeconds =
      static_cast<double>(Item.m_PromptTokens) / DefaultPromptTokensPerSecond;
  return {AnswerTokens, PromptSeconds + AnswerTokens * DefaultSecondsPerToken};
}

auto LengthEstimator::addSample(const WorkItem &Item, const LengthEstimate &Measured) -> void {
  auto [Known, IsNew] = m_Estimates.try_emplace(groupKeyOf(Item), estimate(Item));
  auto &Estimate = Known->second;
  Estimate.m_AnswerTokens += SampleWeight * (Measured.m_AnswerTokens - Estimate.m_AnswerTokens);
  Estimate.m_RunSeconds += SampleWeight * (Measured.m_RunSeconds - Estimate.m_RunSeconds);
}

} // namespace geraniumlift::admission
