#include "forwarding/targetpace.h"

#include "forwarding/placement.h"
#include "forwarding/tests/forwardingfakes.h"

#include <criterion/criterion.h>
#include <deque>
#include <fmt/format.h>

using namespace geraniumlift;
using namespace geraniumlift::forwarding;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto Start = base::SteadyTime(1h);

/// How a target behaves after it has returned.
enum class Return { Healthy, Slow, Failing };

/// Routers that send calls to 60 targets and learn of each other's load every half a second. A
/// target runs four calls of 50 ms at a time.
class FleetPlay {
public:
  struct Result {
    /// Most calls that were at one returned target at a time.
    std::size_t m_Peak = 0;
    int m_Failed = 0;

    /// Calls of all that take longer than 150 ms.
    int m_Late = 0;

    /// Those of them at returned targets.
    int m_LateThere = 0;
    int m_Sent = 0;

    /// Calls that returned targets were sent in the last second.
    int m_SentLast = 0;
  };

  FleetPlay(int Routers, Return How, std::uint64_t Seed = 9, bool AreAllCompared = false)
      : m_How(How), m_AreAllCompared(AreAllCompared), m_Random(Seed) {
    for (auto Number = 0; Number < Routers; ++Number) {
      m_Routers.push_back(std::make_unique<Router>(*this, fmt::format("r{}", Number), Routers));
    }
  }

  /// Plays 2 s of 3,000 calls a second. Targets 0 to Returning - 1 have been away and return at the
  /// beginning.
  auto play(int Returning, bool IsPaced) -> Result {
    for (auto &Router : m_Routers) {
      Router->prepare(Returning, IsPaced);
    }
    for (m_Now = Start; m_Now < Start + 2s; m_Now += 1ms) {
      if ((m_Now - Start) % 500ms == 0ms) {
        report();
      }
      finish(Returning);
      for (auto Number = 0; Number < 3; ++Number) {
        send(*m_Routers.at(m_Random() % m_Routers.size()), Returning);
      }
    }
    return m_Result;
  }

private:
  static constexpr auto Targets = 60;

  struct Router {
    Router(FleetPlay &Play, const std::string &Name, int Routers)
        : m_Gate({1000ms, {}, Name}, m_Limits, m_Quarantine),
          m_Rule(PlacementOptions(),
                 [&Play, this](const TargetRecord &Record) { return peerLoad(Play, Record); }) {
      m_Gate.setPeerLoad(
          [&Play, this](const TargetRecord &Record) { return peerLoad(Play, Record); });
      m_Gate.setRouterCount(Routers);
      m_Rule.setRouterCount(Play.m_AreAllCompared ? 1 : static_cast<std::size_t>(Routers));
    }

    /// What all others had at the target when they last reported.
    [[nodiscard]] auto peerLoad(const FleetPlay &Play, const TargetRecord &Record) const
        -> TargetLoad {
      auto Load = TargetLoad();
      const auto Seen = Play.m_Seen.find(Record.m_Id);
      const auto Own = m_Reported.find(Record.m_Id);
      Load.m_ActiveRequests = (Seen == Play.m_Seen.end() ? 0 : Seen->second) -
                              (Own == m_Reported.end() ? 0 : Own->second);
      return Load;
    }

    auto prepare(int Returning, bool IsPaced) -> void {
      for (auto Number = Targets; Number-- > 0;) {
        const auto Id = fmt::format("t{}", Number);
        m_Table.put(tests::ForwardingFixture::target(Id, "p"), Start);
        const auto IsKnown = Number >= Returning;
        // Without pace is as before: the returned target counts like any other.
        for (auto Answer = 0; Answer < 8 && (IsKnown || !IsPaced); ++Answer) {
          m_Table.recordFirstEvent(Id, 0, {{0, 0}, 0, false}, 50ms, Start);
        }
      }
    }

    tests::FakeLimits m_Limits;
    tests::FakeQuarantine m_Quarantine;
    TargetTable m_Table{HealthOptions()};
    TargetGate m_Gate;
    Placement m_Rule;
    std::map<std::string, std::int64_t> m_Reported;
  };

  struct Call {
    Router *m_Router = nullptr;
    base::SteadyTime m_Sent;
    base::SteadyTime m_End;
  };

