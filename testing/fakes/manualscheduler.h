#pragma once

#include "base/ischeduler.h"
#include "base/manualclock.h"

#include <map>
#include <utility>

namespace geraniumlift::fakes {

/// A scheduler in virtual time: functions run in the order of their due times while the test moves
/// the clock. Not thread-safe.
class ManualScheduler final : public base::IScheduler {
public:
  explicit ManualScheduler(base::ManualClock &Clock) : m_Clock(Clock) {}

  auto post(std::function<void()> Function) -> void override {
    m_Queue.emplace(m_Clock.steadyNow(), std::move(Function));
  }

  auto after(std::chrono::milliseconds Delay, std::function<void()> Function) -> void override {
    m_Queue.emplace(m_Clock.steadyNow() + Delay, std::move(Function));
  }

  /// Runs what is due within the duration and moves the clock to its end.
  auto runFor(std::chrono::nanoseconds Duration) -> void {
    const auto End = m_Clock.steadyNow() + Duration;
    while (!m_Queue.empty() && m_Queue.begin()->first <= End) {
      auto Next = m_Queue.extract(m_Queue.begin());
      if (Next.key() > m_Clock.steadyNow()) {
        m_Clock.advance(Next.key() - m_Clock.steadyNow());
      }
      Next.mapped()();
    }
    m_Clock.advance(End - m_Clock.steadyNow());
  }

private:
  base::ManualClock &m_Clock;
  std::multimap<base::SteadyTime, std::function<void()>> m_Queue;
};

} // namespace geraniumlift::fakes
