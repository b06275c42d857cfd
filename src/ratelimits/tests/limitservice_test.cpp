#include "base/random.h"
#include "fakes/manualtimers.h"
#include "fakes/memoryeventlog.h"
#include "ratelimits/limitservice.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <memory>

using namespace geraniumlift;
using namespace geraniumlift::ratelimits;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// Routers that send requests to targets which name limits, in virtual time. Messages take up to
/// 3 ms or are lost; a router that ends is noticed after two seconds.
class LimitedTargets {
public:
  LimitedTargets(int Routers, int Targets, double Limit, double LossRate = 0.02)
      : m_Limit(Limit), m_LossRate(LossRate) {
    for (auto Number = 0; Number < Targets; ++Number) {
      m_Targets.push_back(targetKey(fmt::format("t{}", Number), 1));
    }
    for (auto Number = 0; Number < Routers; ++Number) {
      m_Nodes.push_back(std::make_unique<Node>(*this, fmt::format("vm{}", Number)));
    }
    updateViews();
  }

  /// Sends the requests of a load for some time, each at a random router.
  auto run(milliseconds Time, double PerSecond) -> void {
    const auto Gap = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(1.0 / PerSecond));
    auto NextTick = m_Clock.steadyNow();
    for (auto Passed = std::chrono::nanoseconds(0); Passed < Time; Passed += Gap) {
      arrive();
      m_Timers.runFor(Gap);
      if (m_Clock.steadyNow() >= NextTick) {
        NextTick = m_Clock.steadyNow() + 200ms;
        for (const auto &Item : m_Nodes) {
          if (Item->m_IsRunning) {
            Item->m_Service.advance();
          }
        }
      }
    }
  }

  auto kill(int Number) -> void {
    m_Nodes[static_cast<std::size_t>(Number)]->m_IsRunning = false;
    m_Timers.start(m_Clock.steadyNow() + 2s, [this] { updateViews(); });
  }

  /// Makes all targets cold for a while. Routers learn of it within 600 ms; the others hear of it
  /// when they are asked for permits.
  auto makeCold(double PerSecond, milliseconds Time) -> void {
    m_NamesLimit = false;
    m_CountsAll = true;
    const auto Until = m_Clock.steadyNow() + Time;
    for (const auto &Item : m_Nodes) {
      m_Timers.start(m_Clock.steadyNow() + milliseconds(random(600)),
                     [this, &Item, PerSecond, Until] {
                       for (const auto Target : m_Targets) {
                         Item->m_Service.setCold(Target, coldAllowance(PerSecond, 1.5, 5.0, Until));
                       }
                     });
    }
  }

  [[nodiscard]] auto now() const -> base::SteadyTime { return m_Clock.steadyNow(); }

  /// Changes what targets that are cold until then tolerate.
  auto changeCold(double PerSecond, base::SteadyTime Until) -> void {
    for (const auto &Item : m_Nodes) {
      for (const auto Target : m_Targets) {
        Item->m_Service.setCold(Target, coldAllowance(PerSecond, 1.5, 5.0, Until));
      }
    }
  }

  /// Cuts the first routers off from the others: each part hears only itself.
  auto divide(std::size_t First, milliseconds Lag = milliseconds(0)) -> void {
    m_CutOff = First;
    auto Parts = std::array<std::set<std::string>, 2>();
    for (std::size_t Number = 0; Number < m_Nodes.size(); ++Number) {
      Parts[Number < First ? 0 : 1].insert(m_Nodes[Number]->m_Name);
    }
    for (std::size_t Number = 0; Number < m_Nodes.size(); ++Number) {
      const auto Part = Parts[Number < First ? 0 : 1];
      auto &Service = m_Nodes[Number]->m_Service;
      m_Timers.start(m_Clock.steadyNow() + (Number < First ? Lag : milliseconds(0)),
                     [this, Part, &Service] {
                       Service.setRouters(Part);
                       Service.setInContact(Part.size() * 2 > m_Nodes.size());
                     });
    }
  }

  /// Most requests that a target got in 4 s from routers that it had told of its limit 500 ms
  /// before.
  [[nodiscard]] auto mostInFourSeconds() const -> int { return mostIn(4s); }

  /// Most of the counted requests that a target got in some span of this length.
  [[nodiscard]] auto mostIn(milliseconds Span) const -> int {
    auto Most = 0;
    for (const auto &[Target, Times] : m_Arrivals) {
      for (std::size_t First = 0; First < Times.size(); ++First) {
        auto Last = First;
        while (Last < Times.size() && Times[Last] < Times[First] + Span) {
          ++Last;
        }
        Most = std::max(Most, static_cast<int>(Last - First));
      }
    }
    return Most;
  }

  [[nodiscard]] auto allowedInFourSeconds() const -> int {
    return static_cast<int>(1.5 * 4.0 * m_Limit + 5.0);
  }

  double m_Limit;
  bool m_NamesLimit = true;

  /// Whether all requests are counted, not only those after a target has named its limit.
  bool m_CountsAll = false;
  int m_Served = 0;
  int m_Refused = 0;
  std::map<TargetKey, std::vector<base::SteadyTime>> m_Arrivals;

