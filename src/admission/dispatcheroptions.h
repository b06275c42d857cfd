#pragma once

#include "base/identifiers.h"
#include "base/nametable.h"
#include "retry/retrytypes.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <string>

namespace geraniumlift::admission {

/// In which order waiting requests are dispatched.
enum class QueueStrategy { Fifo, FairShare };

inline constexpr auto QueueStrategyNames = std::array{
    base::NamedValue<QueueStrategy>{QueueStrategy::Fifo, "fifo"},
    base::NamedValue<QueueStrategy>{QueueStrategy::FairShare, "fair_share"},
};

/// How many requests this router keeps on a target.
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

  /// Seed of the random numbers; routers should have different ones.
  std::uint64_t m_Seed = 1;

  routing::TargetStrategy m_TargetStrategy = routing::TargetStrategy::ExpectedWait;

  /// Whether slow targets are ejected from their pool and probed.
  bool m_EjectSlowTargets = true;
  QueueStrategy m_QueueStrategy = QueueStrategy::FairShare;
  LimitStrategy m_LimitStrategy = LimitStrategy::Adaptive;
  retry::RetryOptions m_Retry;

  /// Least part of a target's slots that other work does not count on, so that short work finds
  /// room, 0 to 1; it grows with the short work that comes in, and is none if this is 0. The
  /// adaptive limit honours it.
  double m_MinShortShare = 0.05;

  /// Whether targets are asked to serve short work first, whatever its class. Otherwise the level
  /// of the class is passed on.
  bool m_ShortFirstAtTarget = true;

  /// Requests whose expected answer is at most this long count as short, in tokens.
  base::Tokens m_ShortTokens = 64;

  /// Whether a request is refused at once when its expected wait exceeds its deadline.
  bool m_RefuseEarly = true;

  /// Waiting requests per pool; more are refused with queue_full.
  std::int64_t m_QueueLimit = 1000;
};

/// The baseline of the measurements: round robin, first in first out, fixed limits, blind retries.
auto baselineOptions() -> DispatcherOptions;

} // namespace geraniumlift::admission
