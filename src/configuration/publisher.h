#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "configuration/publishtypes.h"
#include "keyvalue/ikeyvaluestore.h"

namespace geraniumlift::configuration {

/// Publishes sets of objects. A set is accepted when its publication replaces the manifest by
/// compare-and-swap. The store, the scheduler and the clock must outlive every publication.
class Publisher {
public:
  Publisher(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler, const base::IClock &Clock,
            PublisherOptions Options = {});

  /// Validates the set, writes the chunks that are not published yet and replaces the manifest. The
  /// callback runs once, on any thread; for a set that is rejected before the first call to the
  /// store, it runs before this function returns.
  auto publish(PublishRequest Request, PublishCallback Done) -> void;

private:
  keyvalue::IKeyValueStore &m_Store;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  PublisherOptions m_Options;
};

} // namespace geraniumlift::configuration
