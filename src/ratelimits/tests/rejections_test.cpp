#include "base/random.h"
#include "fakes/manualtimers.h"
#include "fakes/memoryeventlog.h"
#include "ratelimits/limitservice.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <memory>

using namespace geraniumlift;
using namespace geraniumlift::ratelimits;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// What a fleet does about brittle targets.
enum class Bound { None, Kept };

/// Routers that send requests to brittle targets, in virtual time. A target turns requests away
/// when it is full; it falls over if it turns away too many within a second, and is back after
/// three. Messages take up to 3 ms or are lost.
class BrittleTargets {
public:
  static constexpr auto Slots = 8;
  static constexpr auto ServiceTime = 400ms;

  BrittleTargets(int Routers, int Targets, double MaxRejections, Bound Kept)
      : m_MaxRejections(MaxRejections), m_Kept(Kept), m_Targets(static_cast<std::size_t>(Targets)) {
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
      auto &From = *m_Nodes[random(m_Nodes.size())];
      if (From.m_IsRunning) {
        ++m_Requests;
        place(From, 3);
      }
      m_Timers.runFor(Gap);
      if (m_Clock.steadyNow() >= NextTick) {
        NextTick = m_Clock.steadyNow() + 200ms;
        for (const auto &Item : m_Nodes) {
          Item->m_Service.advance();
        }
      }
    }
  }

  auto kill(std::size_t Number) -> void {
    m_Nodes[Number]->m_IsRunning = false;
    m_Timers.start(m_Clock.steadyNow() + 2s, [this] { updateViews(); });
  }

  int m_Requests = 0;
  int m_Served = 0;
  int m_Rejected = 0;
  int m_Falls = 0;

