#pragma once

#include "admission/dispatcheroptions.h"
#include "admission/idispatcher.h"
#include "admission/internal/poolstate.h"
#include "admission/internal/trackedrequest.h"
#include "base/random.h"
#include "retry/retrypolicy.h"

#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace geraniumlift::admission {

/// The dispatcher of one router. It keeps a queue per pool and applies the strategies that the
/// options select.
class Dispatcher final : public IDispatcher {
public:
  explicit Dispatcher(DispatcherOptions Options);

  auto setTargets(std::vector<TargetInfo> Targets, base::SteadyTime Now) -> void override;
  auto markLeaving(const std::string &Target, base::SteadyTime Now) -> void override;
  auto offer(WorkItem Item, base::SteadyTime Now) -> std::optional<base::Refusal> override;
  auto cancel(WorkId Id, base::SteadyTime Now) -> void override;
  auto poll(base::SteadyTime Now) -> PollResult override;
  auto onFirstToken(WorkId Id, base::SteadyTime Now) -> void override;
  auto onProgress(WorkId Id, base::Tokens NewTokens, base::SteadyTime Now) -> void override;
  auto onEnd(WorkId Id, const AttemptEnd &End, bool MayRetry, base::SteadyTime Now)
      -> bool override;
  auto onLoadReport(const LoadReport &Report, base::SteadyTime Now) -> void override;
  auto onCacheEvent(const CacheEvent &Event, base::SteadyTime Now) -> void override;

private:
  /// A request and the time at which its deadline or backoff ends.
  struct TimerEntry {
    base::SteadyTime m_Time;
    WorkId m_Id = 0;

    auto operator<(const TimerEntry &Other) const -> bool {
      return std::tie(m_Time, m_Id) < std::tie(Other.m_Time, Other.m_Id);
    }
  };

  auto getOrCreatePool(const std::string &Name) -> PoolState &;
  auto findTarget(const std::string &Name) -> TargetState *;
  auto findRequest(WorkId Id) -> TrackedRequest *;
  auto poolOf(const TrackedRequest &Request) -> PoolState & {
    return getOrCreatePool(Request.m_Item.m_Pool);
  }

  /// Tells the pool's slow-target detector which targets accept work.
  static auto updateDetector(PoolState &Pool) -> void;

  /// Passes a measured time per token or per call, in seconds, to the pool's slow-target detector.
  auto addLatencySample(const TrackedRequest &Request, double Seconds, base::SteadyTime Now)
      -> void;

  /// Whether any target of the pool accepts work.
  static auto hasUsableTarget(const PoolState &Pool) -> bool;
  auto makeQueueEntry(const TrackedRequest &Request) const -> QueueEntry;

  /// Returns the refusal of a request that arrives now; empty if it may be queued.
  auto refuseOnArrival(PoolState &Pool, const TrackedRequest &Request, base::SteadyTime Now)
      -> std::optional<base::Refusal>;

  /// Expected time until a request that arrives now is dispatched, in seconds; 0 if a target can
  /// take it at once.
  auto expectedWaitSeconds(PoolState &Pool, const TrackedRequest &Request, base::SteadyTime Now)
      -> double;

  /// Whether the fresh reports of the pool's targets add up to fewer requests than slots.
  static auto reportsFreeSlots(const PoolState &Pool, base::SteadyTime Now) -> bool;

  /// Expected slot seconds per second that the pool gives to this router.
  static auto drainRate(const PoolState &Pool) -> double;

  /// Puts a request into its pool's queue.
  auto enqueue(TrackedRequest &Request) -> void;

  /// Removes a request in any state, from the queue or from its target. Unknown requests are
  /// ignored.
  auto removeRequest(WorkId Id, base::SteadyTime Now) -> void;
  auto releaseTarget(const TrackedRequest &Request, base::SteadyTime Now) -> void;
  auto recordCompletion(const TrackedRequest &Request, base::SteadyTime Now) -> void;
  auto retryAfterFailure(TrackedRequest &Request, const AttemptEnd &End, base::SteadyTime Now)
      -> bool;
  auto endBackoffs(base::SteadyTime Now) -> void;
  auto rejectExpired(base::SteadyTime Now, PollResult &Result) -> void;
  auto dispatchPool(PoolState &Pool, base::SteadyTime Now, PollResult &Result) -> void;
  auto dispatchNext(PoolState &Pool, EntryFilter Filter, base::SteadyTime Now, PollResult &Result)
      -> bool;
  auto chooseTarget(PoolState &Pool, const TrackedRequest &Request, base::SteadyTime Now)
      -> TargetState *;
  auto candidatesFor(PoolState &Pool, const TrackedRequest &Request, base::SteadyTime Now)
      -> std::vector<TargetState *>;
  auto mayProbe(const PoolState &Pool, const TargetState &Target, base::SteadyTime Now) const
      -> bool;
  auto allows(const PoolState &Pool, const TargetState &Target, const TrackedRequest &Request,
              base::SteadyTime Now) const -> bool;

  /// Updates the estimated number of active routers from the ratio of reported to own load.
  auto updateActiveRouters(PoolState &Pool) const -> void;

  /// Share of the pool's slots that is currently kept free for short requests, 0 to 1.
  auto reservedShortShare(const PoolState &Pool, base::SteadyTime Now) const -> double;

  /// Priority to pass to the target, for its own queue; lower is served first.
  auto targetPriority(const TrackedRequest &Request) const -> std::int64_t;

  /// Whether a request must start soon to meet its deadline.
  auto isUrgent(const TrackedRequest &Request, base::SteadyTime Now) const -> bool;
  auto isShort(const TrackedRequest &Request) const -> bool;
  auto nextPoll(base::SteadyTime Now) const -> std::optional<base::SteadyTime>;

  DispatcherOptions m_Options;
  base::RandomEngine m_Random;
  retry::RetryPolicy m_Retries;
  LengthEstimator m_Lengths;
  std::map<std::string, PoolState> m_Pools;

  /// Pool of each known target.
  std::map<std::string, std::string> m_PoolOfTarget;
  std::unordered_map<WorkId, TrackedRequest> m_Requests;

  /// Deadlines of requests that are not on a target.
  std::set<TimerEntry> m_Deadlines;

  /// Ends of backoffs.
  std::set<TimerEntry> m_Backoffs;
};

} // namespace geraniumlift::admission
