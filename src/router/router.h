#pragma once

#include "budget/grantservice.h"
#include "fleet/overloaddetector.h"
#include "fleet/peertable.h"
#include "forwarding/targetaccesslog.h"
#include "forwarding/targetdirectory.h"
#include "keyvalue/storemonitor.h"
#include "quarantine/quarantineservice.h"
#include "router/internal/coldtimes.h"
#include "router/internal/evacuationrecords.h"
#include "router/internal/peerlink.h"
#include "router/internal/requestmetrics.h"
#include "router/internal/storesubscription.h"
#include "router/internal/targetpath.h"
#include "router/istoredocumentdecoder.h"
#include "router/routersettings.h"
#include "streamversions/streamversionservice.h"
#include "transport/asiotimers.h"
#include "transport/callerserver.h"
#include "transport/datagramsocket.h"
#include "transport/listenercheck.h"
#include "transport/targetconnector.h"
#include "transport/tunnelserver.h"

#include <memory>
#include <vector>

namespace geraniumlift::router {

/// Interfaces and objects that a router uses but does not own. They must outlive the router. The
/// platform adapter provides them.
struct RouterDependencies {
  boost::asio::io_context &m_Loop;
  transport::AsioTimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  telemetry::IMetrics &m_Metrics;
  keyvalue::ITransactionStore &m_Store;
  const forwarding::IHeaderCodec &m_Dialect;
  const IStoreDocumentDecoder &m_Documents;
  const IDirectoryProtocol &m_Directory;
};

/// The router of one process: accepts requests, follows the store and exchanges heartbeats with the
/// other routers. All functions and callbacks run on the event loop's thread.
class Router final : public IRecordListener {
public:
  Router(RouterDependencies Dependencies, RouterSettings Settings);

  /// Listens on all addresses and starts to follow the store. Returns Unavailable if an address
  /// cannot be used.
  auto start() -> absl::Status;

  /// Stops gracefully: removes the router from the directory, finishes running requests and returns
  /// the grants, then runs the callback. The callback also runs shortly before the stop timeout if
  /// requests are still running. Further calls are ignored.
  auto stop(std::function<void()> Stopped) -> void;

  /// Applies the settings that may change at run time: the stop time, the directory's time to live,
  /// the memory limit and the retry budget. Other settings keep their values.
  auto applySettings(const RouterSettings &Settings) -> void;

private:
  auto onRecordsListed(std::string_view Prefix, const keyvalue::ListResult &Result)
      -> void override;
  auto onRecordsChanged(const std::vector<keyvalue::WatchEvent> &Events) -> void override;
  auto onReachable(bool IsReachable) -> void;

  auto onMirrorRequest(std::string_view Bytes) -> void;
  auto onMirrorUpdate(std::string_view Bytes) -> void;

  /// Confirms and ends quarantines and tells the neighbours of what is open.
  auto advanceQuarantine() -> void;
  auto onQuarantineUpdate(std::string_view Bytes) -> void;
  auto onLimitMessage(std::string_view Bytes) -> void;
  auto onStreamMessage(std::string_view Bytes) -> void;

  /// Tells the stream versions of the targets, of the store and of the other routers.
  auto advanceStreamVersions() -> void;

  /// Logs and counts what keeps requests from targets.
  auto reportTargetAccess() -> void;

  /// Keeps the limits of targets up to date with the fleet.
  auto advanceLimits(const std::set<std::string> &AlivePeers) -> void;
  auto applyItem(const keyvalue::KeyValue &Item) -> void;
  auto applyRemoval(const keyvalue::KeyValue &Item) -> void;
  auto applyRouting(const keyvalue::KeyValue &Item) -> void;
  auto applyTarget(const keyvalue::KeyValue &Item) -> void;

  /// Passes on that a target is cold, if its pool says what cold targets tolerate.
  /// Reads a target's registration from the store and finds out whether it is still that of the
  /// process. If the store cannot be reached, nothing speaks against it.
  auto checkTarget(const forwarding::TargetRecord &Record, std::function<void(bool)> Done) -> void;

  /// Assumes that a process is brittle if others of its pool are.
  auto inheritBrittleness(const forwarding::TargetRecord &Record) -> void;
  auto applyColdTime(const forwarding::TargetRecord &Record) -> void;

  /// Passes on and logs the data centres whose targets get no requests.
  auto applyEvacuations() -> void;
  auto applyRouter(const keyvalue::KeyValue &Item) -> void;
  auto registerSelf() -> void;
  auto unregisterSelf() -> void;
  auto ownRecord() const -> fleet::RouterRecord;
  auto ownKey() const -> std::string;

