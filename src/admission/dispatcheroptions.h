#pragma once

#include "base/nametable.h"
#include "retry/retrytypes.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <string>

namespace geraniumlift::admission {

/// In which order waiting requests are dispatched.
enum class QueueOrder { Fifo };

inline constexpr auto QueueOrderNames = std::array{
    base::NamedValue<QueueOrder>{QueueOrder::Fifo, "fifo"},
};

/// How many requests this router keeps on a target.
enum class LimitKind { Fixed };

inline constexpr auto LimitKindNames = std::array{
    base::NamedValue<LimitKind>{LimitKind::Fixed, "fixed"},
};

/// Settings of a dispatcher.
struct DispatcherOptions {
  /// Data centre of this router.
  std::string m_DataCentre;

  /// Routers that share the targets, this one included.
  std::int64_t m_ExpectedRouters = 9;

  /// Seed of the random numbers; routers should have different ones.
  std::uint64_t m_Seed = 1;

  routing::TargetChoice m_TargetChoice = routing::TargetChoice::ExpectedWait;

  /// Whether slow targets are ejected from their pool and probed.
  bool m_EjectSlowTargets = true;
  QueueOrder m_QueueOrder = QueueOrder::Fifo;
  LimitKind m_LimitKind = LimitKind::Fixed;
  retry::RetryOptions m_Retry;

  /// Waiting requests per pool; more are refused with queue_full.
  std::int64_t m_QueueLimit = 1000;
};

/// The baseline of the measurements: round robin, first in first out, fixed limits, blind retries.
auto naiveOptions() -> DispatcherOptions;

} // namespace geraniumlift::admission
