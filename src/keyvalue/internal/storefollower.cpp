#include "keyvalue/storefollower.h"

namespace geraniumlift::keyvalue {

StoreFollower::StoreFollower(std::string Prefix, StoreFollowerOptions Options,
                             ITransactionStore &Store, base::ITimers &Timers,
                             const base::IClock &Clock, base::IEventLog &Log,
                             IStoreListener &Listener)
    : m_Prefix(std::move(Prefix)), m_Options(Options), m_Store(Store), m_Timers(Timers),
      m_Clock(Clock), m_Log(Log), m_Listener(Listener) {}

auto StoreFollower::startAfter(std::int64_t Revision) -> void {
  m_Revision = Revision;
  watch();
}

auto StoreFollower::list() -> void {
  m_LastCallTime = m_Clock.steadyNow();
  m_Store.list(m_Prefix, [this, Started = m_LastCallTime](absl::StatusOr<ListResult> Result) {
    if (m_IsStopped) {
      return;
    }
    if (!Result.ok()) {
      onFailure(Result.status(), &StoreFollower::list);
      return;
    }
    m_ConsecutiveFailures = 0;
    m_Revision = Result->m_Revision;
    m_Log.record(base::LogLevel::Info, "store_listed",
                 {{"revision", m_Revision}, {"keys", Result->m_Items.size()}});
    m_Listener.onList(m_Prefix, *Result, Started);
    watch();
  });
}

auto StoreFollower::watch() -> void {
  m_LastCallTime = m_Clock.steadyNow();
  m_IsWatching = true;
  m_CurrentWait = m_Options.m_WatchTimeout;
  m_Store.watch(m_Prefix, m_Revision, m_CurrentWait,
                [this, Watch = ++m_LatestWatch, Started = m_LastCallTime,
                 Wait = m_CurrentWait](const absl::StatusOr<WatchResult> &Result) {
                  if (!m_IsStopped && Watch == m_LatestWatch) {
                    m_IsWatching = false;
                    onWatchResult(Result, Started, Wait);
                  }
                });
}

auto StoreFollower::setPace(std::chrono::milliseconds Interval, std::chrono::milliseconds Wait)
    -> void {
  m_Options.m_MinWatchInterval = Interval;
  m_Options.m_WatchTimeout = Wait;
  if (m_IsWatching && !m_IsStopped && !m_IsSuspended && Wait < m_CurrentWait) {
    watch();
  }
}

auto StoreFollower::resume() -> void {
  if (m_IsStopped || !std::exchange(m_IsSuspended, false)) {
    return;
  }
  if (m_IsWatching) {
    watch();
  } else if (const auto Next = std::exchange(m_NextCall, nullptr)) {
    m_Timers.cancel(std::exchange(m_Timer, 0));
    (this->*Next)();
  }
}

auto StoreFollower::onWatchResult(const absl::StatusOr<WatchResult> &Result,
                                  base::SteadyTime Started, std::chrono::milliseconds Wait)
    -> void {
  if (Result.status().code() == absl::StatusCode::kOutOfRange) {
    m_ConsecutiveFailures = 0;
    m_Log.record(base::LogLevel::Warning, "store_history_gone", {{"revision", m_Revision}});
    list();
    return;
  }
  if (!Result.ok()) {
    onFailure(Result.status(), &StoreFollower::watch);
    return;
  }
  m_ConsecutiveFailures = 0;
  m_Revision = std::max(m_Revision, Result->m_Revision);
  // The response may have been on its way for long, or wait for this process to run again. The
  // store made it after the call, and one without changes only at the end of the wait.
  const auto ConfirmedAt =
      Result->m_Events.empty() ? std::min(Started + Wait, m_Clock.steadyNow()) : Started;
  m_Listener.onChanges(m_Prefix, *Result, ConfirmedAt);
  schedule(std::max(m_LastCallTime + m_Options.m_MinWatchInterval, m_Clock.steadyNow()),
           &StoreFollower::watch);
}

auto StoreFollower::onFailure(const absl::Status &Status, void (StoreFollower::*Next)()) -> void {
  if (m_ConsecutiveFailures == 0) {
    m_Log.record(base::LogLevel::Info, "store_follow_failed",
                 {{"prefix", m_Prefix},
                  {"reason", std::string(Status.message())},
                  {"revision", m_Revision}});
  }
  const auto Pause = m_Options.m_InitialRetryDelay * (1 << std::min(m_ConsecutiveFailures++, 4));
  schedule(m_Clock.steadyNow() +
               std::min<std::chrono::milliseconds>(Pause, m_Options.m_MaxRetryDelay),
           Next);
}

auto StoreFollower::schedule(base::SteadyTime When, void (StoreFollower::*Next)()) -> void {
  m_NextCall = Next;
  m_Timer = m_Timers.start(When, [this] {
    m_Timer = 0;
    if (!m_IsStopped && !m_IsSuspended) {
      (this->*std::exchange(m_NextCall, nullptr))();
    }
  });
}

} // namespace geraniumlift::keyvalue
