#include "admission/dispatcheroptions.h"

namespace geraniumlift::admission {

auto baselineOptions() -> DispatcherOptions {
  auto Options = DispatcherOptions();
  Options.m_TargetStrategy = routing::TargetStrategy::RoundRobin;
  Options.m_EjectSlowTargets = false;
  Options.m_ShortFirstAtTarget = false;
  Options.m_MinShortShare = 0.0;
  Options.m_RefuseEarly = false;
  Options.m_QueueStrategy = QueueStrategy::Fifo;
  Options.m_LimitStrategy = LimitStrategy::Fixed;
  Options.m_Retry.m_Strategy = retry::RetryStrategy::Blind;
  return Options;
}

} // namespace geraniumlift::admission
