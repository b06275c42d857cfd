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
      {"naive", admission::baselineOptions()},
      {"full", DispatcherOptions()},
      {"queues_at_targets", without([](DispatcherOptions &Options) {
         Options.m_LimitStrategy = admission::LimitStrategy::Fixed;
       })},
      {"without_short_first",
       without([](DispatcherOptions &Options) { Options.m_ShortFirstAtTarget = false; })},
      {"without_short_share",
       without([](DispatcherOptions &Options) { Options.m_MinShortShare = 0.0; })},
      {"without_early_refusal",
       without([](DispatcherOptions &Options) { Options.m_RefuseEarly = false; })},
      {"fifo", without([](DispatcherOptions &Options) {
         Options.m_QueueStrategy = admission::QueueStrategy::Fifo;
       })},
      {"without_ejection",
       without([](DispatcherOptions &Options) { Options.m_EjectSlowTargets = false; })},
  };
}

} // namespace geraniumlift::bench
