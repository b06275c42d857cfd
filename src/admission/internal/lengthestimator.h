#pragma once

#include "admission/dispatchtypes.h"

#include <map>
#include <tuple>

namespace geraniumlift::admission {

/// Expected size of a request.
struct LengthEstimate {
  /// Tokens of the answer.
  double m_AnswerTokens = 0.0;

  /// Time on a slot, in seconds.
  double m_RunSeconds = 0.0;
};

/// Learns how long requests run from finished ones of the same pool, workspace and size of the
/// caller's limit. Stragglers cannot be told apart beforehand; they raise the mean of their group.
class LengthEstimator {
public:
  [[nodiscard]] auto estimate(const WorkItem &Item) const -> LengthEstimate;

  /// Takes in a finished request.
  auto addSample(const WorkItem &Item, const LengthEstimate &Measured) -> void;

private:
  struct GroupKey {
    std::string m_Pool;
    std::string m_Workspace;

    /// Binary logarithm of the caller's limit on the answer.
    int m_LimitMagnitude = 0;

    auto operator<(const GroupKey &Other) const -> bool {
      return std::tie(m_Pool, m_Workspace, m_LimitMagnitude) <
             std::tie(Other.m_Pool, Other.m_Workspace, Other.m_LimitMagnitude);
    }
  };

  static auto groupKeyOf(const WorkItem &Item) -> GroupKey;

  std::map<GroupKey, LengthEstimate> m_Estimates;
};

} // namespace geraniumlift::admission
