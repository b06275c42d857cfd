#include "routing/internal/roundrobinchooser.h"

namespace geraniumlift::routing {

auto RoundRobinChooser::choose(const std::vector<const TargetView *> &Candidates,
                               const RequestTraits & /*Request*/, base::SteadyTime /*Now*/,
                               base::RandomEngine & /*Random*/) -> std::size_t {
  auto Index = std::size_t{0};
  while (Index < Candidates.size() && Candidates[Index]->info().m_Name <= m_Last) {
    ++Index;
  }
  if (Index == Candidates.size()) {
    Index = 0;
  }
  m_Last = Candidates[Index]->info().m_Name;
  return Index;
}

} // namespace geraniumlift::routing
