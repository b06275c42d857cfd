#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "keyvalue/itransactionstore.h"

#include <optional>

namespace geraniumlift::keyvalue {

/// Checks whether the store is reachable by a cheap read at regular intervals. A watch cannot show
/// this, since it gets no response while nothing changes.
class StoreMonitor {
public:
  using OnChange = std::function<void(bool IsReachable)>;

  /// Calls the callback with the first result and whenever the result changes.
  StoreMonitor(ITransactionStore &Store, base::ITimers &Timers, const base::IClock &Clock,
               base::IEventLog &Log, OnChange Callback);

  auto start() -> void { probe(); }

  /// Start of the last probe that the store answered; nothing before the first one.
  [[nodiscard]] auto lastAnswered() const -> std::optional<base::SteadyTime> {
    return m_LastAnswered;
  }

  /// Sets a function that returns when the store is last known to have answered a router, if that
  /// is known. While this is recent, probes are made at longer intervals.
  auto setWitness(std::function<std::optional<base::SteadyTime>()> Witness) -> void {
    m_Witness = std::move(Witness);
  }

  /// Probes without waiting for the next interval; for use after another call to the store has
  /// failed. Does nothing unless the last probe reached the store and no probe is in progress.
  auto probeNow() -> void;

private:
  auto probe() -> void;

  /// Probes unless the store was witnessed to answer lately.
  auto probeIfDue() -> void;
  auto onResult(const absl::Status &Status) -> void;

  ITransactionStore &m_Store;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  OnChange m_OnChange;
  std::function<std::optional<base::SteadyTime>()> m_Witness;
  std::optional<bool> m_IsReachable;
  bool m_IsProbing = false;
  base::TimerId m_Timer = 0;
  base::SteadyTime m_LastChange;
  std::optional<base::SteadyTime> m_LastAnswered;
};

} // namespace geraniumlift::keyvalue
