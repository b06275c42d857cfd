#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "configuration/publishtypes.h"
#include "keyvalue/ikeyvaluestore.h"

namespace geraniumlift::configuration {

/// Publishes sets of objects. The replacement of the manifest by compare-and-swap is the
/// acceptance. The store, the scheduler and the clock must outlive every publication.
class Publisher {
public:
  Publisher(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler, const base::IClock &Clock,
            PublisherOptions Options = {});

  /// Checks the set, writes the chunks that are not published yet and replaces the manifest. The
  /// callback runs once, on any thread.
  auto publish(PublishRequest Request, PublishCallback Done) -> void;

private:
  keyvalue::IKeyValueStore &m_Store;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  PublisherOptions m_Options;
};

} // namespace geraniumlift::configuration
