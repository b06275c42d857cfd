#include "transport/asiotimers.h"

#include <algorithm>

namespace geraniumlift::transport {

namespace {

/// Timers due within this time run together, which saves wake-ups.
constexpr auto Slack = std::chrono::milliseconds(1);

} // namespace

auto AsioTimers::start(base::SteadyTime When, std::function<void()> Function) -> base::TimerId {
  const auto Id = ++m_Last;
  m_Waiting.emplace(Key{When, Id}, std::move(Function));
  m_Times.emplace(Id, When);
  arm();
  return Id;
}

auto AsioTimers::cancel(base::TimerId Timer) -> void {
  const auto Found = m_Times.find(Timer);
  if (Found != m_Times.end()) {
    m_Waiting.erase({Found->second, Timer});
    m_Times.erase(Found);
  }
}

auto AsioTimers::arm() -> void {
  if (m_Waiting.empty() || m_Waiting.begin()->first.first >= m_Armed) {
    return;
  }
  m_Armed = m_Waiting.begin()->first.first;
  m_Timer.expires_at(m_Armed);
  m_Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      fire();
    }
  });
}

auto AsioTimers::fire() -> void {
  const auto Now = base::SteadyTime::clock::now() + Slack;
  // Timers started meanwhile wait for the next round, so that a timer that restarts itself cannot
  // keep the loop here.
  const auto Newest = m_Last;
  while (!m_Waiting.empty() && m_Waiting.begin()->first.first <= Now &&
         m_Waiting.begin()->first.second <= Newest) {
    auto Node = m_Waiting.extract(m_Waiting.begin());
    m_Times.erase(Node.key().second);
    Node.mapped()();
  }
  m_Armed = base::SteadyTime::max();
  arm();
}

} // namespace geraniumlift::transport
