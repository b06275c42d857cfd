#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "keyvalue/itransactionstore.h"

#include <algorithm>

namespace geraniumlift::keyvalue {

/// Receives the keys and changes that a follower reads from the store.
class IStoreListener {
public:
  virtual ~IStoreListener() = default;

  /// Called with all keys that have the prefix; any other key with the prefix no longer exists. The
  /// store confirmed this at the given time or later.
  virtual auto onList(std::string_view Prefix, const ListResult &Result,
                      base::SteadyTime ConfirmedAt) -> void = 0;

  /// Called with changes in their order. A change that a list read in pages already contains may
  /// be reported again. The store confirmed at the given time or later that there are no others.
  virtual auto onChanges(std::string_view Prefix, const WatchResult &Result,
                         base::SteadyTime ConfirmedAt) -> void = 0;
};

/// Intervals and timeouts of a StoreFollower.
struct StoreFollowerOptions {
  /// Shortest time between the starts of two watches. Targets rewrite their entries all the time,
  /// so a watch that is renewed immediately would return at nearly every write.
  std::chrono::milliseconds m_MinWatchInterval{400};

  /// How long a watch waits for changes. If an open connection stops delivering data, only the end
  /// of this wait reveals it.
  std::chrono::milliseconds m_WatchTimeout{1000};

  /// Delay before the first retry after a failure. It doubles with each further failure, up to the
  /// maximum.
  std::chrono::milliseconds m_InitialRetryDelay{100};
  std::chrono::milliseconds m_MaxRetryDelay{400};
};

/// Follows all keys with a prefix: lists them once, then watches for changes, and lists them again
/// when the store no longer has the history since the last known revision.
class StoreFollower {
public:
  StoreFollower(std::string Prefix, StoreFollowerOptions Options, ITransactionStore &Store,
                base::ITimers &Timers, const base::IClock &Clock, base::IEventLog &Log,
                IStoreListener &Listener);

  auto start() -> void { list(); }

  /// Starts with a watch for the changes after a revision up to which they are known already.
  auto startAfter(std::int64_t Revision) -> void;

  [[nodiscard]] auto prefix() const -> const std::string & { return m_Prefix; }

  /// Revision up to which all changes are known; 0 before the first list.
  [[nodiscard]] auto revision() const -> std::int64_t { return m_Revision; }

  /// Records that all changes up to the revision are known from elsewhere.
  auto advanceTo(std::int64_t Revision) -> void { m_Revision = std::max(m_Revision, Revision); }

  /// Sets the interval and the wait time of the watches. A watch that would wait for longer is
  /// replaced.
  auto setPace(std::chrono::milliseconds Interval, std::chrono::milliseconds Wait) -> void;

  /// Makes no further calls to the store and ignores results that arrive later.
  auto stop() -> void { m_IsStopped = true; }

  /// Makes no further calls until resume(). The result of a call that is in flight still counts.
  auto suspend() -> void { m_IsSuspended = true; }

  /// Continues after suspend(). A watch that is still pending is replaced by a new one on a new
  /// connection, since its response may have been lost.
  auto resume() -> void;

private:
  auto list() -> void;
  auto watch() -> void;
  auto onFailure(const absl::Status &Status, void (StoreFollower::*Next)()) -> void;
  auto onWatchResult(const absl::StatusOr<WatchResult> &Result, base::SteadyTime Started,
                     std::chrono::milliseconds Wait) -> void;
  auto schedule(base::SteadyTime When, void (StoreFollower::*Next)()) -> void;

  std::string m_Prefix;
  StoreFollowerOptions m_Options;
  ITransactionStore &m_Store;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  IStoreListener &m_Listener;
  std::int64_t m_Revision = 0;
  base::SteadyTime m_LastCallTime;
  int m_ConsecutiveFailures = 0;

  /// Number of the newest watch; the result of a watch with an older number is ignored.
  std::uint64_t m_LatestWatch = 0;
  bool m_IsWatching = false;

  /// Wait time of the newest watch.
  std::chrono::milliseconds m_CurrentWait{0};

  /// The call that is due and its timer; nullptr while a call is in flight.
  void (StoreFollower::*m_NextCall)() = nullptr;
  base::TimerId m_Timer = 0;
  bool m_IsSuspended = false;
  bool m_IsStopped = false;
};

} // namespace geraniumlift::keyvalue
