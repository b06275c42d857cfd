#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "keyvalue/itransactionstore.h"

namespace geraniumlift::keyvalue {

/// Finds out whether the store answers, by a cheap read at intervals. A watch does not tell: it
/// gets no answer for as long as nothing changes.
class StoreMonitor {
public:
  using OnChange = std::function<void(bool IsReachable)>;

  /// The callback is told of the first result and of each change.
  StoreMonitor(ITransactionStore &Store, base::ITimers &Timers, const base::IClock &Clock,
               base::IEventLog &Log, OnChange Callback);

  auto start() -> void { probe(); }

  /// Probes at once, since another call has failed.
  auto probeNow() -> void;

private:
  auto probe() -> void;
  auto onResult(const absl::Status &Status) -> void;

  ITransactionStore &m_Store;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  OnChange m_OnChange;
  std::optional<bool> m_IsReachable;
  bool m_IsProbing = false;
  base::TimerId m_Timer = 0;
  base::SteadyTime m_LastChange;
};

} // namespace geraniumlift::keyvalue