private:
  struct Node final : ILimitLink {
    Node(LimitedTargets &Play, std::string Name)
        : m_Play(Play), m_Name(std::move(Name)),
          m_Service(m_Name, *this, Play.m_Timers, Play.m_Clock, m_Log) {}

    auto send(const std::string &Router, const LimitMessage &Message) -> void override {
      m_Play.deliver(m_Name, Router, Message);
    }
    auto publish(const LimitUpdate &Update) -> void override {
      for (const auto &Other : m_Play.m_Nodes) {
        if (Other.get() != this) {
          m_Play.deliver(m_Name, Other->m_Name, Update);
        }
      }
    }

    LimitedTargets &m_Play;
    std::string m_Name;
    fakes::MemoryEventLog m_Log;
    bool m_IsRunning = true;
    LimitService m_Service;
    std::map<TargetKey, base::SteadyTime> m_ToldAt;
  };

  auto random(std::size_t Count) -> std::size_t {
    return boost::random::uniform_int_distribution<std::size_t>(0, Count - 1)(m_Random);
  }

  auto deliver(const std::string &Sender, const std::string &Name, const LimitMessage &Message)
      -> void {
    if (boost::random::uniform_real_distribution<double>(0.0, 1.0)(m_Random) < m_LossRate) {
      return;
    }
    const auto IsCutOff = [this](const std::string &Router) {
      return std::any_of(m_Nodes.begin(), m_Nodes.begin() + static_cast<std::ptrdiff_t>(m_CutOff),
                         [&Router](const auto &Item) { return Item->m_Name == Router; });
    };
    if (IsCutOff(Name) != IsCutOff(Sender)) {
      return;
    }
    const auto Decoded = decodeMessage(encodeMessage(Message));
    cr_assert(Decoded.ok());
    for (const auto &Item : m_Nodes) {
      if (Item->m_Name == Name) {
        m_Timers.start(m_Clock.steadyNow() + milliseconds(1 + random(3)),
                       [Raw = Item.get(), Content = *Decoded] {
                         if (Raw->m_IsRunning) {
                           Raw->m_Service.onMessage(Content);
                         }
                       });
      }
    }
  }

  auto updateViews() -> void {
    auto Running = std::set<std::string>();
    for (const auto &Item : m_Nodes) {
      if (Item->m_IsRunning) {
        Running.insert(Item->m_Name);
      }
    }
    for (const auto &Item : m_Nodes) {
      Item->m_Service.setRouters(Running);
    }
  }

  auto arrive() -> void {
    auto &Item = *m_Nodes[random(m_Nodes.size())];
    if (Item.m_IsRunning) {
      place(Item, 0);
    }
  }

  auto place(Node &Item, int Asked) -> void {
    auto Wanted = std::optional<TargetKey>();
    const auto First = random(m_Targets.size());
    for (std::size_t Offset = 0; Offset < m_Targets.size(); ++Offset) {
      const auto Target = m_Targets[(First + Offset) % m_Targets.size()];
      if (Item.m_Service.maySend(Target)) {
        send(Item, Target);
        return;
      }
      if (!Item.m_Service.retryAfter(Target)) {
        Wanted = Target;
      }
    }
    if (!Wanted || Asked == 3) {
      ++m_Refused;
      return;
    }
    Item.m_Service.requestPermit(
        *Wanted, [this, &Item, Asked](const PermitOutcome &) { place(Item, Asked + 1); });
  }

  auto send(Node &Item, TargetKey Target) -> void {
    Item.m_Service.onSend(Target);
    ++m_Served;
    const auto Now = m_Clock.steadyNow();
    const auto Told = Item.m_ToldAt.find(Target);
    if (m_CountsAll || (Told != Item.m_ToldAt.end() && Now - Told->second >= 500ms)) {
      m_Arrivals[Target].push_back(Now);
    }
    m_Timers.start(Now + 150ms, [this, &Item, Target] {
      if (m_NamesLimit) {
        Item.m_ToldAt.try_emplace(Target, m_Clock.steadyNow());
      }
      if (Item.m_IsRunning) {
        Item.m_Service.onAnswer(Target, {m_NamesLimit ? std::optional(m_Limit) : std::nullopt});
      }
    });
  }

  double m_LossRate;

  /// Number of routers, the first ones, that are cut off from the others.
  std::size_t m_CutOff = 0;
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  base::RandomEngine m_Random{7};
  std::vector<TargetKey> m_Targets;
  std::vector<std::unique_ptr<Node>> m_Nodes;
};

} // namespace

