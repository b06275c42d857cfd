#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "budget/ibudgetservice.h"
#include "geraniumliftd/peernetwork.h"
#include "keyvalue/ivmlist.h"
#include "vmwatch/vmtracker.h"

#include <chrono>
#include <memory>

namespace geraniumlift::daemon {

/// What the reclaimer works with. All references outlive it.
struct GrantReclaimerDependencies {
  const base::IClock &m_Clock;
  base::IScheduler &m_Scheduler;
  keyvalue::IVmList &m_VmList;
  const PeerNetwork &m_Peers;
  budget::IBudgetService &m_Budgets;
  vmwatch::VmTracker &m_Vms;
};

/// Reads the VM list at an interval and tells the budget service which holders have provably ended.
/// Runs on the scheduler's thread.
class GrantReclaimer : public std::enable_shared_from_this<GrantReclaimer> {
public:
  GrantReclaimer(std::chrono::milliseconds Interval, GrantReclaimerDependencies Dependencies);

  auto start() -> void;

private:
  auto poll() -> void;
  auto onVmList(const absl::StatusOr<std::vector<keyvalue::VmEntry>> &List) -> void;
  auto onViews(const std::vector<budget::BudgetView> &Views) -> void;

  /// Wraps a callback so that it runs on the scheduler's thread while the reclaimer lives.
  template <typename Argument>
  auto onSchedulerThread(void (GrantReclaimer::*Method)(const Argument &))
      -> std::function<void(Argument)> {
    return
        [Weak = weak_from_this(), &Scheduler = m_Dependencies.m_Scheduler, Method](Argument Value) {
          Scheduler.post([Weak, Method, Value = std::move(Value)] {
            if (const auto Self = Weak.lock()) {
              ((*Self).*Method)(Value);
            }
          });
        };
  }

  std::chrono::milliseconds m_Interval;
  GrantReclaimerDependencies m_Dependencies;
};

} // namespace geraniumlift::daemon
