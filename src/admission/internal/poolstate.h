#pragma once

#include "admission/internal/iconcurrencylimit.h"
#include "admission/internal/iworkqueue.h"
#include "routing/itargetchooser.h"
#include "routing/slowdetector.h"

#include <map>

namespace geraniumlift::admission {

/// A target with the limit that this router keeps on it.
struct TargetState {
  routing::TargetView m_View;
  std::unique_ptr<IConcurrencyLimit> m_Limit;
};

/// What belongs to one pool.
struct PoolState {
  std::unique_ptr<IWorkQueue> m_Queue;
  std::unique_ptr<routing::ITargetChooser> m_Chooser;

  routing::SlowDetector m_Slow;

  /// The targets by name, removed ones with requests in flight included.
  std::map<std::string, TargetState> m_Targets;
};

} // namespace geraniumlift::admission
