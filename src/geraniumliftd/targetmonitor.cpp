#include "geraniumliftd/targetmonitor.h"

namespace geraniumlift::daemon {

TargetMonitor::TargetMonitor(std::chrono::milliseconds Interval,
                             TargetMonitorDependencies Dependencies)
    : m_Interval(Interval), m_Dependencies(Dependencies) {}

auto TargetMonitor::start() -> void {
  m_Dependencies.m_Scheduler.post([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->poll();
    }
  });
}

auto TargetMonitor::poll() -> void {
  const auto Snapshot = m_Dependencies.m_Configuration.current();
  for (const auto &[Name, Target] : Snapshot->m_Objects.m_Targets) {
    const auto Pool = Snapshot->m_Objects.m_ModelPools.find(Target.m_Pool);
    const auto IsEngine = Pool != Snapshot->m_Objects.m_ModelPools.end() &&
                          Pool->second.m_Kind == objects::TargetKind::Engine;
    if (IsEngine && m_PendingReads.insert(Name).second) {
      readLoadReport(Target);
    }
    const auto VmLeaving = !Target.m_Vm.empty() && m_Dependencies.m_Vms.isLeaving(Target.m_Vm);
    m_Dependencies.m_Gateway.setTargetLeaving(Name, VmLeaving || m_ReportedLeaving.contains(Name));
  }
  m_Dependencies.m_Scheduler.after(m_Interval, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->poll();
    }
  });
}

auto TargetMonitor::readLoadReport(const objects::Target &Target) -> void {
  m_Dependencies.m_Targets.readLoad(
      Target.m_Url, [Weak = weak_from_this(), &Scheduler = m_Dependencies.m_Scheduler,
                     Name = Target.m_Name](absl::StatusOr<targets::EngineLoad> Load) {
        Scheduler.post([Weak, Name, Load = std::move(Load)] {
          if (const auto Self = Weak.lock()) {
            Self->onLoadReport(Name, Load);
          }
        });
      });
}

auto TargetMonitor::onLoadReport(const std::string &Target,
                                 const absl::StatusOr<targets::EngineLoad> &Load) -> void {
  m_PendingReads.erase(Target);
  if (!Load.ok()) {
    return;
  }
  if (Load->m_Leaving) {
    m_ReportedLeaving.insert(Target);
  } else {
    m_ReportedLeaving.erase(Target);
  }
  m_Dependencies.m_Gateway.reportLoad(
      {Target, Load->m_RunningRequests, Load->m_WaitingRequests, Load->m_Age});
}

} // namespace geraniumlift::daemon
