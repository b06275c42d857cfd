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
  m_Store.list(m_Prefix, [this](absl::StatusOr<ListResult> Result) {
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
    m_Listener.onList(m_Prefix, *Result);
    watch();
  });
}

auto StoreFollower::watch() -> void {
  m_LastCallTime = m_Clock.steadyNow();
  m_IsWatching = true;
  m_Store.watch(m_Prefix, m_Revision, m_Options.m_WatchTimeout,
                [this, Watch = ++m_LatestWatch](const absl::StatusOr<WatchResult> &Result) {
                  if (!m_IsStopped && Watch == m_LatestWatch) {
                    m_IsWatching = false;
                    onWatchResult(Result);
                  }
                });
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

auto StoreFollower::onWatchResult(const absl::StatusOr<WatchResult> &Result) -> void {
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
  m_Listener.onChanges(m_Prefix, *Result);
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
