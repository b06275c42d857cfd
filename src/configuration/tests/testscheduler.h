#pragma once

#include "base/ischeduler.h"
#include "base/manualclock.h"

#include <map>
#include <utility>

namespace geraniumlift::configuration::testing {

/// A scheduler whose clock advances only in runFor.
class TestScheduler final : public base::IScheduler {
public:
  auto post(std::function<void()> Function) -> void override {
    after(std::chrono::milliseconds{0}, std::move(Function));
  }

  auto after(std::chrono::milliseconds Delay, std::function<void()> Function) -> void override {
    m_Queue.emplace(m_Clock.steadyNow() + Delay, std::move(Function));
  }

  /// Runs all functions that become due within the duration, in chronological order.
  auto runFor(std::chrono::milliseconds Duration) -> void {
    const auto End = m_Clock.steadyNow() + Duration;
    while (!m_Queue.empty() && m_Queue.begin()->first <= End) {
      auto Next = m_Queue.extract(m_Queue.begin());
      m_Clock.advance(Next.key() - m_Clock.steadyNow());
      Next.mapped()();
    }
    m_Clock.advance(End - m_Clock.steadyNow());
  }

  base::ManualClock m_Clock;

private:
  std::multimap<base::SteadyTime, std::function<void()>> m_Queue;
};

} // namespace geraniumlift::configuration::testing