private:
  struct Target {
    int m_Incarnation = 1;
    int m_Running = 0;
    std::deque<base::SteadyTime> m_Rejections;
    base::SteadyTime m_BackAt;
  };

  struct Node final : ILimitLink {
    Node(BrittleTargets &Fleet, std::string Name)
        : m_Fleet(Fleet), m_Name(std::move(Name)),
          m_Service(m_Name, *this, Fleet.m_Timers, Fleet.m_Clock, m_Log) {}

    auto send(const std::string &Router, const LimitMessage &Message) -> void override {
      m_Fleet.deliver(Router, Message);
    }
    auto publish(const LimitUpdate &Update) -> void override {
      for (const auto &Item : m_Fleet.m_Nodes) {
        if (Item->m_Name != m_Name) {
          m_Fleet.deliver(Item->m_Name, Update);
        }
      }
    }

    BrittleTargets &m_Fleet;
    std::string m_Name;
    bool m_IsRunning = true;
    fakes::MemoryEventLog m_Log;
    LimitService m_Service;
  };

  auto random(std::size_t Limit) -> std::size_t { return m_Random() % Limit; }

  [[nodiscard]] auto keyOf(std::size_t Index) const -> TargetKey {
    return targetKey(fmt::format("t{}", Index), m_Targets[Index].m_Incarnation);
  }

  auto deliver(const std::string &To, const LimitMessage &Message) -> void {
    if (random(100) < 2) {
      return;
    }
    // Messages are decoded as they arrive.
    m_Timers.start(m_Clock.steadyNow() + milliseconds(1 + random(3)),
                   [this, To, Bytes = encodeMessage(Message)] {
                     for (const auto &Item : m_Nodes) {
                       if (Item->m_Name == To && Item->m_IsRunning) {
                         Item->m_Service.onMessage(*decodeMessage(Bytes));
                       }
                     }
                   });
  }

  /// Places a request at a random target, with a permit where that is needed.
  auto place(Node &From, int Tries) -> void {
    const auto Index = random(m_Targets.size());
    const auto Key = keyOf(Index);
    if (m_Kept == Bound::None || From.m_Service.maySend(Key)) {
      send(From, Index, Tries);
      return;
    }
    if (Tries == 0) {
      return;
    }
    if (From.m_Service.retryAfter(Key)) {
      place(From, Tries - 1);
      return;
    }
    From.m_Service.requestPermit(Key, [this, &From, Index, Key, Tries](const PermitOutcome &) {
      if (From.m_Service.maySend(Key)) {
        send(From, Index, Tries);
      } else {
        place(From, Tries - 1);
      }
    });
  }

  auto send(Node &From, std::size_t Index, int Tries) -> void {
    const auto Key = keyOf(Index);
    From.m_Service.onSend(Key);
    m_Timers.start(m_Clock.steadyNow() + 2ms,
                   [this, &From, Index, Key, Tries] { arrive(From, Index, Key, Tries); });
  }

  auto arrive(Node &From, std::size_t Index, TargetKey Key, int Tries) -> void {
    auto &Item = m_Targets[Index];
    if (m_Clock.steadyNow() < Item.m_BackAt || Key != keyOf(Index)) {
      return;
    }
    const auto IsRejected = Item.m_Running >= Slots;
    if (IsRejected) {
      reject(Item);
    } else {
      ++Item.m_Running;
      m_Timers.start(m_Clock.steadyNow() + ServiceTime, [this, &Item, Born = Item.m_Incarnation] {
        if (Item.m_Incarnation == Born) {
          --Item.m_Running;
          ++m_Served;
        }
      });
    }
    // The answer's head.
    m_Timers.start(m_Clock.steadyNow() + 2ms, [this, &From, Key, IsRejected, Tries] {
      From.m_Service.onAnswer(Key, {std::nullopt, m_MaxRejections});
      From.m_Service.onOutcome(Key, IsRejected);
      if (IsRejected && Tries > 0) {
        place(From, Tries - 1);
      }
    });
  }

  auto reject(Target &Item) -> void {
    const auto Now = m_Clock.steadyNow();
    ++m_Rejected;
    Item.m_Rejections.push_back(Now);
    while (Item.m_Rejections.front() <= Now - 1s) {
      Item.m_Rejections.pop_front();
    }
    if (static_cast<double>(Item.m_Rejections.size()) <= m_MaxRejections) {
      return;
    }
    ++m_Falls;
    ++Item.m_Incarnation;
    Item.m_Running = 0;
    Item.m_Rejections.clear();
    Item.m_BackAt = Now + 3s;
    // The new process is registered under the same ID.
    const auto Index = static_cast<std::size_t>(&Item - m_Targets.data());
    for (const auto &Node : m_Nodes) {
      for (auto Other = std::size_t{0}; Other < m_Targets.size(); ++Other) {
        Node->m_Service.inheritBrittleness(keyOf(Index), keyOf(Other));
      }
    }
  }

  auto updateViews() -> void {
    auto Names = std::set<std::string>();
    for (const auto &Item : m_Nodes) {
      if (Item->m_IsRunning) {
        Names.insert(Item->m_Name);
      }
    }
    for (const auto &Item : m_Nodes) {
      Item->m_Service.setRouters(Names);
    }
  }

  double m_MaxRejections;
  Bound m_Kept;
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  base::RandomEngine m_Random{5};
  std::vector<Target> m_Targets;
  std::vector<std::unique_ptr<Node>> m_Nodes;
};

/// Falls that the rule allows for so many targets.
constexpr auto allowedFalls(int Targets) -> int { return 2 + Targets / 10; }

} // namespace

