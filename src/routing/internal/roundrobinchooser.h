#pragma once

#include "routing/itargetchooser.h"

namespace geraniumlift::routing {

/// Takes the targets in turn, in the order of their names, without regard to their load.
class RoundRobinChooser final : public ITargetChooser {
public:
  auto choose(const std::vector<const TargetView *> &Candidates, const RequestTraits &Request,
              base::SteadyTime Now, base::RandomEngine &Random) -> std::size_t override;

private:
  /// Name of the last chosen target. Unlike an index, it stays valid when the candidates change.
  std::string m_Last;
};

} // namespace geraniumlift::routing
