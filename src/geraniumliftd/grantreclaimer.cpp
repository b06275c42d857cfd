#include "geraniumliftd/grantreclaimer.h"

#include "base/log.h"

namespace geraniumlift::daemon {

GrantReclaimer::GrantReclaimer(std::chrono::milliseconds Interval,
                               GrantReclaimerDependencies Dependencies)
    : m_Interval(Interval), m_Services(Dependencies) {}

auto GrantReclaimer::start() -> void {
  m_Services.m_Scheduler.post([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->run();
    }
  });
}

auto GrantReclaimer::run() -> void {
  for (const auto &Peer : m_Services.m_Peers.heardRouters()) {
    m_Services.m_Vms.onHeartbeat(Peer.m_Holder, Peer.m_Heard);
  }
  m_Services.m_VmList.read(onThread(&GrantReclaimer::onVmList));
  m_Services.m_Budgets.views(onThread(&GrantReclaimer::onViews));
  m_Services.m_Scheduler.after(m_Interval, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->run();
    }
  });
}

auto GrantReclaimer::onVmList(const absl::StatusOr<std::vector<keyvalue::VmEntry>> &List) -> void {
  if (List.ok()) {
    m_Services.m_Vms.onVmList(*List, m_Services.m_Clock.steadyNow());
  }
}

auto GrantReclaimer::onViews(const std::vector<budget::BudgetView> &Views) -> void {
  const auto Now = m_Services.m_Clock.steadyNow();
  for (const auto &View : Views) {
    for (const auto &Holder : View.m_OtherHolders) {
      if (m_Services.m_Vms.hasEnded(Holder, Now)) {
        base::logEvent(base::LogLevel::Info, "holder_gone",
                       {{"vm", Holder.m_Vm},
                        {"incarnation", Holder.m_Incarnation},
                        {"budget", View.m_Budget}});
        m_Services.m_Budgets.holderGone(Holder);
      }
    }
  }
}

} // namespace geraniumlift::daemon
