#pragma once

#include "base/nametable.h"

namespace geraniumlift::bench {

/// The fault of a run; its times are in the workload. The steady scenarios leave out the swings: in
/// an overload the deadlines cap the latency, which hides what slowed targets add to it.
enum class Scenario {
  NoFault,
  TargetsSlowed,
  TargetLeaving,
  RoutersCutOff,
  Steady,
  SteadyTargetsSlowed
};

inline constexpr auto ScenarioNames = std::array{
    base::NamedValue<Scenario>{Scenario::NoFault, "no_fault"},
    base::NamedValue<Scenario>{Scenario::TargetsSlowed, "targets_slowed"},
    base::NamedValue<Scenario>{Scenario::TargetLeaving, "target_leaving"},
    base::NamedValue<Scenario>{Scenario::RoutersCutOff, "routers_cut_off"},
    base::NamedValue<Scenario>{Scenario::Steady, "steady"},
    base::NamedValue<Scenario>{Scenario::SteadyTargetsSlowed, "steady_targets_slowed"},
};

} // namespace geraniumlift::bench
