#pragma once

#include "routing/itargetchooser.h"

namespace geraniumlift::routing {

/// Draws two targets at random and takes the one with fewer outstanding requests of this router
/// (power of two choices).
class TwoChoicesChooser final : public ITargetChooser {
public:
  auto choose(const std::vector<const TargetView *> &Candidates, const RequestTraits &Request,
              base::SteadyTime Now, base::RandomEngine &Random) -> std::size_t override;
};

} // namespace geraniumlift::routing
