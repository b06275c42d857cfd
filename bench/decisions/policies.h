#pragma once

#include "admission/dispatcheroptions.h"

#include <string>
#include <vector>

namespace geraniumlift::bench {

/// A named set of dispatcher options to measure.
struct Policy {
  std::string m_Name;
  admission::DispatcherOptions m_Options;
};

/// All policies that can be measured: naive, full, and full with one strategy replaced.
auto knownPolicies() -> std::vector<Policy>;

} // namespace geraniumlift::bench
