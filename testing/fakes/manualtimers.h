#pragma once

#include "base/itimers.h"
#include "base/manualclock.h"

#include <map>

namespace geraniumlift::fakes {

/// Timers in virtual time: they run in the order of their times while the test moves the clock.
class ManualTimers final : public base::ITimers {
public:
  explicit ManualTimers(base::ManualClock &Clock) : m_Clock(Clock) {}

  auto start(base::SteadyTime When, std::function<void()> Function) -> base::TimerId override {
    const auto Id = ++m_Last;
    m_Waiting.emplace(std::pair(When, Id), std::move(Function));
    return Id;
  }

  auto cancel(base::TimerId Timer) -> void override {
    std::erase_if(m_Waiting, [Timer](const auto &Item) { return Item.first.second == Timer; });
  }

  /// Runs what is due within the duration and moves the clock to its end.
  auto runFor(std::chrono::nanoseconds Duration) -> void {
    const auto End = m_Clock.steadyNow() + Duration;
    while (!m_Waiting.empty() && m_Waiting.begin()->first.first <= End) {
      auto Next = m_Waiting.extract(m_Waiting.begin());
      if (Next.key().first > m_Clock.steadyNow()) {
        m_Clock.advance(Next.key().first - m_Clock.steadyNow());
      }
      Next.mapped()();
    }
    m_Clock.advance(End - m_Clock.steadyNow());
  }

  [[nodiscard]] auto waiting() const -> std::size_t { return m_Waiting.size(); }

private:
  base::ManualClock &m_Clock;
  base::TimerId m_Last = 0;
  std::map<std::pair<base::SteadyTime, base::TimerId>, std::function<void()>> m_Waiting;
};

} // namespace geraniumlift::fakes