// Guards against routers that each keep to the limit while their sum does not.
Test(limitservice, allRoutersTogetherKeepToTheLimit) {
  struct Case {
    int m_Routers;
    double m_Limit;
  };
  for (const auto &[Routers, Limit] :
       {Case{9, 2.2}, Case{9, 12.0}, Case{82, 1.2}, Case{370, 1.2}}) {
    auto Play = LimitedTargets(Routers, 10, Limit);
    Play.run(2s, 100.0);
    Play.m_Arrivals.clear();
    const auto Before = Play.m_Served;
    Play.run(10s, 20.0 * Limit);
    cr_expect_leq(Play.mostInFourSeconds(), Play.allowedInFourSeconds(), "%d routers: %d of %d",
                  Routers, Play.mostInFourSeconds(), Play.allowedInFourSeconds());
    // Ten targets, ten seconds.
    cr_expect_geq(Play.m_Served - Before, static_cast<int>(0.8 * 100.0 * Limit),
                  "%d routers serve %d", Routers, Play.m_Served - Before);
  }
}

Test(limitservice, limitHoldsWhileKeepersEndAndOthersTakeOver) {
  auto Play = LimitedTargets(9, 6, 3.0);
  Play.run(2s, 100.0);
  Play.m_Arrivals.clear();
  for (const auto Number : {0, 3, 5, 7}) {
    Play.kill(Number);
    Play.run(3s, 60.0);
  }
  const auto Before = Play.m_Served;
  Play.run(5s, 60.0);
  cr_expect_leq(Play.mostInFourSeconds(), Play.allowedInFourSeconds(), "%d",
                Play.mostInFourSeconds());
  cr_expect_geq(Play.m_Served - Before, 60);
}

Test(limitservice, targetThatNamesNoLimitAnyLongerGetsAllRequests) {
  auto Play = LimitedTargets(9, 3, 2.0);
  Play.run(3s, 60.0);
  Play.m_NamesLimit = false;
  Play.run(2s, 60.0);
  const auto Refused = Play.m_Refused;
  Play.run(3s, 60.0);
  cr_expect_eq(Play.m_Refused, Refused);
}

