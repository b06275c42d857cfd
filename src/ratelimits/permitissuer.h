#pragma once

#include "ratelimits/limittypes.h"

#include <absl/container/flat_hash_map.h>

namespace geraniumlift::ratelimits {

/// Answer of a PermitIssuer.
struct PermitDecision {
  bool m_IsGranted = false;

  /// If it is not granted, time until a permit may be free.
  std::chrono::milliseconds m_RetryAfter{0};
};

/// Gives out the permits of targets at the rates of their limits, on the one router that keeps
/// them. Answers a load in which more requests want a target than it takes: the first to ask get
/// it. A keeper that takes over begins without permits, so that those of its predecessor have
/// expired when it gives out as many again. Does no input or output.
class PermitIssuer {
public:
  auto request(TargetKey Target, double PerSecond, base::SteadyTime Now) -> PermitDecision {
    return request(Target, PerSecond, defaultBurst(PerSecond), Now);
  }

  /// As above, with the number of permits that may gather while nobody asks, at least 1.
  auto request(TargetKey Target, double PerSecond, double Burst, base::SteadyTime Now)
      -> PermitDecision;

  /// The permits that gather for a limit that comes without a burst.
  [[nodiscard]] static auto defaultBurst(double PerSecond) -> double;
  auto removeExpired(base::SteadyTime Now) -> void;

private:
  /// Permits that may gather while nobody asks: those of this time, but at least MinGathered.
  static constexpr auto MaxGatheringTime = std::chrono::milliseconds(1000);
  static constexpr auto MinGathered = 2.0;

  /// Time without a request after which the state of a target is dropped.
  static constexpr auto Retention = std::chrono::seconds(10);

  struct Bucket {
    double m_Permits = 0.0;
    base::SteadyTime m_FilledAt;
  };

  absl::flat_hash_map<TargetKey, Bucket> m_Buckets;
};

} // namespace geraniumlift::ratelimits
