#pragma once

#include "orders/ordertypes.h"

#include <map>
#include <optional>
#include <vector>

namespace geraniumlift::orders {

/// Orders to send and states to read now.
struct OrderPlan {
  std::vector<Order> m_Orders;

  /// Targets whose state is to be read and given to onStateRead().
  std::vector<std::string> m_Reads;
};

/// Plans the orders that bring the targets of one pool to their desired states. Does no input or
/// output and takes the time as an argument; all calls must come from one thread.
class OrderPlanner {
public:
  explicit OrderPlanner(const OrderLimits &Limits) : m_Limits(Limits) {}

  /// Replaces the targets of the pool and their desired states.
  auto setDesiredTargets(std::vector<DesiredTarget> Desired) -> void;

  /// Starts issuing orders under a new lease, and discards the states and orders known so far.
  /// ValidUntil is counted from the moment before the request for the grant was sent.
  auto onLeaseAcquired(FencingNumber Fencing, base::SteadyTime ValidUntil, base::SteadyTime Now)
      -> void;

  /// Extends the lease. ValidUntil is counted from the moment before the renewal was sent.
  auto onLeaseRenewed(base::SteadyTime ValidUntil) -> void;

  /// Stops issuing orders, as the lease has ended or its key belongs to another router.
  auto onLeaseLost() -> void;

  /// Reports a target's state. ReadAt is the time when the read was sent; a state older than the
  /// known one is ignored.
  auto onStateRead(const std::string &Target, EngineState State, base::SteadyTime ReadAt) -> void;

  /// Reports that a target has carried out or refused its order. Its state is read again before the
  /// next one.
  auto onOrderEnd(const std::string &Target) -> void;

  /// Returns the orders to send now and the states to read. Orders of an earlier plan must not be
  /// sent later; after a pause, the process has to plan again.
  auto plan(base::SteadyTime Now) -> OrderPlan;

private:
  struct Lease {
    FencingNumber m_Fencing = 0;
    base::SteadyTime m_ValidUntil;
    base::SteadyTime m_AcquiredAt;
  };

  /// State of a target and the time when its read was sent.
  struct ObservedState {
    EngineState m_State;
    base::SteadyTime m_ReadAt;
  };

  [[nodiscard]] auto holdsLease(base::SteadyTime Now) const -> bool;

  /// Whether an order in flight, of this or a former issuer, may still change the target.
  [[nodiscard]] auto mayStillChange(const DesiredTarget &Target, base::SteadyTime Now) const
      -> bool;

  /// Whether the state is recent and was read after the end of every order that may have changed
  /// it.
  [[nodiscard]] auto isCurrent(const ObservedState &Observed, const DesiredTarget &Target,
                               base::SteadyTime Now) const -> bool;

  /// Time from which on no order sent so far can change the target.
  [[nodiscard]] auto settledAt(const DesiredTarget &Target) const -> base::SteadyTime;

  /// Takes loads from the rate limit; false if the order has to wait.
  auto tryTakeLoads(std::int64_t Loads) -> bool;
  auto refillLoads(base::SteadyTime Now) -> void;

  OrderLimits m_Limits;
  std::vector<DesiredTarget> m_DesiredTargets;
  std::optional<Lease> m_Lease;
  std::map<std::string, ObservedState> m_ObservedStates;

  /// Time when the order in flight was sent, by target.
  std::map<std::string, base::SteadyTime> m_OrderSentAt;

  /// Loads that may start now; negative after an order with many loads.
  double m_LoadsAvailable = 0.0;
  base::SteadyTime m_LastRefill;
};

} // namespace geraniumlift::orders
