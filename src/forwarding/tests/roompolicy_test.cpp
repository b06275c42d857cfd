#include "forwarding/roompolicy.h"

#include "forwarding/tests/forwardingfakes.h"

#include <criterion/criterion.h>
#include <deque>

using namespace geraniumlift;
using namespace geraniumlift::forwarding;
using namespace std::chrono_literals;

namespace {

/// A room about whose figures there is no doubt.
auto knownRoom(double TakenShare) -> PoolRoom { return {TakenShare, false, 20.0, 100ms}; }

/// Whether any of the random numbers leads to a refusal.
auto mayRefuse(RoomRequest Request, const PoolRoom &Room) -> bool {
  auto IsRefused = false;
  for (Request.m_Salt = 0; Request.m_Salt < 1024; Request.m_Salt += 31) {
    IsRefused |= RoomPolicy::decide(Request, Room).m_Refusal != RoomRefusal::None;
  }
  return IsRefused;
}

/// Engines that read prompts one after the other, behind routers that see the queues half a second
/// late. Engines drop what is still queued at its deadline.
struct OverloadPlay {
  static constexpr auto Engines = std::size_t{4};
  static constexpr auto SlotsOfEngine = 8.0;
  static constexpr auto LeftMs = 1500.0;

  struct Queued {
    double m_Arrived = 0.0;
    double m_ReadMs = 0.0;
  };

  struct Engine {
    std::deque<Queued> m_Queue;
    double m_FreeAt = 0.0;
    double m_SeenMs = 0.0;
    double m_SeenCount = 0.0;
  };

  struct Result {
    int m_InTimeSmall = 0;
    int m_InTimeLarge = 0;
    int m_Refused = 0;
    [[nodiscard]] auto inTime() const -> int { return m_InTimeSmall + m_InTimeLarge; }
  };

  /// Lets the engine read until Now.
  auto advance(Engine &Item, double Now) -> void {
    while (!Item.m_Queue.empty()) {
      const auto Next = Item.m_Queue.front();
      const auto Begin = std::max(Item.m_FreeAt, Next.m_Arrived);
      if (Begin >= Now) {
        return;
      }
      Item.m_Queue.pop_front();
      if (Begin - Next.m_Arrived > LeftMs) {
        continue;
      }
      Item.m_FreeAt = Begin + Next.m_ReadMs;
      if (Item.m_FreeAt - Next.m_Arrived <= LeftMs) {
        ++(Next.m_ReadMs > 100.0 ? m_Outcome.m_InTimeLarge : m_Outcome.m_InTimeSmall);
      }
    }
  }

  auto look(Engine &Item, double Now) -> void {
    Item.m_SeenMs = std::max(0.0, Item.m_FreeAt - Now);
    for (const auto &Next : Item.m_Queue) {
      Item.m_SeenMs += Next.m_ReadMs;
    }
    Item.m_SeenCount = static_cast<double>(Item.m_Queue.size());
  }

  /// Plays 20 s with so many requests a second, small and large by turns.
  auto play(bool HasPolicy, int PerSecond) -> Result {
    auto NextReport = 0.0;
    for (auto Number = 0; Number < 20 * PerSecond; ++Number) {
      const auto Now = 1000.0 * Number / PerSecond;
      auto SeenCount = 0.0;
      for (auto &Item : m_Engines) {
        advance(Item, Now);
        if (Now >= NextReport) {
          look(Item, Now);
        }
        SeenCount += Item.m_SeenCount;
      }
      NextReport = Now >= NextReport ? NextReport + 500.0 : NextReport;
      auto &Engine = m_Engines.at(m_Random() % Engines);
      const auto ReadMs = Number % 2 == 0 ? 50.0 : 150.0;
      const auto Room = knownRoom(SeenCount / (SlotsOfEngine * Engines));
      const auto Request = RoomRequest{Engine.m_SeenMs + ReadMs, 1500ms,
                                       static_cast<std::int64_t>(m_Random() % 3), m_Random()};
      if (HasPolicy && RoomPolicy::decide(Request, Room).m_Refusal != RoomRefusal::None) {
        ++m_Outcome.m_Refused;
      } else {
        Engine.m_Queue.push_back({Now, ReadMs});
      }
    }
    return m_Outcome;
  }

  base::RandomEngine m_Random{3};
  std::array<Engine, Engines> m_Engines;
  Result m_Outcome;
};

} // namespace

// Guards against refusals that no caller needs: a late answer is worth more than a false refusal.
Test(roompolicy, doubtCountsForTheCaller) {
  const auto Late = RoomRequest{5000.0, 1000ms, 0, 0};
  cr_expect(mayRefuse(Late, knownRoom(2.0)));
  cr_expect_not(mayRefuse(Late, knownRoom(0.5)), "half of the slots are free");
  cr_expect_not(mayRefuse(Late, {2.0, false, 3.0, 100ms}), "few answers");
  cr_expect_not(mayRefuse(Late, {2.0, false, 20.0, 5s}), "old answers");
  cr_expect_not(mayRefuse({600.0, 1000ms, 2, 0}, knownRoom(2.0)), "well before the deadline");
  cr_expect_not(mayRefuse({850.0, 1000ms, 0, 0}, knownRoom(2.0)), "urgent");
  cr_expect(mayRefuse({850.0, 1000ms, 2, 0}, knownRoom(2.0)), "not urgent");
}

// Guards against a caller that comes back early and meets the same queue.
Test(roompolicy, retryAfterFollowsFromTheForecast) {
  const auto Decision = RoomPolicy::decide({3000.0, 1000ms, 0, 0}, knownRoom(2.0));
  cr_expect_eq(Decision.m_Refusal, RoomRefusal::TooLate);
  cr_expect(Decision.m_RetryAfter == 2000ms);
  const auto Full = RoomPolicy::decide({10.0, 1000ms, 0, 0}, {0.0, true, 0.0, 1h});
  cr_expect_eq(Full.m_Refusal, RoomRefusal::Full);
}

// Guards against routers that all refuse, or all send, on the same old figures.
Test(roompolicy, nearTheDeadlineAShareIsRefused) {
  auto Random = base::RandomEngine(1);
  auto Refused = 0;
  for (auto Number = 0; Number < 1000; ++Number) {
    const auto Decision = RoomPolicy::decide({1000.0, 1000ms, 0, Random()}, knownRoom(2.0));
    Refused += Decision.m_Refusal == RoomRefusal::None ? 0 : 1;
  }
  cr_expect_gt(Refused, 300);
  cr_expect_lt(Refused, 700);
}

// Answers a load of twice what the pool can take: more callers get their first event in time than
// where all requests are sent, and neither large nor small requests are starved.
Test(roompolicy, moreCallersAreInTimeUnderOverload) {
  const auto Former = OverloadPlay().play(false, 80);
  const auto Decided = OverloadPlay().play(true, 80);
  cr_log_info("in time of 800 small, 800 large: %d, %d formerly; %d, %d decided, %d refused",
              Former.m_InTimeSmall, Former.m_InTimeLarge, Decided.m_InTimeSmall,
              Decided.m_InTimeLarge, Decided.m_Refused);
  cr_expect_gt(2 * Decided.inTime(), 3 * Former.inTime());
  cr_expect_gt(Decided.m_InTimeSmall, 200);
  cr_expect_gt(Decided.m_InTimeLarge, 200);
  cr_expect_eq(OverloadPlay().play(true, 20).m_Refused, 0, "half of what the pool can take");
}
