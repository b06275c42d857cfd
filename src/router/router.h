#pragma once

#include "budget/grantservice.h"
#include "fleet/peertable.h"
#include "forwarding/targetdirectory.h"
#include "keyvalue/storefollower.h"
#include "keyvalue/storemonitor.h"
#include "router/internal/peerlink.h"
#include "router/internal/requestmetrics.h"
#include "router/istoredocuments.h"
#include "router/routersettings.h"
#include "transport/asiotimers.h"
#include "transport/callerserver.h"
#include "transport/datagramsocket.h"
#include "transport/targetconnector.h"

#include <memory>
#include <vector>

namespace geraniumlift::router {

/// What the adapter passes to a router.
struct RouterParts {
  boost::asio::io_context &m_Loop;
  transport::AsioTimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  telemetry::IMetrics &m_Metrics;
  keyvalue::ITransactionStore &m_Store;
  const forwarding::IMessageDialect &m_Dialect;
  const IStoreDocuments &m_Documents;
  const IDirectoryDialect &m_Directory;
};

/// One router process. Everything runs on the loop's thread.
class Router final : public keyvalue::IStoreListener {
public:
  Router(RouterParts Parts, RouterSettings Settings);

  /// Listens and begins to follow the store. Unavailable if an address cannot be used.
  auto start() -> absl::Status;

  /// Leaves the directory, serves what was begun, returns the grants, then runs the callback.
  auto stop(std::function<void()> Stopped) -> void;

  /// Takes over what may change while the router runs: times, limits and the retry budget.
  auto applySettings(const RouterSettings &Settings) -> void;

private:
  auto onList(std::string_view Prefix, const keyvalue::ListResult &Result) -> void override;
  auto onChanges(const keyvalue::WatchResult &Result) -> void override;
  auto onReachable(bool IsReachable) -> void;

  /// Follows the keys with a prefix.
  auto follow(const std::string &Prefix, keyvalue::StoreFollowerOptions Options) -> void;

  /// In a large fleet the records of budgets change so often that a small VM cannot follow them:
  /// from then on the router follows only the configuration, the targets and the routers.
  auto followWithoutBudgets() -> void;
  auto takeItem(const keyvalue::KeyValue &Item) -> void;
  auto takeRemoval(const keyvalue::KeyValue &Item) -> void;
  auto takeRouting(const keyvalue::KeyValue &Item) -> void;
  auto takeTarget(const keyvalue::KeyValue &Item) -> void;
  auto takeRouter(const keyvalue::KeyValue &Item) -> void;
  auto registerSelf() -> void;
  auto unregisterSelf() -> void;
  auto ownRecord() const -> fleet::RouterRecord;
  auto ownKey() const -> std::string;
  auto beat() -> void;
  auto sendHeartbeats() -> void;
  auto onDatagram(std::string_view Bytes) -> void;
  auto noteUnreadable(const std::string &Reason, std::size_t Size) -> void;
  auto onHeartbeat(std::string_view Bytes) -> void;
  auto onTransfer(std::string_view Bytes) -> void;
  auto answerDirectory(const http1::RequestHead &Head) -> transport::DirectAnswer;
  auto answerReadiness(const http1::RequestHead &Head) -> transport::DirectAnswer;
  [[nodiscard]] auto isReady() const -> bool;
  auto updateRetryBudgets() -> void;
  auto checkStop() -> void;
  [[nodiscard]] auto now() const -> base::SteadyTime { return m_Parts.m_Clock.steadyNow(); }

  RouterParts m_Parts;
  RouterSettings m_Settings;
  std::uint64_t m_Incarnation;
  fleet::PeerTable m_Peers;
  transport::DatagramSocket m_PeerSocket;
  PeerLink m_PeerLink;
  forwarding::TargetTable m_Targets;
  forwarding::TargetDirectory m_TargetDirectory;
  budget::GrantService m_Grants;
  forwarding::Placement m_Placement;
  transport::TargetConnector m_Connector;
  RequestMetrics m_Metrics;
  forwarding::ForwardingContext m_Context;
  transport::CallerServer m_CallerServer;
  transport::CallerServer m_ReadinessServer;
  transport::CallerServer m_DirectoryServer;
  keyvalue::StoreMonitor m_StoreMonitor;
  std::vector<std::unique_ptr<keyvalue::StoreFollower>> m_Followers;
  bool m_FollowsBudgets = true;
  bool m_IsListed = false;
  bool m_IsLeaving = false;
  std::int64_t m_OwnRevision = 0;
  bool m_IsRegistering = false;
  bool m_IsDrainingGrants = false;
  std::uint32_t m_HeartbeatSequence = 0;
  base::SteadyTime m_StopBegan;
  std::function<void()> m_Stopped;
};

} // namespace geraniumlift::router
