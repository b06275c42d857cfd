#pragma once

#include "ratelimits/limittypes.h"

#include <functional>

namespace geraniumlift::ratelimits {

/// Result of a request for a permit.
struct PermitOutcome {
  bool m_IsGranted = false;

  /// If it was not granted, time until a permit may be free; 0 if that is unknown.
  std::chrono::milliseconds m_RetryAfter{0};
};

/// Tells which targets may get requests now, where targets name limits, are brittle or are cold.
/// Forwarding reports what targets say and takes a permit for each request that it sends to such a
/// target.
class ITargetLimits {
public:
  virtual ~ITargetLimits() = default;

  /// Whether a request may be sent to the target now.
  [[nodiscard]] virtual auto maySend(TargetKey Target) const -> bool = 0;

  /// Time until a permit for the target may be free; nothing if one may be free now.
  [[nodiscard]] virtual auto retryAfter(TargetKey Target) const
      -> std::optional<std::chrono::milliseconds> = 0;

  /// Whether the target is cold, so that it takes few requests.
  [[nodiscard]] virtual auto isCold(TargetKey Target) const -> bool = 0;

  /// Takes the permit for a request that is being sent.
  virtual auto onSend(TargetKey Target) -> void = 0;

  /// Records what the target's answer says of its needs.
  virtual auto onAnswer(TargetKey Target, const TargetNeeds &Needs) -> void = 0;

  /// Records whether the target turned a request away or took it.
  virtual auto onOutcome(TargetKey Target, bool IsRejected) -> void = 0;

  /// Requests a permit. The callback runs once, after the call has returned.
  virtual auto requestPermit(TargetKey Target, std::function<void(PermitOutcome)> Done) -> void = 0;
};

} // namespace geraniumlift::ratelimits
