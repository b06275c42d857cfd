#include "routing/internal/twochoiceschooser.h"

#include "routing/internal/drawtwoindices.h"

namespace geraniumlift::routing {

auto TwoChoicesChooser::choose(const std::vector<const TargetView *> &Candidates,
                               const RequestTraits & /*Request*/, base::SteadyTime /*Now*/,
                               base::RandomEngine &Random) -> std::size_t {
  const auto [First, Second] = drawTwoIndices(Candidates.size(), Random);
  return Candidates[Second]->outstanding() < Candidates[First]->outstanding() ? Second : First;
}

} // namespace geraniumlift::routing
