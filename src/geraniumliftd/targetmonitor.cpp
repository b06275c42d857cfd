#include "geraniumliftd/targetmonitor.h"

namespace geraniumlift::daemon {

TargetMonitor::TargetMonitor(std::chrono::milliseconds Interval,
                             TargetMonitorDependencies Dependencies)
    : m_Interval(Interval), m_Services(Dependencies) {}

auto TargetMonitor::start() -> void {
  m_Services.m_Scheduler.post([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->run();
    }
  });
}

auto TargetMonitor::run() -> void {
  const auto Snapshot = m_Services.m_Configuration.current();
  for (const auto &[Name, Target] : Snapshot->m_Objects.m_Targets) {
    const auto Pool = Snapshot->m_Objects.m_ModelPools.find(Target.m_Pool);
    const auto IsEngine = Pool != Snapshot->m_Objects.m_ModelPools.end() &&
                          Pool->second.m_Kind == objects::TargetKind::Engine;
    if (IsEngine && m_Reading.insert(Name).second) {
      readReport(Target);
    }
    const auto VmLeaving = !Target.m_Vm.empty() && m_Services.m_Vms.isLeaving(Target.m_Vm);
    m_Services.m_Gateway.setTargetLeaving(Name, VmLeaving || m_ReportedLeaving.contains(Name));
  }
  m_Services.m_Scheduler.after(m_Interval, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->run();
    }
  });
}

auto TargetMonitor::readReport(const objects::Target &Target) -> void {
  m_Services.m_Targets.readLoad(Target.m_Url,
                                [Weak = weak_from_this(), &Scheduler = m_Services.m_Scheduler,
                                 Name = Target.m_Name](absl::StatusOr<targets::EngineLoad> Load) {
                                  Scheduler.post([Weak, Name, Load = std::move(Load)] {
                                    if (const auto Self = Weak.lock()) {
                                      Self->onReport(Name, Load);
                                    }
                                  });
                                });
}

auto TargetMonitor::onReport(const std::string &Target,
                             const absl::StatusOr<targets::EngineLoad> &Load) -> void {
  m_Reading.erase(Target);
  if (!Load.ok()) {
    return;
  }
  if (Load->m_Leaving) {
    m_ReportedLeaving.insert(Target);
  } else {
    m_ReportedLeaving.erase(Target);
  }
  m_Services.m_Gateway.reportLoad(
      {Target, Load->m_RunningRequests, Load->m_WaitingRequests, Load->m_Age});
}

} // namespace geraniumlift::daemon
