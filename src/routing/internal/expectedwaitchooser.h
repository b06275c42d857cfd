#pragma once

#include "routing/itargetchooser.h"

namespace geraniumlift::routing {

/// Draws two targets at random and takes the one with the lower expected cost: the expected wait
/// from own work and lagged reports, the extra time on a slow target, the distance, and the prompt
/// time saved by a cached prefix. A target that has the prefix joins as a third candidate unless it
/// is loaded clearly above the others.
class ExpectedWaitChooser final : public ITargetChooser {
public:
  explicit ExpectedWaitChooser(ChooserSettings Settings);

  auto choose(const std::vector<const TargetView *> &Candidates, const RequestTraits &Request,
              base::SteadyTime Now, base::RandomEngine &Random) -> std::size_t override;

private:
  /// Estimated requests of all routers per slot.
  struct Load {
    double m_Requests = 0.0;
    double m_PerSlot = 0.0;
  };

  auto estimateLoad(const TargetView &View, double ExpectedOthers, base::SteadyTime Now) const
      -> Load;
  auto estimateCost(const TargetView &View, const Load &Load, const RequestTraits &Request) const
      -> double;

  ChooserSettings m_Settings;
};

} // namespace geraniumlift::routing
