#include "forwarding/targetspeed.h"

#include "base/random.h"
#include "forwarding/placement.h"
#include "forwarding/tests/forwardingfakes.h"

#include <boost/random/uniform_real_distribution.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <queue>

using namespace geraniumlift;
using namespace geraniumlift::forwarding;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto Start = base::SteadyTime(1h);

/// Plays answers of a target that needs 110 ms and 1 ms for each 38.4 prompt tokens, times Factor.
struct SpeedFixture {
  auto answer(double Factor, double ExtraMs = 0.0) -> void {
    m_Now += 200ms;
    const auto Work = WorkAhead{500 + 700 * static_cast<Tokens>(m_Random() % 12),
                                static_cast<int>(m_Random() % 8)};
    const auto Noise = boost::random::uniform_real_distribution<double>(0.9, 1.1)(m_Random);
    m_Speed.recordFirstEvent(Work, 32, time(Work, Factor) * Noise + ExtraMs,
                             SpeedFigures::assumed(true), m_Now);
  }

  [[nodiscard]] static auto time(const WorkAhead &Work, double Factor) -> double {
    return Factor * (110.0 + static_cast<double>(Work.m_PromptTokens) / 38.4);
  }

  /// Forecast divided by the true time.
  [[nodiscard]] auto ratio(double Factor, milliseconds Later = 0ms) const -> double {
    const auto Work = WorkAhead{2400, 4};
    return m_Speed.figures(SpeedFigures::assumed(true), m_Now + Later).firstEventMs(Work, 32) /
           time(Work, Factor);
  }

  base::RandomEngine m_Random{11};
  base::SteadyTime m_Now = Start;
  TargetSpeed m_Speed{0.5};
};

} // namespace

// Guards against forecasts from a constant: 63 ms for first events that take 170 ms.
Test(targetspeed, forecastFollowsTheAnswers) {
  auto Fixture = SpeedFixture();
  cr_expect_lt(Fixture.ratio(1.0), 0.5);
  for (auto Round = 0; Round < 20; ++Round) {
    Fixture.answer(1.0);
  }
  cr_expect_gt(Fixture.ratio(1.0), 0.85, "%f", Fixture.ratio(1.0));
  cr_expect_lt(Fixture.ratio(1.0), 1.15, "%f", Fixture.ratio(1.0));
  cr_expect(Fixture.m_Speed.age(Fixture.m_Now + 3s) == 3s);
  cr_expect_lt(Fixture.ratio(1.0, 10min), 0.6, "old figures give way to those of the pool");
}

// Guards against a target that is avoided for one late answer, and against one that stays
// attractive after it has turned slow.
Test(targetspeed, noiseAndAChangeOfSpeedAreToldApart) {
  auto Fixture = SpeedFixture();
  for (auto Round = 0; Round < 30; ++Round) {
    Fixture.answer(1.0);
  }
  Fixture.answer(1.0, 4000.0);
  cr_expect_lt(Fixture.ratio(1.0), 1.3, "%f", Fixture.ratio(1.0));
  for (auto Round = 0; Round < 10; ++Round) {
    Fixture.answer(1.0);
  }
  for (auto Round = 0; Round < 6; ++Round) {
    Fixture.answer(3.0);
  }
  cr_expect_gt(Fixture.ratio(3.0), 0.7, "%f", Fixture.ratio(3.0));
}

Test(targetspeed, fullTargetMakesRequestsWaitForASlot) {
  auto Figures = SpeedFigures::assumed(true);
  Figures.m_ResponseMs = 600.0;
  const auto Free = Figures.firstEventMs({1000, 31}, 32);
  const auto Full = Figures.firstEventMs({1000, 63}, 32);
  cr_expect_gt(Full, Free + 590.0);
  auto Speed = TargetSpeed();
  cr_expect_not(Speed.fullAt(Start).has_value());
  Speed.recordTurnedAway(30, Start);
  cr_expect_eq(Speed.fullAt(Start + 100ms), std::optional<std::int64_t>(30));
  cr_expect_not(Speed.fullAt(Start + 1s).has_value());
}

namespace {

constexpr auto Targets = 20;

/// A pool of engines that read prompts one after the other. Each fifth is three times as slow.
struct PoolPlay {
  /// Chooses a target for a prompt of so many tokens.
  using Rule = std::function<int(PoolPlay &, const PlacementRequest &)>;

  PoolPlay() {
    for (auto Number = 0; Number < Targets; ++Number) {
      auto Record = TargetRecord();
      Record.m_Id = fmt::format("t{:02}", Number);
      Record.m_Pool = "p";
      m_Table.put(Record);
    }
  }

