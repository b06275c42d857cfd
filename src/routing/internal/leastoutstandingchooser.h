#pragma once

#include "routing/itargetchooser.h"

namespace geraniumlift::routing {

/// Takes the target with the fewest outstanding requests of this router; ties are broken at random.
class LeastOutstandingChooser final : public ITargetChooser {
public:
  auto choose(const std::vector<const TargetView *> &Candidates, const RequestTraits &Request,
              base::SteadyTime Now, base::RandomEngine &Random) -> std::size_t override;
};

} // namespace geraniumlift::routing