  /// Updates the size of the fleet, the retry budget and the targets, sends heartbeats, and
  /// schedules its next run.
  auto runPeriodicTasks() -> void;
  auto sendHeartbeats() -> void;

  /// Finds out whether this router is past its capacity, and logs when that changes.
  auto observeLoad() -> void;
  auto onDatagram(std::string_view Bytes) -> void;
  auto logUnreadableDatagram(const std::string &Reason, std::size_t Size) -> void;
  auto onFleetMessage(std::string_view Bytes) -> void;
  auto onTransfer(std::string_view Bytes) -> void;
  auto handleDirectoryRequest(const http1::RequestHead &Head) -> transport::DirectResponse;
  auto handleReadinessRequest(const http1::RequestHead &Head) -> transport::DirectResponse;

  /// Removes the routers of regions that the caller's region and the regions of its host exclude.
  auto keepAllowedRegions(const DirectoryLookup &Lookup,
                          std::vector<fleet::AddressCandidate> &Candidates) const -> void;
  [[nodiscard]] auto isReady() const -> bool;
  auto updateRetryBudgets() -> void;

  /// Tries targets if this router is cut off from them, and reports on tunnels.
  auto advanceTargetPath() -> void;

  /// Returns the address of a target's process for a tunnel of another router.
  [[nodiscard]] auto findTunnelTarget(const std::string &Id, std::int64_t Incarnation) const
      -> std::optional<transport::TunnelTarget>;

  /// Reports what callers and responses hold, and how much gave way since the last report.
  auto reportHeldMemory() -> void;

  /// Advances a graceful stop and schedules itself again until the router has stopped.
  auto continueStop() -> void;
  [[nodiscard]] auto now() const -> base::SteadyTime { return m_Dependencies.m_Clock.steadyNow(); }

  RouterDependencies m_Dependencies;
  RouterSettings m_Settings;
  std::uint64_t m_Incarnation;
  fleet::PeerTable m_Peers;
  fleet::AddressSelector m_AddressSelector;
  fleet::OverloadDetector m_Overload;

  /// When the periodic tasks were due, if they have run before.
  std::optional<base::SteadyTime> m_TasksDueAt;
  fleet::FleetExchange m_FleetExchange;
  transport::DatagramSocket m_PeerSocket;
  PeerLink m_PeerLink;
  StoreSubscription m_Subscription;
  forwarding::TargetTable m_Targets;
  forwarding::TargetDirectory m_TargetDirectory;
  budget::GrantService m_Grants;
  transport::ListenerCheck m_ListenerCheck;
  quarantine::QuarantineService m_Quarantine;
  ratelimits::LimitService m_Limits;
  streamversions::StreamVersionService m_StreamVersions;
  EvacuationRecords m_Evacuations;
  ColdTimes m_ColdTimes;
  forwarding::TargetGate m_Gate;
  forwarding::TargetAccessLog m_TargetAccess;
  forwarding::Placement m_Placement;
  TargetPath m_TargetPath;
  transport::TargetConnector m_Connector;

  /// Carries connections for routers that reach no target themselves.
  transport::TunnelServer m_TunnelServer;
  std::uint64_t m_ReportedTunnels = 0;
  RequestMetrics m_Metrics;
  forwarding::ForwardingContext m_Context;
  transport::CallerServer m_CallerServer;

  /// Evictions by reason that were reported.
  std::array<std::uint64_t, transport::EvictionReasonNames.size()> m_ReportedEvictions{};

  /// Responses that were dropped for want of memory and reported.
  std::uint64_t m_ReportedResponseDrops = 0;
  transport::CallerServer m_ReadinessServer;
  transport::CallerServer m_DirectoryServer;
  keyvalue::StoreMonitor m_StoreMonitor;
  bool m_HasTargetList = false;

  /// Whether the records of the other routers have been listed.
  bool m_HasRouterList = false;
  bool m_IsLeaving = false;
  std::int64_t m_OwnRecordRevision = 0;
  bool m_IsRegistering = false;

  /// Result of the last probe of the store; assumed to be positive before the first one.
  bool m_IsStoreReachable = true;

  /// Whether this router must be registered once the store can be reached.
  bool m_MustRegister = false;
  bool m_IsDrainingGrants = false;

  /// Whether the requests that run at the end of the stop time got an answer.
  bool m_HasAnsweredBeforeStop = false;
  std::uint32_t m_HeartbeatSequence = 0;
  base::SteadyTime m_StopStarted;
  std::function<void()> m_OnStopped;
};

} // namespace geraniumlift::router
