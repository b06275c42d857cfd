#pragma once

#include "admission/internal/decayingrate.h"
#include "admission/internal/iconcurrencylimit.h"
#include "admission/internal/iworkqueue.h"
#include "routing/itargetchooser.h"
#include "routing/slowtargetdetector.h"

#include <map>

namespace geraniumlift::admission {

/// Mean age of the demand of short work that sizes the slots kept free for it. Swings build up
/// within a second or two.
constexpr auto ShortDemandMeanAgeSeconds = 2.0;

/// A target with the limit that this router keeps on it.
struct TargetState {
  routing::TargetView m_View;
  std::unique_ptr<IConcurrencyLimit> m_Limit;
};

/// What belongs to one pool.
struct PoolState {
  std::unique_ptr<IWorkQueue> m_Queue;
  std::unique_ptr<routing::ITargetChooser> m_Chooser;

  routing::SlowTargetDetector m_SlowTargets;

  /// How many routers like this one would make up the reported load; follows the reports slowly.
  double m_ActiveRouters = 1.0;

  /// Slot seconds per second of short work that this router takes in.
  DecayingRate m_ShortDemand = DecayingRate(ShortDemandMeanAgeSeconds);

  /// The targets by name, removed ones with requests in flight included.
  std::map<std::string, TargetState> m_Targets;
};

} // namespace geraniumlift::admission
