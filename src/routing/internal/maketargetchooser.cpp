#include "routing/internal/expectedwaitchooser.h"
#include "routing/internal/leastoutstandingchooser.h"
#include "routing/internal/roundrobinchooser.h"
#include "routing/internal/twochoiceschooser.h"

namespace geraniumlift::routing {

namespace {

template <typename Chooser>
auto make(const ChooserSettings & /*Settings*/) -> std::unique_ptr<ITargetChooser> {
  return std::make_unique<Chooser>();
}

auto makeExpectedWait(const ChooserSettings &Settings) -> std::unique_ptr<ITargetChooser> {
  return std::make_unique<ExpectedWaitChooser>(Settings);
}

struct ChooserRow {
  TargetStrategy m_Strategy;
  std::unique_ptr<ITargetChooser> (*m_Make)(const ChooserSettings &);
};

constexpr auto Choosers = std::array{
    ChooserRow{TargetStrategy::RoundRobin, &make<RoundRobinChooser>},
    ChooserRow{TargetStrategy::LeastOutstanding, &make<LeastOutstandingChooser>},
    ChooserRow{TargetStrategy::TwoChoices, &make<TwoChoicesChooser>},
    ChooserRow{TargetStrategy::ExpectedWait, &makeExpectedWait},
};

} // namespace

auto makeTargetChooser(TargetStrategy Strategy, const ChooserSettings &Settings)
    -> std::unique_ptr<ITargetChooser> {
  for (const auto &Row : Choosers) {
    if (Row.m_Strategy == Strategy) {
      return Row.m_Make(Settings);
    }
  }
  return nullptr;
}

} // namespace geraniumlift::routing
