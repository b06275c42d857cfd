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

/// Modules that the reclaimer uses. All references must outlive it.
struct GrantReclaimerDependencies {
  const base::IClock &m_Clock;
  base::IScheduler &m_Scheduler;
  keyvalue::IVmList &m_VmList;
  const PeerNetwork &m_Peers;
  budget::IBudgetService &m_Budgets;
  vmwatch::VmTracker &m_Vms;
};

/// Reads the VM list at a fixed interval and reports to the budget service each grant holder that
/// is proven to have ended. Runs on the scheduler's thread.
class GrantReclaimer : public std::enable_shared_from_this<GrantReclaimer> {
public:
  GrantReclaimer(std::chrono::milliseconds Interval, GrantReclaimerDependencies Dependencies);

  /// Starts the periodic polling.
  auto start() -> void;

private:
  /// Starts one read of the VM list and of the budgets, and schedules the next poll.
  auto poll() -> void;
  auto onVmList(const absl::StatusOr<std::vector<keyvalue::VmEntry>> &List) -> void;
  auto onViews(const std::vector<budget::BudgetView> &Views) -> void;

  /// Wraps a member function as a callback that runs on the scheduler's thread and does nothing
  /// once the reclaimer is destroyed.
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
