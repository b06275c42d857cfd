#pragma once

#include "budget/ibudgetservice.h"
#include "configuration/iconfigurationsource.h"
#include "gateway/gateway.h"
#include "geraniumliftd/operatorhandler.h"
#include "geraniumliftd/peernetwork.h"
#include "keyvalue/etcdkeyvaluestore.h"
#include "keyvalue/httpvmlist.h"
#include "settings/settingstypes.h"
#include "telemetry/imetrics.h"

#include <atomic>

namespace geraniumlift::daemon {

/// Data sources of the operators' pages. All references must outlive the handler.
struct OperatorPageSources {
  const settings::Settings &m_Settings;
  const base::HolderId &m_Holder;
  const configuration::IConfigurationSource &m_Configuration;
  const gateway::Gateway &m_Gateway;
  budget::IBudgetService &m_Budgets;
  const keyvalue::EtcdKeyValueStore &m_KeyValues;
  const keyvalue::HttpVmList &m_VmList;
  const PeerNetwork &m_Peers;
  telemetry::IMetrics &m_Metrics;
  const std::atomic<bool> &m_Draining;
};

/// Registers the pages /healthz, /readyz, /metrics, /fleet and /budgets.
auto addOperatorPages(OperatorHandler &Handler, OperatorPageSources Sources) -> void;

} // namespace geraniumlift::daemon
