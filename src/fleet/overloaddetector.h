#pragma once

#include "base/iclock.h"

#include <optional>

namespace geraniumlift::fleet {

/// What a router sees of its own load at one moment.
struct LoadObservation {
  /// Strain of the link; 1 if it is full. See forwarding::UplinkGuard::strain().
  double m_UplinkStrain = 0.0;

  /// How late the event loop ran a timer.
  std::chrono::milliseconds m_LoopDelay{0};

  /// Open sessions as a share of those that the router may have.
  double m_SessionShare = 0.0;
};

/// Thresholds of an OverloadDetector.
struct OverloadOptions {
  /// Delay of the event loop at which the processor counts as full.
  std::chrono::milliseconds m_FullLoopDelay{250};

  /// Share of the sessions at which there are too many.
  double m_FullSessionShare = 0.85;

  /// Time over which observations are averaged.
  std::chrono::milliseconds m_SmoothingTime{600};

  /// Averaged strain at which a router is past its capacity.
  double m_OverloadedStrain = 0.95;

  /// A router is back once its strain has been below this for the time.
  double m_CalmStrain = 0.5;
  std::chrono::milliseconds m_CalmTime{4000};
};

/// Tells when a router is past its capacity: its link or its processor is full, or it has too many
/// sessions. Answers callers that all are sent to a VM which cannot serve them. The state ends only
/// after a time of calm, since callers close connections to routers that drop out of their lists.
class OverloadDetector {
public:
  explicit OverloadDetector(OverloadOptions Options = {}) : m_Options(Options) {}

  /// Adds an observation. Returns whether the state has changed.
  auto observe(const LoadObservation &Observation, base::SteadyTime Now) -> bool;

  [[nodiscard]] auto isOverloaded() const -> bool { return m_IsOverloaded; }

  /// Averaged strain of the scarcest resource; 1 if it is full.
  [[nodiscard]] auto strain() const -> double { return m_Strain; }

private:
  OverloadOptions m_Options;
  double m_Strain = 0.0;
  bool m_IsOverloaded = false;
  std::optional<base::SteadyTime> m_ObservedAt;

  /// When the strain was last too high for calm.
  base::SteadyTime m_StrainedAt;
};

} // namespace geraniumlift::fleet
