#pragma once

#include "admission/dispatchtypes.h"

namespace geraniumlift::admission {

/// Decides which request goes to which target, and when. Implementations start no threads, do no
/// input or output and take the time as an argument, so that the same calls give the same
/// decisions. All calls must come from one thread.
class IDispatcher {
public:
  virtual ~IDispatcher() = default;

  /// Replaces the targets. Requests in flight on a removed target continue.
  virtual auto setTargets(std::vector<TargetInfo> Targets, base::SteadyTime Now) -> void = 0;

  /// Marks a target as leaving until the next setTargets that says otherwise.
  virtual auto markLeaving(const std::string &Target, base::SteadyTime Now) -> void = 0;

  /// Queues a request, or returns why it is refused. A queued request appears in the result of a
  /// later poll().
  virtual auto offer(WorkItem Item, base::SteadyTime Now) -> std::optional<base::Refusal> = 0;

  /// Removes a request that the caller has given up, whether it waits or is dispatched. Unknown
  /// requests are ignored.
  virtual auto cancel(WorkId Id, base::SteadyTime Now) -> void = 0;

  /// Returns what to dispatch and what to reject now. To be called after every event and at the
  /// m_NextPoll of the last result.
  virtual auto poll(base::SteadyTime Now) -> PollResult = 0;

  /// Reports the first token of a dispatched request.
  virtual auto onFirstToken(WorkId Id, base::SteadyTime Now) -> void = 0;

  /// Reports further generated tokens of a dispatched request.
  virtual auto onProgress(WorkId Id, base::Tokens NewTokens, base::SteadyTime Now) -> void = 0;

  /// Reports the end of an attempt. Returns true if the request was queued again for a retry on
  /// another target; it then appears in poll() after its backoff. MayRetry must be false once a
  /// part of the answer was passed on.
  virtual auto onEnd(WorkId Id, const AttemptEnd &End, bool MayRetry, base::SteadyTime Now)
      -> bool = 0;

  virtual auto onLoadReport(const LoadReport &Report, base::SteadyTime Now) -> void = 0;
  virtual auto onCacheEvent(const CacheEvent &Event, base::SteadyTime Now) -> void = 0;
};

} // namespace geraniumlift::admission