// Guards against targets that fall over one after the other because the routers together make them
// turn too many requests away.
Test(rejections, fleetKeepsBrittleTargetsStandingAtTwiceTheirCapacity) {
  for (const auto MaxRejections : {2.0, 3.0, 5.0, 12.0}) {
    for (const auto Routers : {9, 74}) {
      constexpr auto Targets = 12;
      const auto Capacity = Targets * BrittleTargets::Slots * 2.5;
      auto Without = BrittleTargets(Routers, Targets, MaxRejections, Bound::None);
      Without.run(10s, 2.0 * Capacity);
      auto Kept = BrittleTargets(Routers, Targets, MaxRejections, Bound::Kept);
      // The routers have heard of it before targets let fewer wait.
      Kept.run(1s, 0.3 * Capacity);
      Kept.run(10s, 2.0 * Capacity);
      cr_log_info(
          "%.0f rejections, %d routers: %d falls without a bound, %d with it; served %d, %d",
          MaxRejections, Routers, Without.m_Falls, Kept.m_Falls, Without.m_Served, Kept.m_Served);
      cr_expect_leq(Kept.m_Falls, allowedFalls(Targets), "%.0f rejections, %d routers: %d falls",
                    MaxRejections, Routers, Kept.m_Falls);
      cr_expect_gt(Kept.m_Served, Without.m_Served);
    }
  }
}

// Guards against a keeper whose successor gives out as much again.
Test(rejections, endOfAKeeperDoesNotDoubleTheRejections) {
  auto Fleet = BrittleTargets(9, 12, 3.0, Bound::Kept);
  constexpr auto Capacity = 12 * BrittleTargets::Slots * 2.5;
  Fleet.run(1s, 0.3 * Capacity);
  for (auto Number = std::size_t{0}; Number < 6; ++Number) {
    Fleet.run(1500ms, 2.0 * Capacity);
    Fleet.kill(Number);
  }
  Fleet.run(3s, 2.0 * Capacity);
  cr_expect_leq(Fleet.m_Falls, allowedFalls(12), "%d falls", Fleet.m_Falls);
}

// Guards against a bound that costs throughput while nothing is turned away.
Test(rejections, loadWithinTheCapacityIsServed) {
  for (const auto MaxRejections : {1.0, 5.0}) {
    auto Fleet = BrittleTargets(9, 12, MaxRejections, Bound::Kept);
    Fleet.run(10s, 0.4 * 12 * BrittleTargets::Slots * 2.5);
    cr_expect_geq(Fleet.m_Served, Fleet.m_Requests * 9 / 10, "%.0f rejections: %d of %d",
                  MaxRejections, Fleet.m_Served, Fleet.m_Requests);
    cr_expect_leq(Fleet.m_Falls, allowedFalls(12));
  }
}

Test(rejections, permitsAndRejectionsTogetherStayWithinTheNumber) {
  const auto Start = base::SteadyTime(100s);
  auto Issuer = RejectionIssuer();
  // A new keeper gives out one permit at a time.
  cr_assert(Issuer.check(1, 4.0, Start).m_IsGranted);
  Issuer.onGranted(1, Start);
  cr_expect_not(Issuer.check(1, 4.0, Start).m_IsGranted);
  Issuer.onOutcome(1, false, Start + 5ms);
  const auto Later = Start + 2s;
  for (auto Count = 0; Count < 3; ++Count) {
    cr_expect(Issuer.check(1, 4.0, Later).m_IsGranted);
    Issuer.onGranted(1, Later);
  }
  cr_expect_not(Issuer.check(1, 4.0, Later).m_IsGranted);
  for (auto Count = 0; Count < 3; ++Count) {
    Issuer.onOutcome(1, true, Later + 5ms);
  }
  const auto Refused = Issuer.check(1, 4.0, Later + 500ms);
  cr_expect_not(Refused.m_IsGranted);
  cr_expect_eq(Refused.m_RetryAfter.count(), 605);
  cr_expect(Issuer.check(1, 4.0, Later + 1106ms).m_IsGranted);
  // A target that bears none still gets one request at a time.
  cr_expect(Issuer.check(2, 0.0, Later).m_IsGranted);
  Issuer.onGranted(2, Later);
  cr_expect_not(Issuer.check(2, 0.0, Later).m_IsGranted);
}
