#include "geraniumliftd/grantreclaimer.h"

#include "base/log.h"

namespace geraniumlift::daemon {

GrantReclaimer::GrantReclaimer(std::chrono::milliseconds Interval,
                               GrantReclaimerDependencies Dependencies)
    : m_Interval(Interval), m_Dependencies(Dependencies) {}

auto GrantReclaimer::start() -> void {
  m_Dependencies.m_Scheduler.post([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->poll();
    }
  });
}

auto GrantReclaimer::poll() -> void {
  for (const auto &Peer : m_Dependencies.m_Peers.liveRouters()) {
    m_Dependencies.m_Vms.onHeartbeat(Peer.m_Holder, Peer.m_LastHeard);
  }
  m_Dependencies.m_VmList.read(onSchedulerThread(&GrantReclaimer::onVmList));
  m_Dependencies.m_Budgets.views(onSchedulerThread(&GrantReclaimer::onViews));
  m_Dependencies.m_Scheduler.after(m_Interval, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->poll();
    }
  });
}

auto GrantReclaimer::onVmList(const absl::StatusOr<std::vector<keyvalue::VmEntry>> &List) -> void {
  if (List.ok()) {
    m_Dependencies.m_Vms.onVmList(*List, m_Dependencies.m_Clock.steadyNow());
  }
}

auto GrantReclaimer::onViews(const std::vector<budget::BudgetView> &Views) -> void {
  const auto Now = m_Dependencies.m_Clock.steadyNow();
  for (const auto &View : Views) {
    for (const auto &Holder : View.m_OtherHolders) {
      if (m_Dependencies.m_Vms.hasEnded(Holder, Now)) {
        base::logEvent(base::LogLevel::Info, "holder_gone",
                       {{"vm", Holder.m_Vm},
                        {"incarnation", Holder.m_Incarnation},
                        {"budget", View.m_Budget}});
        m_Dependencies.m_Budgets.holderGone(Holder);
      }
    }
  }
}

} // namespace geraniumlift::daemon
