#pragma once

#include <chrono>

namespace geraniumlift::mirror {

/// Intervals and limits by which a router keeps its copy of the store's records current. All follow
/// from the time within which a change must take effect on every router that can reach the store.
struct FollowTimes {
  /// Interval between the starts of two watches of a router that follows the store for itself.
  std::chrono::milliseconds m_WatchInterval{0};

  /// How long such a watch waits for changes.
  std::chrono::milliseconds m_WatchWait{0};

  /// Interval and wait time of a relay's watches. The end of a watch confirms that the relay knows
  /// all changes, so that its readers can rely on it.
  std::chrono::milliseconds m_RelayWatchInterval{0};

  /// Interval of a reader's requests to its relay.
  std::chrono::milliseconds m_RequestInterval{0};

  /// Age of a reader's knowledge from which on it follows the store itself. It is longer than a
  /// relay's watch and a request together, so that a working relay is enough.
  std::chrono::milliseconds m_MaxAge{0};

  /// Upper limit of the random time that each reader adds to the age, so that the readers of a
  /// failed relay do not go to the store at the same moment.
  std::chrono::milliseconds m_MaxAgeSpread{0};

  /// How much longer ago than others of its data centre a relay may have reached the store before
  /// it resigns.
  std::chrono::milliseconds m_MaxStoreLag{0};

  /// By how much longer a watch waits for records without a change time, and by how much older what
  /// is known of them may be. An unchanged age of two such watches is covered.
  std::chrono::milliseconds m_UnhurriedWait{0};
  std::chrono::milliseconds m_UnhurriedAge{0};
};

/// Derives the times from the time within which a change must take effect. What is left of it after
/// a reader's largest age is for the read from the store and one retry.
auto followTimesFor(std::chrono::milliseconds ChangeTime) -> FollowTimes;

} // namespace geraniumlift::mirror
