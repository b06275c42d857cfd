#include "decisions/policies.h"

namespace geraniumlift::bench {

namespace {

using admission::DispatcherOptions;

/// The default options with one strategy taken out.
auto without(void (*Change)(DispatcherOptions &)) -> DispatcherOptions {
  auto Options = DispatcherOptions();
  Change(Options);
  return Options;
}

} // namespace

auto knownPolicies() -> std::vector<Policy> {
  return {
      {"naive", admission::naiveOptions()},
      {"full", DispatcherOptions()},
      {"without_ejection",
       without([](DispatcherOptions &Options) { Options.m_EjectSlowTargets = false; })},
  };
}

} // namespace geraniumlift::bench
