#pragma once

#include "orders/ordertypes.h"

#include <map>
#include <optional>
#include <vector>

namespace geraniumlift::orders {

/// What to do now.
struct OrderPlan {
  std::vector<Order> m_Orders;

  /// Targets whose state is to be read and given to onStateRead().
  std::vector<std::string> m_Reads;
};

/// Decides on the orders of one pool. Pure decision code: the time is an argument; calls come from
/// one thread.
class OrderPlanner {
public:
  explicit OrderPlanner(const OrderLimits &Limits) : m_Limits(Limits) {}

  auto setDesiredTargets(std::vector<DesiredTarget> Desired) -> void;

  /// Takes over as the issuer. The lease is valid until the given time, counted from the moment
  /// before the grant or the renewal was sent.
  auto onLeaseAcquired(FencingNumber Fencing, base::SteadyTime ValidUntil, base::SteadyTime Now)
      -> void;

  auto onLeaseRenewed(base::SteadyTime ValidUntil) -> void;

  /// The lease has ended or its key belongs to another router.
  auto onLeaseLost() -> void;

  /// Reports a target's state as of the time when the read was sent.
  auto onStateRead(const std::string &Target, EngineState State, base::SteadyTime ReadAt) -> void;

  /// Reports that a target has carried out or refused its order.
  auto onOrderEnd(const std::string &Target) -> void;

  /// Returns the orders to send at once and the states to read. Orders of an earlier plan must not
  /// be sent later; a process that was paused plans again.
  auto plan(base::SteadyTime Now) -> OrderPlan;

private:
  struct Lease {
    FencingNumber m_Fencing = 0;
    base::SteadyTime m_ValidUntil;
    base::SteadyTime m_AcquiredAt;
  };

  /// What is known of a target.
  struct ObservedState {
    EngineState m_State;
    base::SteadyTime m_ReadAt;
  };

  [[nodiscard]] auto holdsLease(base::SteadyTime Now) const -> bool;

  /// Whether an order under way, of this or a former issuer, may still change the target.
  [[nodiscard]] auto mayStillChange(const DesiredTarget &Target, base::SteadyTime Now) const
      -> bool;

  /// Whether the state is recent and from after every order that may have changed it.
  [[nodiscard]] auto isCurrent(const ObservedState &Observed, const DesiredTarget &Target,
                               base::SteadyTime Now) const -> bool;
  [[nodiscard]] auto settledAt(const DesiredTarget &Target) const -> base::SteadyTime;
  auto tryTakeLoads(std::int64_t Loads) -> bool;
  auto refillLoads(base::SteadyTime Now) -> void;

  OrderLimits m_Limits;
  std::vector<DesiredTarget> m_DesiredTargets;
  std::optional<Lease> m_Lease;
  std::map<std::string, ObservedState> m_ObservedStates;

  /// When the order under way was sent.
  std::map<std::string, base::SteadyTime> m_OrderSentAt;
  double m_LoadsAvailable = 0.0;
  base::SteadyTime m_LastRefill;
};

} // namespace geraniumlift::orders
