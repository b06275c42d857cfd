#pragma once

#include "base/iclock.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace geraniumlift::orders {

/// The creation revision of the lease key. A later issuer has a higher one.
using FencingNumber = std::int64_t;

/// Models that an engine serves, and its role.
struct EngineState {
  std::set<std::string> m_Models;
  std::string m_Role;

  auto operator==(const EngineState &) const -> bool = default;
};

/// State that the operators desire of a target.
struct DesiredTarget {
  std::string m_Target;

  /// Whether the target refuses orders with an old fencing number.
  bool m_ChecksFencing = false;
  EngineState m_DesiredState;
};

/// Asks a target to reach a desired state. Orders are idempotent.
struct Order {
  std::string m_Target;
  FencingNumber m_Fencing = 0;
  EngineState m_DesiredState;

  /// Models that the target has to read from the weight store.
  std::int64_t m_Loads = 0;
};

/// Limits of the planner.
struct OrderLimits {
  /// Maximum time from the sending of an order to the end of its effect.
  std::chrono::milliseconds m_MaxOrderDuration{120'000};

  /// No order is sent within this time before the end of the lease, to allow for different clock
  /// rates and for the latency to the target.
  std::chrono::milliseconds m_LeaseMargin{2'000};

  /// Maximum age of a state; an older one is read again before an order is sent.
  std::chrono::milliseconds m_MaxStateAge{5'000};

  /// Maximum number of model loads from the weight store per second, for the whole pool.
  double m_LoadsPerSecond = 1.0;
};

} // namespace geraniumlift::orders
