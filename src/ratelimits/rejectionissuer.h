#pragma once

#include "ratelimits/permitissuer.h"

#include <deque>

namespace geraniumlift::ratelimits {

/// Gives out permits for brittle targets, which fall over if they must turn away more than a number
/// of requests within a second, on the one router that keeps them. Each permit may end in a
/// rejection until its outcome is known or that much time has passed that it would be; these and
/// the rejections of the last second together stay within the number. Does no input or output.
class RejectionIssuer {
public:
  /// Whether a permit may be given out for a target that bears so many rejections a second.
  auto check(TargetKey Target, double MaxRejections, base::SteadyTime Now) -> PermitDecision;

  /// Records that a permit was given out.
  auto onGranted(TargetKey Target, base::SteadyTime Now) -> void;

  /// Records the outcome of a permit.
  auto onOutcome(TargetKey Target, bool IsRejected, base::SteadyTime Now) -> void;

  auto removeExpired(base::SteadyTime Now) -> void;

private:
  /// Share of the number that is used. The rest is for requests without permits, such as those of
  /// routers that have not heard of it yet.
  static constexpr auto UsableShare = 0.75;

  /// A target turns a request away at once, so that one without an outcome counts as taken after
  /// this time.
  static constexpr auto OutcomeTime = std::chrono::milliseconds(100);

  /// Time for which a rejection counts: a second, and the time that a message may take.
  static constexpr auto RejectionTime = std::chrono::milliseconds(1100);

  /// Wait that is told while the outcomes of permits are open.
  static constexpr auto OpenWait = std::chrono::milliseconds(30);

  /// Time without a request after which the state of a target is dropped.
  static constexpr auto Retention = std::chrono::seconds(10);

  struct State {
    /// A keeper does not know what its predecessor saw, so that it begins with one permit at a
    /// time.
    base::SteadyTime m_Since;
    base::SteadyTime m_LastUse;

    /// When the permits without a known outcome were given out, and when rejections were reported.
    std::deque<base::SteadyTime> m_Open;
    std::deque<base::SteadyTime> m_Rejections;
  };

  auto stateOf(TargetKey Target, base::SteadyTime Now) -> State &;

  absl::flat_hash_map<TargetKey, State> m_States;
};

} // namespace geraniumlift::ratelimits
