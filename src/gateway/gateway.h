#pragma once

#include "admission/idispatcher.h"
#include "base/iclock.h"
#include "base/ischeduler.h"
#include "budget/ibudgetservice.h"
#include "claims/iclaimservice.h"
#include "configuration/iconfigurationsource.h"
#include "gateway/icallerexchange.h"
#include "gateway/ipeerdirectory.h"
#include "gateway/ipeerforwarder.h"
#include "targets/itargetclient.h"
#include "telemetry/imetrics.h"
#include "telemetry/itracer.h"

#include <chrono>
#include <memory>

namespace geraniumlift::gateway {

/// Settings of the gateway of one router.
struct GatewayOptions {
  /// Identity of this router process.
  base::HolderId m_Self;

  /// How long a caller may keep the list of entry addresses.
  std::chrono::milliseconds m_EntryTimeToLive{30'000};

  /// Maximum number of requests in flight; further ones are refused as queue_full.
  std::int64_t m_RequestLimit = 4'000;
};

/// Services that the gateway uses. All references must outlive the gateway; the dispatcher is
/// called from the scheduler's thread only.
struct GatewayDependencies {
  const base::IClock &m_Clock;
  base::IScheduler &m_Scheduler;
  configuration::IConfigurationSource &m_Configuration;
  budget::IBudgetService &m_Budgets;
  claims::IClaimService &m_Claims;
  admission::IDispatcher &m_Dispatcher;
  targets::ITargetClient &m_Targets;
  const IPeerDirectory &m_Peers;
  IPeerForwarder &m_Forwarder;
  telemetry::IMetrics &m_Metrics;
  telemetry::ITracer &m_Tracer;
};

/// Serves callers: checks a request, reserves tokens, waits for a target, forwards the response to
/// the caller and bills it.
class Gateway {
public:
  Gateway(GatewayOptions Options, GatewayDependencies Dependencies);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  auto operator=(const Gateway &) -> Gateway & = delete;

  /// Starts processing a caller's request. Thread-safe.
  auto handle(std::shared_ptr<ICallerExchange> Exchange) -> void;

  /// Replaces the targets by those of the snapshot. Thread-safe.
  auto setConfiguration(configuration::SnapshotPointer Snapshot) -> void;

  /// Generation of the snapshot by which requests are handled; 0 before the first one. It follows
  /// setConfiguration() only after the scheduler has run. Thread-safe.
  [[nodiscard]] auto generationInForce() const -> configuration::Generation;

  /// Records whether a target is leaving, as reported by a source other than the configuration.
  /// Thread-safe.
  auto setTargetLeaving(const std::string &Target, bool Leaving) -> void;

  /// Passes a target's load report on to the dispatcher. Thread-safe.
  auto reportLoad(admission::LoadReport Report) -> void;

  /// Calls back on the scheduler's thread once no request is in flight. Thread-safe.
  auto whenIdle(std::function<void()> Done) -> void;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::gateway
