#pragma once

#include "base/ischeduler.h"
#include "base/manualclock.h"

#include <deque>
#include <map>
#include <utility>

namespace geraniumlift::testing {

/// A scheduler for tests: functions run when the test says so, on the test's thread.
class ManualScheduler final : public base::IScheduler {
public:
  explicit ManualScheduler(base::ManualClock &Clock) : m_Clock(Clock) {}

  auto post(std::function<void()> Function) -> void override {
    m_Ready.push_back(std::move(Function));
  }

  auto after(std::chrono::milliseconds Delay, std::function<void()> Function) -> void override {
    m_Delayed.emplace(m_Clock.steadyNow() + Delay, std::move(Function));
  }

  /// Runs what is ready, including what those functions post.
  auto runReady() -> void {
    while (!m_Ready.empty()) {
      const auto Function = std::move(m_Ready.front());
      m_Ready.pop_front();
      Function();
    }
  }

  /// Moves the clock forward and runs delayed functions in order of their time.
  auto advance(std::chrono::milliseconds Duration) -> void {
    const auto End = m_Clock.steadyNow() + Duration;
    runReady();
    while (!m_Delayed.empty() && m_Delayed.begin()->first <= End) {
      const auto Due = m_Delayed.begin()->first;
      const auto Function = std::move(m_Delayed.begin()->second);
      m_Delayed.erase(m_Delayed.begin());
      m_Clock.advance(std::max(Due - m_Clock.steadyNow(), std::chrono::nanoseconds{0}));
      Function();
      runReady();
    }
    m_Clock.advance(End - m_Clock.steadyNow());
  }

private:
  base::ManualClock &m_Clock;
  std::deque<std::function<void()>> m_Ready;
  std::multimap<base::SteadyTime, std::function<void()>> m_Delayed;
};

} // namespace geraniumlift::testing
