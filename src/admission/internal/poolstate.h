#pragma once

#include "admission/internal/decayingrate.h"
#include "admission/internal/iconcurrencylimit.h"
#include "admission/internal/iworkqueue.h"
#include "routing/itargetchooser.h"
#include "routing/slowtargetdetector.h"

#include <map>

namespace geraniumlift::admission {

/// Mean age, in seconds, of the measured demand for short requests, which determines the slots kept
/// free for them. Load swings build up within a second or two.
constexpr auto ShortDemandMeanAgeSeconds = 2.0;

/// A target with the limit on this router's requests to it.
struct TargetState {
  routing::TargetView m_View;
  std::unique_ptr<IConcurrencyLimit> m_Limit;
};

/// The dispatcher's state of one pool.
struct PoolState {
  std::unique_ptr<IWorkQueue> m_Queue;
  std::unique_ptr<routing::ITargetChooser> m_Chooser;

  routing::SlowTargetDetector m_SlowTargets;

  /// Estimated number of active routers: how many times this router's own load the targets report,
  /// smoothed over the reports.
  double m_ActiveRouters = 1.0;

  /// Expected slot seconds of the short requests that this router accepts, per second.
  DecayingRate m_ShortDemand = DecayingRate(ShortDemandMeanAgeSeconds);

  /// The targets by name, including removed ones with requests in flight.
  std::map<std::string, TargetState> m_Targets;
};

} // namespace geraniumlift::admission
