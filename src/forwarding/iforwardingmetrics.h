#pragma once

#include "forwarding/routetypes.h"

#include <string_view>

namespace geraniumlift::forwarding {

/// How a request ended.
struct RequestOutcome {
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::string_view m_Pool;

  /// "answered", "failed_by_target", "caller_left" or the name of a refusal.
  std::string_view m_Result;
  std::chrono::milliseconds m_FirstByte{0};
  std::chrono::milliseconds m_Total{0};
  bool m_HasFirstByte = false;
};

/// Counts requests and their times.
class IForwardingMetrics {
public:
  virtual ~IForwardingMetrics() = default;
  virtual auto onRequestEnded(const RequestOutcome &Outcome) -> void = 0;
  virtual auto onRetry(std::string_view Pool) -> void = 0;
};

} // namespace geraniumlift::forwarding
