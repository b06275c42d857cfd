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
  TargetChoice m_Choice;
  std::unique_ptr<ITargetChooser> (*m_Make)(const ChooserSettings &);
};

constexpr auto Choosers = std::array{
    ChooserRow{TargetChoice::RoundRobin, &make<RoundRobinChooser>},
    ChooserRow{TargetChoice::LeastOutstanding, &make<LeastOutstandingChooser>},
    ChooserRow{TargetChoice::TwoChoices, &make<TwoChoicesChooser>},
    ChooserRow{TargetChoice::ExpectedWait, &makeExpectedWait},
};

} // namespace

auto makeTargetChooser(TargetChoice Choice, const ChooserSettings &Settings)
    -> std::unique_ptr<ITargetChooser> {
  for (const auto &Row : Choosers) {
    if (Row.m_Choice == Choice) {
      return Row.m_Make(Settings);
    }
  }
  return nullptr;
}

} // namespace geraniumlift::routing
