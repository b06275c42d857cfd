#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "keyvalue/itransactionstore.h"

namespace geraniumlift::keyvalue {

/// Takes what a follower learns of the store.
class IStoreListener {
public:
  virtual ~IStoreListener() = default;

  /// All keys with the prefix as they stand; what is not among them does not exist any more.
  virtual auto onList(std::string_view Prefix, const ListResult &Result) -> void = 0;

  /// Changes in their order. Keys of a list that was read page by page may come once more.
  virtual auto onChanges(const WatchResult &Result) -> void = 0;
};

/// Pace and limits of following.
struct StoreFollowerOptions {
  /// Watches begin at least this far apart. Targets rewrite their entries all the time, so that an
  /// eager watch would return at nearly every write.
  std::chrono::milliseconds m_MinWatchInterval{400};

  /// A watch waits this long for changes. An open connection may go silent for good, and only the
  /// end of the wait shows it.
  std::chrono::milliseconds m_WatchTimeout{1000};

  /// First pause after a failure, doubled up to the longest.
  std::chrono::milliseconds m_InitialRetryDelay{100};
  std::chrono::milliseconds m_MaxRetryDelay{400};
};

/// Follows all keys with a prefix: lists them once, then watches, and lists again when the store
/// has dropped the history in between.
class StoreFollower {
public:
  StoreFollower(std::string Prefix, StoreFollowerOptions Options, ITransactionStore &Store,
                base::ITimers &Timers, const base::IClock &Clock, base::IEventLog &Log,
                IStoreListener &Listener);

  auto start() -> void { list(); }

  /// Makes no further calls; what still arrives is dropped.
  auto stop() -> void { m_IsStopped = true; }

  /// Watches on a new connection if a watch is waiting: after a time without the store its answer
  /// may have been lost on the way.
  auto restartWatch() -> void;

private:
  auto list() -> void;
  auto watch() -> void;
  auto onFailure(const absl::Status &Status, void (StoreFollower::*Next)()) -> void;
  auto onWatchResult(const absl::StatusOr<WatchResult> &Result) -> void;
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

  /// Numbers the watches; the answer of one that was given up is dropped.
  std::uint64_t m_LatestWatch = 0;
  bool m_IsWatching = false;
  bool m_IsStopped = false;
};

} // namespace geraniumlift::keyvalue
