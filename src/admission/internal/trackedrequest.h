#pragma once

#include "admission/internal/iworkqueue.h"
#include "admission/internal/lengthestimator.h"

namespace geraniumlift::admission {

enum class RequestState { Waiting, BackingOff, Dispatched };

/// A request that the dispatcher has accepted and that has not ended, with its current attempt.
struct TrackedRequest {
  WorkItem m_Item;
  LengthEstimate m_Expected;
  RequestState m_State = RequestState::Waiting;
  std::int64_t m_Attempts = 0;

  /// Target of the current or last attempt.
  std::string m_Target;
  base::SteadyTime m_DispatchedAt;
  std::optional<base::SteadyTime> m_FirstTokenAt;
  base::Tokens m_AnswerTokens = 0;

  /// Time when tokens last arrived.
  base::SteadyTime m_LastProgress;

  /// End of the backoff in the state BackingOff.
  base::SteadyTime m_NotBefore;
};

} // namespace geraniumlift::admission
