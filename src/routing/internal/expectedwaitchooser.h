#pragma once

#include "routing/itargetchooser.h"

namespace geraniumlift::routing {

/// Draws two targets at random and takes the one with the lower expected cost in seconds. The cost
/// adds up the expected wait, estimated from own requests and lagged reports, the extra run time on
/// a slow target, a small charge for used slots and the latency to another data centre, less the
/// prompt processing time that a cached prefix saves. Targets that have the prefix are candidates
/// as well, unless their load is clearly above the mean.
class ExpectedWaitChooser final : public ITargetChooser {
public:
  explicit ExpectedWaitChooser(ChooserSettings Settings);

  auto choose(const std::vector<const TargetView *> &Candidates, const RequestTraits &Request,
              base::SteadyTime Now, base::RandomEngine &Random) -> std::size_t override;

private:
  /// Estimated outstanding requests of all routers on a target, in total and per slot.
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
