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

/// Estimates the length of a request as the weighted mean of finished ones of the same group, which
/// is made up of the pool, the workspace and the magnitude of the caller's limit. Unusually long
/// requests cannot be recognised in advance; they raise the mean of their group.
class LengthEstimator {
public:
  [[nodiscard]] auto estimate(const WorkItem &Item) const -> LengthEstimate;

  /// Adds the measured length of a finished request to the weighted mean of its group.
  auto addSample(const WorkItem &Item, const LengthEstimate &Measured) -> void;

private:
  struct GroupKey {
    std::string m_Pool;
    std::string m_Workspace;

    /// Number of bits of the caller's limit on the answer, which is in tokens.
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