  auto report() -> void {
    m_Seen.clear();
    for (auto &Item : m_Routers) {
      Item->m_Reported.clear();
      for (const auto &[Id, State] : Item->m_Table.all()) {
        m_Seen[Id] += State.ownLoad().m_ActiveRequests;
        Item->m_Reported[Id] = State.ownLoad().m_ActiveRequests;
      }
    }
  }

  auto send(Router &From, int Returning) -> void {
    const auto Choice =
        From.m_Rule.choose(From.m_Table, From.m_Gate,
                           {"p", nullptr, {}, RequestRegions(), nullptr, m_Random()}, m_Now);
    const auto &Id = Choice->m_TargetId;
    const auto Number = std::stoi(Id.substr(1));
    From.m_Table.recordSent(Id, nullptr, 0, m_Now);
    auto &Calls = m_Calls[Id];
    const auto IsReturned = Number < Returning;
    const auto Work = IsReturned && m_How == Return::Slow ? 500ms : 50ms;
    const auto Before = Calls.size() < 4 ? m_Now : Calls.at(Calls.size() - 4).m_End;
    const auto Fails = IsReturned && m_How == Return::Failing;
    Calls.push_back({&From, m_Now, Fails ? m_Now + 2ms : std::max(Before, m_Now) + Work});
    if (IsReturned) {
      ++m_Result.m_Sent;
      m_Result.m_SentLast += m_Now >= Start + 1s ? 1 : 0;
      m_Result.m_Peak = std::max(m_Result.m_Peak, Calls.size());
    }
    const auto IsLate = Calls.back().m_End - m_Now > 150ms;
    m_Result.m_Late += IsLate ? 1 : 0;
    m_Result.m_LateThere += IsLate && IsReturned ? 1 : 0;
  }

  auto finish(int Returning) -> void {
    for (auto &[Id, Calls] : m_Calls) {
      while (!Calls.empty() && Calls.front().m_End <= m_Now) {
        const auto Call = Calls.front();
        Calls.pop_front();
        auto &Table = Call.m_Router->m_Table;
        if (m_How == Return::Failing && std::stoi(Id.substr(1)) < Returning) {
          Table.recordEnd(Id);
          Table.recordResult(Id, AttemptResult::Failed, m_Now);
          ++m_Result.m_Failed;
          continue;
        }
        Table.recordFirstEvent(Id, 0, {{0, 0}, 0, false},
                               std::chrono::duration_cast<milliseconds>(m_Now - Call.m_Sent),
                               m_Now);
        Table.recordEnd(Id, 0, true);
        Table.recordResult(Id, AttemptResult::Success, m_Now);
      }
    }
  }

  Return m_How;

  /// The rule before routers compared a few targets each.
  bool m_AreAllCompared;
  base::RandomEngine m_Random;
  std::vector<std::unique_ptr<Router>> m_Routers;
  std::map<std::string, std::deque<Call>> m_Calls;
  std::map<std::string, std::int64_t> m_Seen;
  base::SteadyTime m_Now = Start;
  Result m_Result;
};

/// The sum of three plays.
auto plays(int Routers, Return How, int Returning, bool IsPaced) -> FleetPlay::Result {
  auto Sum = FleetPlay::Result();
  for (const auto Seed : {9U, 10U, 11U}) {
    const auto One = FleetPlay(Routers, How, Seed).play(Returning, IsPaced);
    Sum.m_Peak = std::max(Sum.m_Peak, One.m_Peak);
    Sum.m_Failed += One.m_Failed;
    Sum.m_Late += One.m_Late;
    Sum.m_LateThere += One.m_LateThere;
    Sum.m_Sent += One.m_Sent;
    Sum.m_SentLast += One.m_SentLast;
  }
  return Sum;
}

auto show(const char *What, int Routers, const FleetPlay::Result &Former,
          const FleetPlay::Result &Paced) -> void {
  cr_log_info("%s, %d routers: peak %zu, %zu paced; late %d, %d paced, there %d, %d paced; failed "
              "%d, %d paced; sent "
              "%d, %d paced; "
              "in the last second %d, %d paced",
              What, Routers, Former.m_Peak, Paced.m_Peak, Former.m_Late, Paced.m_Late,
              Former.m_LateThere, Paced.m_LateThere, Former.m_Failed, Paced.m_Failed, Former.m_Sent,
              Paced.m_Sent, Former.m_SentLast, Paced.m_SentLast);
}

} // namespace

