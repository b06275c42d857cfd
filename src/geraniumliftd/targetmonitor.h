#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "configuration/iconfigurationsource.h"
#include "gateway/gateway.h"
#include "targets/itargetclient.h"
#include "vmwatch/vmtracker.h"

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace geraniumlift::daemon {

/// Modules that the monitor uses. All references must outlive it.
struct TargetMonitorDependencies {
  const base::IClock &m_Clock;
  base::IScheduler &m_Scheduler;
  configuration::IConfigurationSource &m_Configuration;
  targets::ITargetClient &m_Targets;
  gateway::Gateway &m_Gateway;
  const vmwatch::VmTracker &m_Vms;
};

/// Reads the engines' load reports at a fixed interval and marks a target as leaving if its last
/// report or the VM list says so. Runs on the scheduler's thread, the only one that uses the
/// tracker.
class TargetMonitor : public std::enable_shared_from_this<TargetMonitor> {
public:
  TargetMonitor(std::chrono::milliseconds Interval, TargetMonitorDependencies Dependencies);

  /// Starts the periodic polling.
  auto start() -> void;

private:
  /// Starts to read the report of each engine without a pending read, updates which targets are
  /// leaving and schedules the next poll.
  auto poll() -> void;
  auto readLoadReport(const objects::Target &Target) -> void;
  auto onLoadReport(const std::string &Target, const absl::StatusOr<targets::EngineLoad> &Load)
      -> void;

  std::chrono::milliseconds m_Interval;
  TargetMonitorDependencies m_Dependencies;

  /// Names of the targets whose last load report said that they are leaving.
  std::set<std::string> m_ReportedLeaving;

  /// Names of the targets whose load report is being read. A target with a read in progress is not
  /// read again.
  std::set<std::string> m_PendingReads;
};

} // namespace geraniumlift::daemon