// Guards against routers that flood cold targets together, and against leaving these idle.
Test(limitservice, coldTargetsGetWhatTheyTolerateFromAllRoutersTogether) {
  for (const auto Routers : {1, 18, 58, 82}) {
    auto Play = LimitedTargets(Routers, 6, 0.0);
    Play.makeCold(10.0, 8s);
    Play.run(700ms, 1.0);
    Play.m_Arrivals.clear();
    const auto Before = Play.m_Served;
    Play.run(5s, 400.0);
    cr_expect_leq(Play.mostIn(1s), 20, "%d routers: %d in a second", Routers, Play.mostIn(1s));
    // Six targets, five seconds, ten a second.
    cr_expect_geq(Play.m_Served - Before, 200, "%d routers serve %d", Routers,
                  Play.m_Served - Before);
    Play.run(4s, 400.0);
    const auto Refused = Play.m_Refused;
    Play.run(1s, 400.0);
    cr_expect_eq(Play.m_Refused, Refused, "targets that are no longer cold take everything");
  }
}

// Guards against two keepers, one on each side of a cut, that each give out what a cold target
// tolerates.
Test(limitservice, coldTargetsGetNothingFromRoutersWithoutContact) {
  auto Play = LimitedTargets(20, 4, 0.0);
  Play.makeCold(10.0, 20s);
  // Until all routers know of it, the load is light.
  Play.run(700ms, 1.0);
  Play.m_Arrivals.clear();
  Play.run(2s, 300.0);
  for (const auto CutOff : {6U, 10U, 20U}) {
    Play.divide(CutOff);
    const auto Before = Play.m_Served;
    Play.run(3s, 300.0);
    cr_expect_leq(Play.mostIn(1s), 20, "%u cut off: %d in a second", CutOff, Play.mostIn(1s));
    if (CutOff == 10) {
      cr_expect_leq(Play.m_Served - Before, 20, "no part is in contact");
    }
  }
}

Test(limitservice, unreadableMessagesAreRejected) {
  const auto Messages = std::vector<LimitMessage>{LimitUpdate{"vm", {{1, 2, 3}}},
                                                  PermitRequest{"vm", 4, {1, 2, 3}, {4, 5, 6}},
                                                  PermitReply{4, true, 5, {1, 2, 3}}};
  for (const auto &Message : Messages) {
    const auto Bytes = encodeMessage(Message);
    cr_expect_eq(decodeMessage(Bytes)->index(), Message.index());
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
      cr_expect_not(decodeMessage(std::string_view(Bytes).substr(0, Size)).ok());
    }
  }
  cr_expect_not(decodeMessage("x").ok());
}

// Guards against two keepers of a cold target: those that are cut off notice it half a second after
// the others have chosen a new one.
Test(limitservice, coldTargetsAreNotFloodedWhileTheKeeperChanges) {
  for (const auto PerSecond : {2.0, 10.0, 20.0}) {
    auto Play = LimitedTargets(20, 12, 0.0);
    Play.makeCold(PerSecond, 20s);
    Play.run(700ms, 1.0);
    Play.m_Arrivals.clear();
    Play.run(2s, 1200.0);
    Play.divide(9, 500ms);
    Play.run(3s, 1200.0);
    const auto Most = static_cast<int>(PerSecond * 1.5 + 5.0);
    cr_expect_leq(Play.mostIn(1s), Most, "%d in a second at %.0f", Play.mostIn(1s), PerSecond);
  }
}

// Guards against a configuration that lowers what cold targets tolerate and takes effect only for
// those that become cold later.
Test(limitservice, changedToleranceAppliesToTargetsThatAreColdAlready) {
  auto Play = LimitedTargets(5, 2, 0.0);
  const auto Until = Play.now() + 20s;
  Play.m_NamesLimit = false;
  Play.m_CountsAll = true;
  Play.changeCold(20.0, Until);
  Play.run(2s, 400.0);
  Play.changeCold(2.0, Until);
  Play.run(1s, 400.0);
  Play.m_Arrivals.clear();
  Play.run(3s, 400.0);
  cr_expect_leq(Play.mostIn(1s), 8, "%d", Play.mostIn(1s));
}
