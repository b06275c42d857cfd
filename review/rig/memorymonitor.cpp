#include "memorymonitor.h"

#include <csignal>
#include <fmt/format.h>

namespace geraniumlift::review {

using namespace std::chrono_literals;

namespace {

/// A process that was ended is started again after this.
constexpr auto RestartDelay = 1000ms;

/// Growth that is worth a line in the record.
constexpr auto LoggedGrowthKb = std::int64_t{8192};

} // namespace

auto MemoryMonitor::check() -> void {
  for (const auto &Router : m_Fleet.routers()) {
    const auto Now = std::chrono::steady_clock::now();
    const auto Down = m_DownSince.find(Router->name());
    if (Down == m_DownSince.end()) {
      checkRouter(*Router);
    } else if (Now - Down->second >= RestartDelay) {
      Router->start();
      m_Log.line(fmt::format("started {} again", Router->name()));
      m_DownSince.erase(Down);
    }
  }
}

auto MemoryMonitor::checkRouter(RouterVm &Router) -> void {
  const auto Resident = Router.residentKb();
  const auto Unread = Router.unreadKb();
  const auto Sum = Resident + Unread;
  auto &LastLogged = m_LastLogged[Router.name()];
  if (Sum > LastLogged + LoggedGrowthKb) {
    m_Log.line(fmt::format("memory of {}: {} KiB resident, {} KiB received and not read",
                           Router.name(), Resident, Unread));
    LastLogged = Sum;
  }
  if (Sum <= std::int64_t{Router.memoryMb()} * 1024) {
    return;
  }
  Router.signal(SIGKILL);
  m_Log.line(fmt::format("{} killed by the platform: {} + {} KiB of {} MiB", Router.name(),
                         Resident, Unread, Router.memoryMb()));
  while (!Router.hasEnded()) {
    std::this_thread::sleep_for(1ms);
  }
  m_DownSince[Router.name()] = std::chrono::steady_clock::now();
  ++m_Kills;
}

} // namespace geraniumlift::review
