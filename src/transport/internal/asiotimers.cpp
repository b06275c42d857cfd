#include "transport/asiotimers.h"

#include <algorithm>

namespace geraniumlift::transport {

namespace {

/// Timers that are due within this window run in one wake-up, which saves wake-ups.
constexpr auto CoalescingWindow = std::chrono::milliseconds(1);

} // namespace

auto AsioTimers::start(base::SteadyTime When, std::function<void()> Function) -> base::TimerId {
  const auto Id = ++m_LastId;
  m_PendingTimers.emplace(Key{When, Id}, std::move(Function));
  m_DueTimes.emplace(Id, When);
  arm();
  return Id;
}

auto AsioTimers::cancel(base::TimerId Timer) -> void {
  const auto Found = m_DueTimes.find(Timer);
  if (Found != m_DueTimes.end()) {
    m_PendingTimers.erase({Found->second, Timer});
    m_DueTimes.erase(Found);
  }
}

auto AsioTimers::arm() -> void {
  if (m_PendingTimers.empty() || m_PendingTimers.begin()->first.first >= m_ArmedTime) {
    return;
  }
  m_ArmedTime = m_PendingTimers.begin()->first.first;
  m_Timer.expires_at(m_ArmedTime);
  m_Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      runDueTimers();
    }
  });
}

auto AsioTimers::runDueTimers() -> void {
  const auto Now = base::SteadyTime::clock::now() + CoalescingWindow;
  // Timers that are started by the functions below wait for the next call. Otherwise a timer that
  // restarts itself could block the event loop here.
  const auto LastIdAtStart = m_LastId;
  while (!m_PendingTimers.empty() && m_PendingTimers.begin()->first.first <= Now &&
         m_PendingTimers.begin()->first.second <= LastIdAtStart) {
    auto Node = m_PendingTimers.extract(m_PendingTimers.begin());
    m_DueTimes.erase(Node.key().second);
    Node.mapped()();
  }
  m_ArmedTime = base::SteadyTime::max();
  arm();
}

} // namespace geraniumlift::transport
