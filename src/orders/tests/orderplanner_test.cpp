#include "orders/orderplanner.h"

#include "base/manualclock.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::orders;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto MaxOrderDuration = seconds{60};

auto makeDesiredTarget(const std::string &Name, bool ChecksFencing) -> DesiredTarget {
  return {Name, ChecksFencing, {{"model-a"}, "mixed"}};
}

/// A planner with a lease of ten minutes and fencing number 5.
class Issuer {
public:
  explicit Issuer(std::vector<DesiredTarget> Desired) {
    m_Planner.setDesiredTargets(std::move(Desired));
    m_Planner.onLeaseAcquired(5, now() + seconds{600}, now());
  }

  auto now() const -> base::SteadyTime { return m_Clock.steadyNow(); }
  auto advance(milliseconds Time) -> void { m_Clock.advance(Time); }

  /// Plans, answers the reads with the given state, and plans again. Returns the orders of both
  /// plans and the reads of the second one.
  auto readAndPlan(const EngineState &State) -> OrderPlan {
    auto First = m_Planner.plan(now());
    for (const auto &Target : First.m_Reads) {
      m_Planner.onStateRead(Target, State, now());
    }
    auto Second = m_Planner.plan(now());
    First.m_Orders.insert(First.m_Orders.end(), Second.m_Orders.begin(), Second.m_Orders.end());
    First.m_Reads = Second.m_Reads;
    return First;
  }

  OrderPlanner m_Planner{OrderLimits{.m_MaxOrderDuration = MaxOrderDuration}};

private:
  base::ManualClock m_Clock;
};

} // namespace

// Guards against orders to a target whose state was not read, and against sending an order again
// while it is in flight or after its state was reached.
Test(orders, readsBeforeOrderingAndOrdersOnce) {
  auto Router = Issuer({makeDesiredTarget("engine-1", true)});
  Router.advance(seconds{1});
  const auto First = Router.m_Planner.plan(Router.now());
  cr_assert(First.m_Orders.empty());
  cr_assert_eq(First.m_Reads.size(), 1U);
  const auto Second = Router.readAndPlan({});
  cr_assert_eq(Second.m_Orders.size(), 1U);
  cr_assert_eq(Second.m_Orders[0].m_Fencing, 5);
  cr_assert(Router.readAndPlan({}).m_Orders.empty());
  Router.m_Planner.onOrderEnd("engine-1");
  Router.advance(seconds{2});
  cr_assert(Router.readAndPlan({{"model-a"}, "mixed"}).m_Orders.empty());
}

// Guards against a process that was paused beyond the end of its lease and then continues to send
// orders.
Test(orders, issuerPausedBeyondItsLeaseSendsNoOrders) {
  auto Router = Issuer({makeDesiredTarget("engine-1", true)});
  Router.advance(seconds{1});
  Router.m_Planner.plan(Router.now());
  Router.m_Planner.onStateRead("engine-1", {}, Router.now());
  Router.advance(seconds{700});
  const auto Plan = Router.readAndPlan({});
  cr_assert(Plan.m_Orders.empty() && Plan.m_Reads.empty());
  Router.m_Planner.onLeaseAcquired(9, Router.now() + seconds{600}, Router.now());
  Router.advance(seconds{1});
  cr_assert_eq(Router.readAndPlan({}).m_Orders.at(0).m_Fencing, 9);
}

// Guards against orders sent so shortly before the end of the lease that they arrive after it.
Test(orders, noOrderWithinTheLeaseMargin) {
  auto Router = Issuer({makeDesiredTarget("engine-1", true)});
  Router.advance(seconds{599});
  cr_assert(Router.readAndPlan({}).m_Orders.empty());
  Router.m_Planner.onLeaseRenewed(Router.now() + seconds{600});
  cr_assert_eq(Router.readAndPlan({}).m_Orders.size(), 1U);
  Router.m_Planner.onLeaseLost();
  cr_assert(Router.readAndPlan({}).m_Orders.empty());
}

// Guards against an order that conflicts with one of the former issuer at a target that ignores
// fencing numbers, and against using a state that was read before that order had ended.
Test(orders, targetWithoutFencingGetsNoOrderUntilFormerOrdersEnd) {
  auto Router = Issuer({makeDesiredTarget("checks", true), makeDesiredTarget("ignores", false)});
  Router.advance(seconds{1});
  const auto Early = Router.readAndPlan({});
  cr_assert_eq(Early.m_Orders.size(), 1U);
  cr_assert_eq(Early.m_Orders[0].m_Target, std::string("checks"));
  Router.m_Planner.onStateRead("ignores", {}, Router.now());
  Router.advance(MaxOrderDuration - milliseconds{1500});
  cr_assert(Router.m_Planner.plan(Router.now()).m_Orders.empty());
  Router.advance(seconds{1});
  const auto Late = Router.m_Planner.plan(Router.now());
  cr_assert(Late.m_Orders.empty());
  cr_assert(Late.m_Reads == std::vector<std::string>{"ignores"});
  cr_assert_eq(Router.readAndPlan({}).m_Orders.at(0).m_Target, std::string("ignores"));
}

// Guards against a target that stays without its model because an order or its answer was lost.
Test(orders, lostOrderIsRepeatedAfterTheMaximumDuration) {
  auto Router = Issuer({makeDesiredTarget("engine-1", true)});
  Router.advance(seconds{1});
  cr_assert_eq(Router.readAndPlan({}).m_Orders.size(), 1U);
  Router.advance(MaxOrderDuration - seconds{1});
  cr_assert(Router.readAndPlan({}).m_Orders.empty());
  Router.advance(seconds{1});
  cr_assert_eq(Router.readAndPlan({}).m_Orders.size(), 1U);
}

// Guards against loads that overload the weight store when many targets need a model at once.
Test(orders, loadsStayWithinTheRateLimitOfTheWeightStore) {
  auto Desired = std::vector<DesiredTarget>();
  for (auto Number = 0; Number < 30; ++Number) {
    Desired.push_back(makeDesiredTarget("engine-" + std::to_string(Number), true));
  }
  auto Router = Issuer(Desired);
  auto Loads = std::int64_t{0};
  for (auto Step = 0; Step < 100; ++Step) {
    Router.advance(milliseconds{100});
    for (const auto &Sent : Router.readAndPlan({}).m_Orders) {
      Loads += Sent.m_Loads;
    }
  }
  cr_assert(Loads <= 10);
  cr_assert(Loads >= 9);
}
