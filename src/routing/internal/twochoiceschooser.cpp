#include "routing/internal/twochoiceschooser.h"

#include "routing/internal/drawtwo.h"

namespace geraniumlift::routing {

auto TwoChoicesChooser::choose(const std::vector<const TargetView *> &Candidates,
                               const ChoiceRequest & /*Request*/, base::SteadyTime /*Now*/,
                               base::RandomEngine &Random) -> std::size_t {
  const auto [First, Second] = drawTwo(Candidates.size(), Random);
  return Candidates[Second]->outstanding() < Candidates[First]->outstanding() ? Second : First;
}

} // namespace geraniumlift::routing
