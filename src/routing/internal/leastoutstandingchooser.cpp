#include "routing/internal/leastoutstandingchooser.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace geraniumlift::routing {

auto LeastOutstandingChooser::choose(const std::vector<const TargetView *> &Candidates,
                                     const RequestTraits & /*Request*/, base::SteadyTime /*Now*/,
                                     base::RandomEngine &Random) -> std::size_t {
  const auto Size = Candidates.size();
  const auto Start = boost::random::uniform_int_distribution<std::size_t>(0, Size - 1)(Random);
  auto Best = Start;
  for (auto Step = std::size_t{1}; Step < Size; ++Step) {
    const auto Index = (Start + Step) % Size;
    if (Candidates[Index]->outstanding() < Candidates[Best]->outstanding()) {
      Best = Index;
    }
  }
  return Best;
}

} // namespace geraniumlift::routing
