#pragma once

#include "base/identifiers.h"
#include "base/nametable.h"
#include "retry/retrytypes.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <string>

namespace geraniumlift::admission {

/// Order in which waiting requests are dispatched.
enum class QueueStrategy { Fifo, FairShare };

inline constexpr auto QueueStrategyNames = std::array{
    base::NamedValue<QueueStrategy>{QueueStrategy::Fifo, "fifo"},
    base::NamedValue<QueueStrategy>{QueueStrategy::FairShare, "fair_share"},
};

/// How the number of this router's requests on a target is limited.
enum class LimitStrategy { Fixed, Adaptive };

inline constexpr auto LimitStrategyNames = std::array{
    base::NamedValue<LimitStrategy>{LimitStrategy::Fixed, "fixed"},
    base::NamedValue<LimitStrategy>{LimitStrategy::Adaptive, "adaptive"},
};

/// Settings of a dispatcher.
struct DispatcherOptions {
  /// Data centre of this router.
  std::string m_DataCentre;

  /// Routers that share the targets, this one included.
  std::int64_t m_ExpectedRouters = 9;

  /// Seed of the random numbers; each router should have a different one.
  std::uint64_t m_Seed = 1;

  routing::TargetStrategy m_TargetStrategy = routing::TargetStrategy::ExpectedWait;

  /// Whether slow targets are ejected from their pool and probed.
  bool m_EjectSlowTargets = true;
  QueueStrategy m_QueueStrategy = QueueStrategy::FairShare;
  LimitStrategy m_LimitStrategy = LimitStrategy::Adaptive;
  retry::RetryOptions m_Retry;

  /// Minimum share of a target's slots that is kept free of other requests, so that short ones can
  /// start, 0 to 1. The share that is kept free grows with the demand for short requests; 0 keeps
  /// no slots free. Only the adaptive limit applies it.
  double m_MinShortShare = 0.05;

  /// Whether targets are asked to serve short requests first, regardless of their priority class.
  /// If not, the level of the class is passed on as the priority.
  bool m_ShortFirstAtTarget = true;

  /// Requests whose expected answer is at most this long count as short, in tokens.
  base::Tokens m_ShortTokens = 64;

  /// Whether a request is refused at once when its expected wait exceeds its deadline.
  bool m_RefuseEarly = true;

  /// Maximum number of waiting requests per pool; further ones are refused with queue_full.
  std::int64_t m_QueueLimit = 1000;
};

/// Options of the baseline that the measurements compare with: round robin, first in first out,
/// fixed limits and blind retries, without ejection, early refusal or preference for short
/// requests.
auto baselineOptions() -> DispatcherOptions;

} // namespace geraniumlift::admission