// Guards against a herd: routers that know the same loads, half a second old, must not all send to
// the target that had the fewest calls then.
Test(targetpace, routersWithOldLoadsDoNotHerd) {
  for (const auto Routers : {18, 80}) {
    const auto All = FleetPlay(Routers, Return::Healthy, 9, true).play(60, false);
    const auto Few = FleetPlay(Routers, Return::Healthy).play(60, false);
    cr_log_info("%d routers: of 6,000 calls %d late where all targets are compared, %d where few; "
                "peak %zu, %zu",
                Routers, All.m_Late, Few.m_Late, All.m_Peak, Few.m_Peak);
    cr_expect_lt(2 * Few.m_Late, All.m_Late, "%d routers", Routers);
  }
}

// Answers the load of one target that returns among 60: it must not be flooded at first, and not be
// left idle afterwards.
Test(targetpace, oneReturnedTargetIsNeitherFloodedNorIdle) {
  for (const auto Routers : {1, 18, 80}) {
    const auto Former = plays(Routers, Return::Healthy, 1, false);
    const auto Paced = plays(Routers, Return::Healthy, 1, true);
    show("one back", Routers, Former, Paced);
    cr_expect_leq(Paced.m_LateThere, Former.m_LateThere + 10, "%d routers", Routers);
    cr_expect_gt(2 * Paced.m_SentLast, Former.m_SentLast, "%d routers", Routers);
  }
}

// Guards against refusing or stalling when every target of the pool has just returned.
Test(targetpace, allTargetsThatReturnAtOnceAreUsed) {
  for (const auto Routers : {1, 18, 80}) {
    const auto Former = plays(Routers, Return::Healthy, 60, false);
    const auto Paced = plays(Routers, Return::Healthy, 60, true);
    show("all back", Routers, Former, Paced);
    cr_expect_eq(Paced.m_Sent, 3 * 6000);
    cr_expect_leq(4 * Paced.m_Late, 5 * Former.m_Late + 100, "%d routers", Routers);
  }
}

// Answers the load of a target that returns ten times as slow as before.
Test(targetpace, slowReturnedTargetGetsFewCalls) {
  for (const auto Routers : {1, 18, 80}) {
    const auto Former = plays(Routers, Return::Slow, 1, false);
    const auto Paced = plays(Routers, Return::Slow, 1, true);
    show("slow", Routers, Former, Paced);
    // One router alone knows all load that it has put there.
    cr_expect_lt(Paced.m_Sent, Former.m_Sent + (Routers == 1 ? 1 : 0), "%d routers", Routers);
  }
}

// Answers the load of a target that fails again at once: each call to it costs a caller an attempt.
Test(targetpace, targetThatFailsAgainGetsFewerCalls) {
  for (const auto Routers : {1, 18, 80}) {
    const auto Former = plays(Routers, Return::Failing, 1, false);
    const auto Paced = plays(Routers, Return::Failing, 1, true);
    show("fails again", Routers, Former, Paced);
    cr_expect_lt(Paced.m_Failed, Former.m_Failed + (Routers == 1 ? 1 : 0), "%d routers", Routers);
  }
}

// Guards against a router that waits for others that are not there.
Test(targetpace, turnFollowsFromTheFleet) {
  auto Pace = TargetPace();
  cr_expect(Pace.maySend({80, 1.0}, Start), "a target that has not returned is not paced");
  Pace.begin(Start);
  cr_expect(Pace.untilTurn({1, 1.0}, Start) == 0ms);
  cr_expect(Pace.untilTurn({80, 0.01}, Start) == 0ms);
  cr_expect(Pace.untilTurn({80, 0.8, 0}, Start) == 1800ms);
  cr_expect(Pace.untilTurn({80, 0.8, 5}, Start) == 1200ms, "others have requests there");
  cr_expect_not(Pace.maySend({80, 0.8, 5}, Start + 1199ms));
  cr_expect(Pace.maySend({80, 0.8, 5}, Start + 1200ms));
  Pace.onSent();
  cr_expect_not(Pace.maySend({80, 0.8, 5}, Start + 1200ms), "one unanswered request is the window");
  Pace.onAnswered();
  cr_expect(Pace.maySend({80, 0.8, 5}, Start + 1200ms));
  Pace.onAnswered();
  cr_expect_not(Pace.isPaced(80));
  cr_expect(Pace.isPaced(1), "a single router begins more slowly");
}
