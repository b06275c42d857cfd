#include "gateway/internal/dispatchloop.h"

#include <algorithm>

namespace geraniumlift::gateway {

DispatchLoop::DispatchLoop(admission::IDispatcher &Dispatcher, base::IScheduler &Scheduler,
                           const base::IClock &Clock)
    : m_Dispatcher(Dispatcher), m_Scheduler(Scheduler), m_Clock(Clock) {}

auto DispatchLoop::setTargets(std::vector<admission::TargetInfo> Targets) -> void {
  m_Dispatcher.setTargets(std::move(Targets), m_Clock.steadyNow());
  schedulePoll();
}

auto DispatchLoop::markLeaving(const std::string &Target) -> void {
  m_Dispatcher.markLeaving(Target, m_Clock.steadyNow());
}

auto DispatchLoop::reportLoad(const admission::LoadReport &Report) -> void {
  m_Dispatcher.onLoadReport(Report, m_Clock.steadyNow());
  schedulePoll();
}

auto DispatchLoop::enqueue(admission::WorkItem Item, std::weak_ptr<IDispatchClient> Client)
    -> std::variant<admission::WorkId, base::Refusal> {
  const auto Id = m_NextId++;
  Item.m_Id = Id;
  if (auto Refused = m_Dispatcher.offer(std::move(Item), m_Clock.steadyNow())) {
    return *Refused;
  }
  m_Clients.emplace(Id, std::move(Client));
  schedulePoll();
  return Id;
}

auto DispatchLoop::cancel(admission::WorkId Id) -> void {
  m_Clients.erase(Id);
  m_Dispatcher.cancel(Id, m_Clock.steadyNow());
  schedulePoll();
}

auto DispatchLoop::onFirstToken(admission::WorkId Id) -> void {
  m_Dispatcher.onFirstToken(Id, m_Clock.steadyNow());
}

auto DispatchLoop::onProgress(admission::WorkId Id, base::Tokens NewTokens) -> void {
  m_Dispatcher.onProgress(Id, NewTokens, m_Clock.steadyNow());
}

auto DispatchLoop::onEnd(admission::WorkId Id, const admission::AttemptEnd &End, bool MayRetry)
    -> bool {
  const auto Queued = m_Dispatcher.onEnd(Id, End, MayRetry, m_Clock.steadyNow());
  if (!Queued) {
    m_Clients.erase(Id);
  }
  schedulePoll();
  return Queued;
}

auto DispatchLoop::schedulePoll() -> void {
  if (m_PollScheduled) {
    return;
  }
  m_PollScheduled = true;
  m_Scheduler.post([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->m_PollScheduled = false;
      Self->poll();
    }
  });
}

auto DispatchLoop::poll() -> void {
  const auto Result = m_Dispatcher.poll(m_Clock.steadyNow());
  applyPollResult(Result);
  if (Result.m_NextPoll) {
    scheduleTimer(*Result.m_NextPoll);
  }
}

auto DispatchLoop::applyPollResult(const admission::PollResult &Result) -> void {
  for (const auto &Rejected : Result.m_Rejections) {
    const auto Found = m_Clients.find(Rejected.m_Id);
    if (Found == m_Clients.end()) {
      continue;
    }
    const auto Client = Found->second.lock();
    m_Clients.erase(Found);
    if (Client) {
      Client->onRejection(Rejected.m_Refusal);
    }
  }
  for (const auto &Dispatched : Result.m_Dispatches) {
    const auto Found = m_Clients.find(Dispatched.m_Id);
    const auto Client = Found == m_Clients.end() ? nullptr : Found->second.lock();
    if (Client) {
      Client->onDispatch(Dispatched);
    } else {
      m_Dispatcher.cancel(Dispatched.m_Id, m_Clock.steadyNow());
    }
  }
}

/// Sets a timer for the next poll. Does nothing if a timer for that time or earlier is pending,
/// because its poll sets the next one; a timer that was replaced does nothing when it fires.
auto DispatchLoop::scheduleTimer(base::SteadyTime When) -> void {
  if (m_TimerAt && *m_TimerAt <= When && *m_TimerAt > m_Clock.steadyNow()) {
    return;
  }
  m_TimerAt = When;
  const auto Delay =
      std::max(std::chrono::ceil<std::chrono::milliseconds>(When - m_Clock.steadyNow()),
               std::chrono::milliseconds{1});
  m_Scheduler.after(Delay, [Weak = weak_from_this(), When] {
    const auto Self = Weak.lock();
    if (Self && Self->m_TimerAt == When) {
      Self->m_TimerAt.reset();
      Self->poll();
    }
  });
}

} // namespace geraniumlift::gateway
