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

/// What the monitor works with. All references outlive it.
struct TargetMonitorDependencies {
  const base::IClock &m_Clock;
  base::IScheduler &m_Scheduler;
  configuration::IConfigurationSource &m_Configuration;
  targets::ITargetClient &m_Targets;
  gateway::Gateway &m_Gateway;
  const vmwatch::VmTracker &m_Vms;
};

/// Reads the engines' load reports at an interval and joins what the reports and the VM list say
/// about leaving targets. Runs on the scheduler's thread; the tracker is used there only.
class TargetMonitor : public std::enable_shared_from_this<TargetMonitor> {
public:
  TargetMonitor(std::chrono::milliseconds Interval, TargetMonitorDependencies Dependencies);

  /// Begins to read reports.
  auto start() -> void;

private:
  auto poll() -> void;
  auto readLoadReport(const objects::Target &Target) -> void;
  auto onLoadReport(const std::string &Target, const absl::StatusOr<targets::EngineLoad> &Load)
      -> void;

  std::chrono::milliseconds m_Interval;
  TargetMonitorDependencies m_Dependencies;

  /// Targets whose last report said that they are leaving.
  std::set<std::string> m_ReportedLeaving;

  /// Targets whose report is being read; a slow one is not asked twice.
  std::set<std::string> m_PendingReads;
};

} // namespace geraniumlift::daemon
