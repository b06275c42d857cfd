#pragma once

#include "admission/dispatchtypes.h"

namespace geraniumlift::admission {

/// Decides which request goes to which target, and when. Pure decision code: no threads, no input
/// or output, the time is an argument; calls come from one thread. The same calls give the same
/// decisions.
class IDispatcher {
public:
  virtual ~IDispatcher() = default;

  /// Replaces the targets. Requests in flight on a removed target go on.
  virtual auto setTargets(std::vector<TargetInfo> Targets, base::SteadyTime Now) -> void = 0;

  /// Marks a target as leaving until the next setTargets that says otherwise.
  virtual auto markLeaving(const std::string &Target, base::SteadyTime Now) -> void = 0;

  /// Takes a request in, or refuses it at once. A taken request appears later in poll().
  virtual auto offer(WorkItem Item, base::SteadyTime Now) -> std::optional<base::Refusal> = 0;

  /// Forgets a request that the caller gave up, waiting or dispatched.
  virtual auto cancel(WorkId Id, base::SteadyTime Now) -> void = 0;

  /// Returns what to dispatch and what to reject now. Called after every event and at NextPoll.
  virtual auto poll(base::SteadyTime Now) -> PollResult = 0;

  /// Reports the first token of a dispatched request.
  virtual auto onFirstToken(WorkId Id, base::SteadyTime Now) -> void = 0;

  /// Reports further generated tokens of a dispatched request.
  virtual auto onProgress(WorkId Id, base::Tokens NewTokens, base::SteadyTime Now) -> void = 0;

  /// Reports the end of an attempt. Returns true if the request was queued again for a retry on
  /// another target; it then appears in poll() after its backoff. The caller asks for a retry only
  /// while no part of the answer was passed on.
  virtual auto onEnd(WorkId Id, const AttemptEnd &End, bool MayRetry, base::SteadyTime Now)
      -> bool = 0;

  virtual auto onLoadReport(const LoadReport &Report, base::SteadyTime Now) -> void = 0;
  virtual auto onCacheEvent(const CacheEvent &Event, base::SteadyTime Now) -> void = 0;
};

} // namespace geraniumlift::admission
