#pragma once

#include "base/iclock.h"

#include <chrono>
#include <cstdint>

namespace geraniumlift::forwarding {

/// The routers that may send to the same target.
struct PaceFleet {
  std::int64_t m_Routers = 1;

  /// Place of this router among them for the target, 0 to 1: the share of routers that may send
  /// before it. All routers compute theirs alike.
  double m_Place = 0.0;

  /// Requests that other routers report to have at the target.
  std::int64_t m_PeerRequests = 0;
};

/// How many requests one router may have unanswered at a target that has just started, or returns
/// from an ejection or a pause. Answers the load of many routers that see the same empty target at
/// the same moment, and all prefer it.
///
/// The window begins at one request and doubles with each answer. Until the first answer, routers
/// begin one after the other: at first about one of the fleet, twice as many with each Step, or
/// with each QuietStep while no router reports a request there, as at a target that fails at once.
/// A failure returns the window to one; the target's ejection then keeps requests away.
class TargetPace {
public:
  /// Time in which the number of routers that may send doubles, and that time while no other router
  /// reports a request at the target.
  static constexpr auto Step = std::chrono::milliseconds(200);
  static constexpr auto QuietStep = std::chrono::milliseconds(300);

  /// Windows of all routers together from which on the target is not paced, and the least window of
  /// one router from which on it is not.
  static constexpr auto FleetWindow = std::int64_t{64};
  static constexpr auto MinFinalWindow = std::int64_t{4};

  /// Begins to pace the target from a time on.
  auto begin(base::SteadyTime From) -> void;

  auto onSent() -> void { ++m_Unanswered; }

  /// Records that a request's response has begun.
  auto onAnswered() -> void;

  /// Records that a request ended without a response that began.
  auto onUnansweredEnd() -> void;

  /// Records that a request succeeded, whether or not its response was seen to begin.
  auto onSuccess() -> void;

  /// Whether the target is paced.
  [[nodiscard]] auto isPaced(std::int64_t Routers) const -> bool;

  /// Whether a single failure is to eject the target: it has hardly answered since it returned.
  [[nodiscard]] auto isBeginning() const -> bool { return m_Window < MinFinalWindow; }

  /// Whether this router may send one more request now.
  [[nodiscard]] auto maySend(const PaceFleet &Fleet, base::SteadyTime Now) const -> bool;

  /// Time until it is this router's turn to begin.
  [[nodiscard]] auto untilTurn(const PaceFleet &Fleet, base::SteadyTime Now) const
      -> std::chrono::milliseconds;

private:
  static constexpr auto MaxWindow = std::int64_t{1024};

  base::SteadyTime m_From;
  std::int64_t m_Window = MaxWindow;
  std::int64_t m_Unanswered = 0;
};

} // namespace geraniumlift::forwarding
