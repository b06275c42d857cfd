#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "ratelimits/itargetlimits.h"
#include "ratelimits/limittable.h"
#include "ratelimits/permitissuer.h"
#include "ratelimits/permitpool.h"
#include "ratelimits/rejectionissuer.h"

#include <map>
#include <set>

namespace geraniumlift::ratelimits {

/// Sends messages to other routers. Messages may be lost.
class ILimitLink {
public:
  virtual ~ILimitLink() = default;

  /// Sends a message to one router.
  virtual auto send(const std::string &Router, const LimitMessage &Message) -> void = 0;

  /// Sends an update to all routers to which this one passes on what concerns the whole fleet.
  virtual auto publish(const LimitUpdate &Update) -> void = 0;
};

/// The limits of targets as one router knows and keeps them. Each target's permits are given out by
/// one router, which all routers choose alike; the others ask it for a permit for each request.
class LimitService final : public ITargetLimits {
public:
  LimitService(std::string Router, ILimitLink &Link, base::ITimers &Timers,
               const base::IClock &Clock, base::IEventLog &Log);

  [[nodiscard]] auto maySend(TargetKey Target) const -> bool override;
  [[nodiscard]] auto retryAfter(TargetKey Target) const
      -> std::optional<std::chrono::milliseconds> override;
  [[nodiscard]] auto isCold(TargetKey Target) const -> bool override;
  auto onSend(TargetKey Target) -> void override;
  auto onAnswer(TargetKey Target, const TargetNeeds &Needs) -> void override;
  auto onOutcome(TargetKey Target, bool IsRejected) -> void override;
  auto requestPermit(TargetKey Target, std::function<void(PermitOutcome)> Done) -> void override;

  /// Applies another router's message. Returns what of an update was new, for routers that pass
  /// updates on.
  auto onMessage(const LimitMessage &Message) -> LimitUpdate;

  /// Sets the routers that may keep permits: all that are alive and not leaving.
  auto setRouters(const std::set<std::string> &Routers) -> void;

  /// Assumes that a new process is as brittle as another target of its pool, until it says so or
  /// not itself. It comes back while requests wait for room.
  auto inheritBrittleness(TargetKey New, TargetKey Sibling) -> void;
  [[nodiscard]] auto isBrittle(TargetKey Target) const -> bool {
    return m_Brittle.limitOf(Target).has_value();
  }

  /// Sets what a cold target tolerates, unless it is known to be cold for longer.
  auto setCold(TargetKey Target, const ColdAllowance &Allowance) -> void;

  /// Sets whether this router hears most of the fleet. Without contact it neither gives out nor
  /// uses permits for cold targets, because another part of the fleet may have a keeper of its own.
  auto setInContact(bool IsInContact) -> void { m_IsInContact = IsInContact; }

  /// Drops what has expired and, once a second, tells the other routers what is known. To be called
  /// several times a second.
  auto advance() -> void;

  /// Number of targets that are known to be cold.
  [[nodiscard]] auto coldTargets() const -> std::size_t;
  [[nodiscard]] auto limitedTargets() const -> std::size_t { return m_Table.limitedTargets(); }
  [[nodiscard]] auto brittleTargets() const -> std::size_t { return m_Brittle.limitedTargets(); }

private:
  struct PendingRequest {
    TargetKey m_Target = 0;
    std::function<void(PermitOutcome)> m_Done;
    base::TimerId m_Timer = 0;
  };

  auto onUpdate(const LimitUpdate &Update) -> LimitUpdate;
  auto onPermitRequest(const PermitRequest &Request) -> void;
  auto onPermitReply(const PermitReply &Reply) -> void;
  auto addStatement(TargetKey Target, const LimitStatement &Statement) -> bool;
  auto addBrittleness(TargetKey Target, const LimitStatement &Statement) -> bool;

  /// Whether requests to the target need a permit.
  [[nodiscard]] auto needsPermit(TargetKey Target) const -> bool {
    return m_Table.limitOf(Target) || isBrittle(Target) || isCold(Target);
  }
  auto decideRate(TargetKey Target) -> PermitDecision;
  auto decide(TargetKey Target) -> PermitDecision;

  /// Returns what a cold target tolerates, or nullptr if it is not cold.
  [[nodiscard]] auto findCold(TargetKey Target) const -> const ColdAllowance *;
  [[nodiscard]] auto reportCold(TargetKey Target) const -> ReportedCold;
  auto applyReportedCold(TargetKey Target, const ReportedCold &Item) -> void;
  auto finishRequest(std::uint32_t Id, const PermitOutcome &Outcome) -> void;
  auto keeperOf(TargetKey Target) -> const std::string &;
  [[nodiscard]] auto now() const -> base::SteadyTime { return m_Clock.steadyNow(); }

  std::string m_Router;
  ILimitLink &m_Link;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  LimitTable m_Table;

  /// What targets said of being brittle, in rejections a second.
  LimitTable m_Brittle;
  PermitIssuer m_Issuer;
  RejectionIssuer m_Rejections;
  PermitPool m_Pool;
  std::set<std::string> m_Routers;
  bool m_IsInContact = true;
  absl::flat_hash_map<TargetKey, ColdAllowance> m_Cold;

  /// Keepers by target, for the current routers.
  std::map<TargetKey, std::string> m_Keepers;
  std::map<std::uint32_t, PendingRequest> m_Pending;

  /// Until when no permit of a target is free.
  absl::flat_hash_map<TargetKey, base::SteadyTime> m_RefusedUntil;
  std::uint32_t m_LastRequestId = 0;
  base::SteadyTime m_LastReport;
};

} // namespace geraniumlift::ratelimits
