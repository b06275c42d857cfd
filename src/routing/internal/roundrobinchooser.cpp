#include "routing/internal/roundrobinchooser.h"

namespace geraniumlift::routing {

auto RoundRobinChooser::choose(const std::vector<const TargetView *> &Candidates,
                               const ChoiceRequest & /*Request*/, base::SteadyTime /*Now*/,
                               base::RandomEngine & /*Random*/) -> std::size_t {
  auto Place = std::size_t{0};
  while (Place < Candidates.size() && Candidates[Place]->info().m_Name <= m_Last) {
    ++Place;
  }
  if (Place == Candidates.size()) {
    Place = 0;
  }
  m_Last = Candidates[Place]->info().m_Name;
  return Place;
}

} // namespace geraniumlift::routing
