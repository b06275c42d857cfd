#pragma once

#include "gateway/gateway.h"
#include "gateway/internal/authenticator.h"
#include "gateway/internal/dispatchloop.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace geraniumlift::gateway {

class Call;
class ServiceCall;

/// State that all requests of a gateway share. Used on the scheduler's thread only.
struct GatewayState {
  GatewayState(GatewayOptions Options, GatewayDependencies Dependencies)
      : m_Options(std::move(Options)), m_Dependencies(Dependencies),
        m_DispatchLoop(std::make_shared<DispatchLoop>(
            Dependencies.m_Dispatcher, Dependencies.m_Scheduler, Dependencies.m_Clock)) {}

  GatewayOptions m_Options;
  GatewayDependencies m_Dependencies;
  std::shared_ptr<DispatchLoop> m_DispatchLoop;
  Authenticator m_Authenticator;
  configuration::SnapshotPointer m_Snapshot;
  std::map<std::string, std::string> m_PoolByModel;

  /// Targets that a source other than the configuration reported as leaving.
  std::set<std::string> m_LeavingTargets;

  /// Requests in flight; the set keeps them alive.
  std::unordered_set<std::shared_ptr<Call>> m_Calls;

  /// Non-idempotent requests in flight by workspace and idempotency key, for retries to join.
  std::unordered_map<std::string, std::weak_ptr<ServiceCall>> m_ClaimsInFlight;

  std::vector<std::function<void()>> m_IdleWaiters;
};

} // namespace geraniumlift::gateway