  /// Number of the second half of Count requests whose first event comes later than AimMs.
  auto play(const Rule &Choose, int Count, double AimMs) -> int {
    auto Late = 0;
    for (auto Number = 0; Number < Count; ++Number) {
      m_Now += 10ms;
      finishUntil(m_Now);
      const auto Tokens = base::Tokens{500 + 600 * static_cast<base::Tokens>(m_Random() % 8)};
      const auto Prompt = PromptMetadata{Tokens, 100, {{fmt::format("own{}", Number), Tokens}}};
      const auto Request =
          PlacementRequest{"p", &Prompt, {}, RequestRegions(), &m_Engine, m_Random()};
      const auto Target = Choose(*this, Request);
      const auto Factor = Target % 5 == 0 ? 3.0 : 1.0;
      auto &FreeAt = m_FreeAt.at(static_cast<std::size_t>(Target));
      const auto Reading =
          milliseconds(static_cast<std::int64_t>(Factor * static_cast<double>(Tokens) / 38.4));
      FreeAt = std::max(FreeAt, m_Now) + Reading;
      const auto First = FreeAt + milliseconds(static_cast<std::int64_t>(110.0 * Factor));
      const auto Id = fmt::format("t{:02}", Target);
      const auto Load = m_Table.find(Id)->ownLoad();
      m_Running.push({First,
                      Id,
                      Tokens,
                      m_Now,
                      {{Load.m_PendingPromptTokens + Tokens, Load.m_ActiveRequests}, 32, true}});
      m_Table.recordSent(Id, &Prompt, Tokens, m_Now);
      Late += Number >= Count / 2 && First - m_Now > milliseconds(static_cast<int>(AimMs)) ? 1 : 0;
    }
    return Late;
  }

  auto finishUntil(base::SteadyTime Now) -> void {
    while (!m_Running.empty() && m_Running.top().m_First <= Now) {
      const auto Item = m_Running.top();
      m_Running.pop();
      m_Table.recordResponseStart(Item.m_Id, Item.m_Tokens);
      m_Table.recordFirstEvent(Item.m_Id, 0, Item.m_Work,
                               std::chrono::duration_cast<milliseconds>(Item.m_First - Item.m_Sent),
                               Item.m_First);
      m_Table.recordEnd(Item.m_Id, Item.m_Tokens + 100);
    }
  }

  struct Run {
    base::SteadyTime m_First;
    std::string m_Id;
    Tokens m_Tokens = 0;
    base::SteadyTime m_Sent;
    AttemptWork m_Work;
    auto operator<(const Run &Other) const -> bool { return m_First > Other.m_First; }
  };

  base::RandomEngine m_Random{5};
  base::SteadyTime m_Now = Start;
  EngineParameters m_Engine{32, 250000, 4};
  TargetTable m_Table{HealthOptions()};
  std::array<base::SteadyTime, Targets> m_FreeAt{};
  std::priority_queue<Run> m_Running;
};

/// The rule before targets' speed was learned: the same constants for all.
auto formerRule(PoolPlay &Play, const PlacementRequest &) -> int {
  auto Best = 0;
  auto BestMs = 1e9;
  for (auto Number = 0; Number < Targets; ++Number) {
    const auto &Load = Play.m_Table.find(fmt::format("t{:02}", Number))->ownLoad();
    const auto Ms = static_cast<double>(Load.m_PendingPromptTokens) / 40.0 +
                    static_cast<double>(Load.m_ActiveRequests) * 1.5;
    if (Ms < BestMs) {
      BestMs = Ms;
      Best = Number;
    }
  }
  return Best;
}

auto learnedRule(PoolPlay &Play, const PlacementRequest &Request) -> int {
  auto Limits = tests::FakeLimits();
  auto Quarantine = tests::FakeQuarantine();
  const auto Gate = TargetGate(GateOptions(), Limits, Quarantine);
  const auto Rule =
      Placement(PlacementOptions(), [](const TargetRecord &) { return TargetLoad(); });
  return std::stoi(Rule.choose(Play.m_Table, Gate, Request, Play.m_Now)->m_TargetId.substr(1));
}

} // namespace

// Answers a load in which targets of one pool differ in speed: callers must get their first event
// inside their aim more often than with the same constants for all.
Test(targetspeed, fewerCallersAreLateThanWithConstants) {
  const auto Former = PoolPlay().play(formerRule, 4000, 350.0);
  const auto Learned = PoolPlay().play(learnedRule, 4000, 350.0);
  cr_log_info("late of 2000: %d with constants, %d learned", Former, Learned);
  cr_expect_gt(Former, 100);
  cr_expect_lt(Learned * 4, Former, "%d, formerly %d", Learned, Former);
}

// Guards against targets that crash because what they hold exceeds their memory.
Test(targetspeed, targetWithoutMemoryIsChosenLast) {
  auto Play = PoolPlay();
  const auto Large = PromptMetadata{100000, 1000, {{"own", 100000}}};
  Play.m_Engine.m_MemoryTokens = 150000;
  auto Chosen = std::set<int>();
  for (auto Number = 0; Number < Targets; ++Number) {
    const auto Target = learnedRule(Play, {"p", &Large, {}, RequestRegions(), &Play.m_Engine, 0});
    Chosen.insert(Target);
    Play.m_Table.recordSent(fmt::format("t{:02}", Target), &Large, 0, Start);
  }
  cr_expect_eq(Chosen.size(), static_cast<std::size_t>(Targets));
  cr_expect_geq(learnedRule(Play, {"p", &Large, {}, RequestRegions(), &Play.m_Engine, 0}), 0,
                "a full target is better than none");
}

// Guards against a herd: routers that hold the same old loads must not all choose the same target.
Test(targetspeed, routersWithTheSameLoadsSpreadOverEqualTargets) {
  auto Play = PoolPlay();
  auto Sent = std::map<int, int>();
  for (auto Router = 0; Router < 80; ++Router) {
    const auto Prompt = PromptMetadata{600, 100, {{"own", 600}}};
    ++Sent[learnedRule(Play,
                       {"p", &Prompt, {}, RequestRegions(), &Play.m_Engine, Play.m_Random()})];
  }
  for (const auto &[Target, Count] : Sent) {
    cr_expect_leq(Count, 14, "%d got %d", Target, Count);
  }
}
