#include "keyvalue/storemonitor.h"

namespace geraniumlift::keyvalue {

namespace {

using namespace std::chrono_literals;

/// Time between probes while the store is reachable. A probe costs a tenth of a regular call.
constexpr auto ProbeInterval = 1000ms;

/// Time between probes while the store is unreachable; shorter, so that its recovery is noticed
/// soon.
constexpr auto RetryInterval = 300ms;

/// Age up to which an answer of the store to any router stands for a probe, the interval at which
/// that is checked, and the time from which on this router probes nevertheless, as it may be cut
/// off from the store itself.
constexpr auto WitnessAge = ProbeInterval;
constexpr auto WitnessCheckInterval = 250ms;
constexpr auto MaxProbeAge = 3000ms;

/// The key that probes read; it need not exist.
constexpr auto ProbeKey = "geraniumlift/probe";

} // namespace

StoreMonitor::StoreMonitor(ITransactionStore &Store, base::ITimers &Timers,
                           const base::IClock &Clock, base::IEventLog &Log, OnChange Callback)
    : m_Store(Store), m_Timers(Timers), m_Clock(Clock), m_Log(Log),
      m_OnChange(std::move(Callback)) {}

auto StoreMonitor::probeNow() -> void {
  if (m_IsReachable.value_or(false) && !m_IsProbing) {
    m_Timers.cancel(std::exchange(m_Timer, 0));
    probe();
  }
}

auto StoreMonitor::probe() -> void {
  m_IsProbing = true;
  m_Store.readStale(ProbeKey, [this, Started = m_Clock.steadyNow()](
                                  const absl::StatusOr<std::optional<KeyValue>> &Result) {
    m_IsProbing = false;
    // The answer to a probe may wait behind a large one on a slow link.
    const auto IsHeard = !Result.ok() && m_Store.lastHeardAt() >= std::optional(Started);
    const auto IsAnswered = Result.ok() || IsHeard;
    if (IsAnswered) {
      m_LastAnswered = Started;
    }
    onResult(IsAnswered ? absl::OkStatus() : Result.status());
    m_Timer =
        m_Timers.start(m_Clock.steadyNow() + (IsAnswered ? ProbeInterval : RetryInterval), [this] {
          m_Timer = 0;
          probeIfDue();
        });
  });
}

auto StoreMonitor::probeIfDue() -> void {
  const auto Now = m_Clock.steadyNow();
  const auto Witnessed = m_Witness ? m_Witness() : std::nullopt;
  const auto IsDue = !m_IsReachable.value_or(false) || !Witnessed ||
                     Now - *Witnessed > WitnessAge ||
                     Now - m_LastAnswered.value_or(base::SteadyTime()) >= MaxProbeAge;
  if (IsDue) {
    probe();
    return;
  }
  m_Timer = m_Timers.start(Now + WitnessCheckInterval, [this] {
    m_Timer = 0;
    probeIfDue();
  });
}

auto StoreMonitor::onResult(const absl::Status &Status) -> void {
  if (m_IsReachable == Status.ok()) {
    return;
  }
  const auto Now = m_Clock.steadyNow();
  const auto SinceLastChange =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - m_LastChange).count();
  if (Status.ok()) {
    m_Log.record(base::LogLevel::Warning, "store_regained",
                 {{"after_ms", m_IsReachable ? SinceLastChange : 0}});
  } else {
    m_Log.record(base::LogLevel::Warning, "store_lost",
                 {{"reason", std::string(Status.message())},
                  {"after_ms", m_IsReachable ? SinceLastChange : 0}});
  }
  m_LastChange = Now;
  m_IsReachable = Status.ok();
  m_OnChange(Status.ok());
}

} // namespace geraniumlift::keyvalue
