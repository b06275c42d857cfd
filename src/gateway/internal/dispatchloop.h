#pragma once

#include "admission/idispatcher.h"
#include "base/iclock.h"
#include "base/ischeduler.h"
#include "gateway/internal/idispatchclient.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace geraniumlift::gateway {

/// Passes events to the dispatcher, polls it and notifies the clients of its decisions. Used on the
/// scheduler's thread only.
class DispatchLoop : public std::enable_shared_from_this<DispatchLoop> {
public:
  DispatchLoop(admission::IDispatcher &Dispatcher, base::IScheduler &Scheduler,
               const base::IClock &Clock);

  auto setTargets(std::vector<admission::TargetInfo> Targets) -> void;
  auto markLeaving(const std::string &Target) -> void;
  auto reportLoad(const admission::LoadReport &Report) -> void;

  /// Queues a request and returns its new identifier, or returns a refusal.
  auto enqueue(admission::WorkItem Item, std::weak_ptr<IDispatchClient> Client)
      -> std::variant<admission::WorkId, base::Refusal>;

  auto cancel(admission::WorkId Id) -> void;
  auto onFirstToken(admission::WorkId Id) -> void;
  auto onProgress(admission::WorkId Id, base::Tokens NewTokens) -> void;

  /// Returns whether the request was queued again.
  auto onEnd(admission::WorkId Id, const admission::AttemptEnd &End, bool MayRetry) -> bool;

private:
  auto schedulePoll() -> void;
  auto poll() -> void;
  auto applyPollResult(const admission::PollResult &Result) -> void;
  auto scheduleTimer(base::SteadyTime When) -> void;

  admission::IDispatcher &m_Dispatcher;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  std::unordered_map<admission::WorkId, std::weak_ptr<IDispatchClient>> m_Clients;
  admission::WorkId m_NextId = 1;
  bool m_PollScheduled = false;
  std::optional<base::SteadyTime> m_TimerAt;
};

} // namespace geraniumlift::gateway
