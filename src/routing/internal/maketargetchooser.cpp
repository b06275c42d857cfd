#include "routing/internal/leastoutstandingchooser.h"
#include "routing/internal/roundrobinchooser.h"
#include "routing/internal/twochoiceschooser.h"

namespace geraniumlift::routing {

namespace {

template <typename Chooser>
auto make() -> std::unique_ptr<ITargetChooser> {
  return std::make_unique<Chooser>();
}

struct ChooserRow {
  TargetChoice m_Choice;
  std::unique_ptr<ITargetChooser> (*m_Make)();
};

constexpr auto Choosers = std::array{
    ChooserRow{TargetChoice::RoundRobin, &make<RoundRobinChooser>},
    ChooserRow{TargetChoice::LeastOutstanding, &make<LeastOutstandingChooser>},
    ChooserRow{TargetChoice::TwoChoices, &make<TwoChoicesChooser>},
};

} // namespace

auto makeTargetChooser(TargetChoice Choice) -> std::unique_ptr<ITargetChooser> {
  for (const auto &Row : Choosers) {
    if (Row.m_Choice == Choice) {
      return Row.m_Make();
    }
  }
  return nullptr;
}

} // namespace geraniumlift::routing
