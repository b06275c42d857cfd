#include "router/router.h"

#include <algorithm>
#include <fmt/format.h>

namespace geraniumlift::router {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Timeout for connecting to a target. A connection within the region takes a few milliseconds; the
/// rest allows for three lost packets.
constexpr auto ConnectTimeout = 400ms;

/// Memory of a tunnel with its buffers, and the part of the memory limit that tunnels may use, as a
/// divisor.
constexpr auto TunnelBytes = std::size_t{48} * 1024;
constexpr auto TunnelMemoryDivisor = std::size_t{16};

/// Share of the fleet's retry allowance that the routers use. The rest covers retries that a router
/// cannot know of, such as those of a killed process.
constexpr auto UsableRetryShare = 0.6;

/// How long a stopping router still accepts requests, since callers cache the directory's response:
/// at most this long, and a share of the stop time, so that the rest of it suffices to answer them.
constexpr auto MaxStopAcceptPeriod = 2800ms;
constexpr auto StopAcceptShare = 0.35;

/// This long before the end of its stop time a stopping router answers the requests whose responses
/// have not begun, and exits a little later.
constexpr auto FinalAnswerMargin = 600ms;
constexpr auto ForcedExitMargin = 300ms;

/// Interval at which a stopping router checks how far it is.
constexpr auto StopCheckInterval = 50ms;

/// Shortest time for which the origins of streams are remembered.
constexpr auto MinStreamLife = milliseconds(20000);

/// Targets known as of this long ago count as current.
constexpr auto MaxTargetAge = 1500ms;

/// Delay before a failed registration is retried.
constexpr auto RegistrationRetryDelay = 300ms;

/// File descriptors reserved for connections to targets and to the store and for files.
constexpr auto ReservedDescriptors = std::int64_t{900};

/// Share of the memory limit that bytes of callers, and unsent responses, may use.
constexpr auto HeldMemoryShare = 0.28;

/// Connections without any bytes may use the memory limit divided by this.
constexpr auto ConnectionMemoryDivisor = std::size_t{5};

/// Memory of a connection without any bytes.
constexpr auto ConnectionBytes = std::size_t{8} * 1024;

/// Request bodies may use the memory limit divided by this.
constexpr auto BodyMemoryDivisor = 4;

/// Responses that are buffered may use the memory limit divided by this.
constexpr auto ResponseMemoryDivisor = std::size_t{8};

auto peerOptions(const RouterSettings &Settings) -> fleet::PeerOptions {
  auto Options = fleet::PeerOptions();
  Options.m_Self = Settings.m_Vm;
  return Options;
}

/// Time within which any change of the store must take effect.
auto changeTime(const RouterSettings &Settings) -> milliseconds {
  return std::min(Settings.m_DrainTime, Settings.m_ConfigurationTime);
}

auto exchangeOptions(const RouterSettings &Settings) -> fleet::ExchangeOptions {
  auto Options = fleet::ExchangeOptions();
  Options.m_Self = Settings.m_Vm;
  Options.m_DataCentre = Settings.m_DataCentre;
  const auto Times = mirror::followTimesFor(changeTime(Settings));
  Options.m_RelayedPeriod = Times.m_RequestInterval;
  Options.m_MaxStoreLag = Times.m_MaxStoreLag;
  return Options;
}

auto subscriptionOptions(const RouterSettings &Settings, std::vector<std::string> Prefixes,
                         std::uint64_t Seed) -> SubscriptionOptions {
  auto Options = SubscriptionOptions();
  Options.m_Self = Settings.m_Vm;
  Options.m_MirroredPrefixes = std::move(Prefixes);
  Options.m_Times = mirror::followTimesFor(changeTime(Settings));
  // Whether a router is there is told by heartbeats.
  Options.m_UnhurriedPrefixes = {std::string(fleet::RouterPrefix)};
  const auto Spread = static_cast<std::uint64_t>(Options.m_Times.m_MaxAgeSpread.count());
  Options.m_AgeSpread = milliseconds(static_cast<std::int64_t>(Seed % (Spread + 1)));
  return Options;
}

/// The part of a target's record that matters to routers; targets rewrite the rest all the time.
auto meaningOf(const forwarding::TargetRecord &Record) -> std::string {
  const auto ColdSeconds = std::chrono::ceil<std::chrono::seconds>(Record.m_ColdTime).count();
  return fmt::format("{} {} {}:{} {} {} {} {}", Record.m_Incarnation, Record.m_Pool,
                     Record.m_Address, Record.m_Port, Record.m_DataCentre, Record.m_IsLeaving,
                     ColdSeconds, Record.m_Version);
}

auto seedOf(const RouterSettings &Settings, std::uint64_t Incarnation) -> std::uint64_t {
  return Incarnation ^ std::hash<std::string>()(Settings.m_Vm);
}

auto grantOptions(const RouterSettings &Settings, std::uint64_t Incarnation,
                  base::SteadyTime Started) -> budget::GrantOptions {
  auto Options = budget::GrantOptions();
  Options.m_Seed = seedOf(Settings, Incarnation);
  Options.m_Incarnation = Incarnation;
  // The monotonic time is mixed in because the time of day, on which the incarnation is based, may
  // repeat if the clock was set back.
  Options.m_Session =
      Options.m_Seed ^ (static_cast<std::uint64_t>(Started.time_since_epoch().count()) << 20U);
  return Options;
}

auto quarantineOptions(const RouterSettings &Settings, std::uint64_t Incarnation)
    -> quarantine::ServiceOptions {
  auto Options = quarantine::ServiceOptions();
  Options.m_Router = Settings.m_Vm;
  Options.m_Seed = seedOf(Settings, Incarnation);
  return Options;
}

auto streamVersionOptions(const RouterSettings &Settings, std::uint64_t Incarnation)
    -> streamversions::StreamVersionOptions {
  auto Options = streamversions::StreamVersionOptions();
  Options.m_Router = Settings.m_Vm;
  Options.m_Incarnation = Incarnation;
  return Options;
}

auto healthOptions(const RouterSettings &Settings) -> forwarding::HealthOptions {
  auto Options = forwarding::HealthOptions();
  Options.m_IsPaced = Settings.m_IsPaced;
  return Options;
}

auto gateOptions(const RouterSettings &Settings) -> forwarding::GateOptions {
  auto Options = forwarding::GateOptions();
  // Half of the time within which a leaving target must get no more requests: a request that was
  // placed in the last moment has yet to arrive there.
  Options.m_LeavingGrace = Settings.m_DrainTime / 2;
  Options.m_Regions = Settings.m_Regions;
  Options.m_Router = Settings.m_Vm;
  return Options;
}

auto placementOptions(const RouterSettings &Settings) -> forwarding::PlacementOptions {
  auto Options = forwarding::PlacementOptions();
  Options.m_DataCentre = Settings.m_DataCentre;
  return Options;
}

auto memoryBytes(const RouterSettings &Settings) -> std::size_t {
  return static_cast<std::size_t>(Settings.m_MemoryMb) * 1024 * 1024;
}

auto forwardingOptions(const RouterSettings &Settings) -> forwarding::ForwardingOptions {
  auto Options = forwarding::ForwardingOptions();
  Options.m_MaxBodyBytes = memoryBytes(Settings) / BodyMemoryDivisor;
  // One response of the largest size must fit.
  Options.m_MaxResponseBytes =
      std::max(memoryBytes(Settings) / ResponseMemoryDivisor, Options.m_MaxBufferedResponseBytes);
  Options.m_Retry.m_Share = Settings.m_RetryShare * UsableRetryShare;
  Options.m_Retry.m_Burst = 1.0;
  return Options;
}

auto heldBytesLimit(const RouterSettings &Settings) -> std::size_t {
  return static_cast<std::size_t>(static_cast<double>(memoryBytes(Settings)) * HeldMemoryShare);
}

auto directOptions(std::size_t MaxConnections) -> transport::ServerOptions {
  auto Options = transport::ServerOptions();
  Options.m_MaxConnections = MaxConnections;
  Options.m_Memory.m_Bytes = std::size_t{1024} * 1024;
  return Options;
}

auto serverOptions(const RouterSettings &Settings) -> transport::ServerOptions {
  auto Options = transport::ServerOptions();
  Options.m_MaxConnections = static_cast<std::size_t>(
      std::max<std::int64_t>(64, Settings.m_MaxDescriptors - ReservedDescriptors));
  Options.m_MaxConnections = std::min(
      Options.m_MaxConnections, memoryBytes(Settings) / ConnectionMemoryDivisor / ConnectionBytes);
  Options.m_Memory.m_Bytes = heldBytesLimit(Settings);
  return Options;
}

/// How long after its last event a stream may be taken up: a caller may take it up again and again,
/// each time for as long as its route allows.
auto streamLife(const std::vector<forwarding::Route> &Routes) -> milliseconds {
  auto Longest = MinStreamLife;
  for (const auto &Route : Routes) {
    if (Route.isResumableStream()) {
      Longest = std::max(Longest, 2 * Route.m_Timeout);
    }
  }
  return Longest;
}

auto tunnelOptions(const RouterSettings &Settings) -> transport::TunnelOptions {
  auto Options = transport::TunnelOptions();
  Options.m_MaxTunnels =
      std::max<std::size_t>(32, memoryBytes(Settings) / TunnelMemoryDivisor / TunnelBytes);
  return Options;
}

auto incarnationOf(const base::IClock &Clock) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      duration_cast<milliseconds>(Clock.systemNow().time_since_epoch()).count());
}

auto formatAddress(const SocketAddress &Address) -> std::string {
  return fmt::format("{}:{}", Address.m_Ip, Address.m_Port);
}

} // namespace

Router::Router(RouterDependencies Dependencies, RouterSettings Settings)
    : m_Dependencies(Dependencies), m_Settings(std::move(Settings)),
      m_Incarnation(incarnationOf(Dependencies.m_Clock)), m_Peers(peerOptions(m_Settings)),
      m_AddressSelector(m_Settings.m_Vm, fleet::AddressSelector::DefaultMaxAddresses,
                        m_Settings.m_ContactTime),
      m_FleetExchange(exchangeOptions(m_Settings), m_Peers),
      m_PeerSocket(Dependencies.m_Loop, [this](std::string_view Bytes) { onDatagram(Bytes); }),
      m_PeerLink(m_Peers, m_FleetExchange, m_PeerSocket, Dependencies.m_Clock),
      m_Subscription(subscriptionOptions(m_Settings,
                                         {Dependencies.m_Documents.targetPrefix(),
                                          std::string(fleet::RouterPrefix),
                                          Dependencies.m_Documents.operatorPrefix()},
                                         seedOf(m_Settings, m_Incarnation)),
                     Dependencies.m_Store, m_PeerLink, Dependencies.m_Timers, Dependencies.m_Clock,
                     Dependencies.m_Log, *this),
      m_Targets(healthOptions(m_Settings)), m_TargetDirectory(m_Targets, Dependencies.m_Log),
      m_Grants(m_Settings.m_Vm,
               grantOptions(m_Settings, m_Incarnation, Dependencies.m_Clock.steadyNow()),
               Dependencies.m_Store, m_PeerLink, Dependencies.m_Timers, Dependencies.m_Clock,
               Dependencies.m_Log),
      m_ListenerCheck(Dependencies.m_Loop, Dependencies.m_Timers, Dependencies.m_Clock,
                      ConnectTimeout),
      m_Quarantine(quarantineOptions(m_Settings, m_Incarnation), Dependencies.m_Store,
                   m_ListenerCheck, Dependencies.m_Timers, Dependencies.m_Clock,
                   Dependencies.m_Log),
      m_Limits(m_Settings.m_Vm, m_PeerLink, Dependencies.m_Timers, Dependencies.m_Clock,
               Dependencies.m_Log),
      m_StreamVersions(streamVersionOptions(m_Settings, m_Incarnation), Dependencies.m_Store,
                       m_PeerLink, Dependencies.m_Timers, Dependencies.m_Clock, Dependencies.m_Log),
      m_Gate(gateOptions(m_Settings), m_Limits, m_Quarantine), m_TargetAccess(Dependencies.m_Log),
      m_Placement(placementOptions(m_Settings),
                  [this](const forwarding::TargetRecord &Target) {
                    return m_Peers.peerLoad(Target.m_Id, now());
                  }),
      m_TargetPath(m_Settings.m_DataCentre, seedOf(m_Settings, m_Incarnation), m_Peers, m_Targets,
                   m_ListenerCheck, Dependencies.m_Clock, Dependencies.m_Log),
      m_Connector(Dependencies.m_Loop, Dependencies.m_Timers, Dependencies.m_Clock, ConnectTimeout),
      m_TunnelServer(
          Dependencies.m_Loop, Dependencies.m_Timers, Dependencies.m_Clock,
          tunnelOptions(m_Settings),
          [this](const std::string &Id, std::int64_t Incarnation) {
            return findTunnelTarget(Id, Incarnation);
          },
          [this](const std::string &Id, bool IsConnected) {
            m_TargetPath.onChecked(Id, IsConnected);
          }),
      m_Metrics(Dependencies.m_Metrics), m_Context{Dependencies.m_Clock,
                                                   Dependencies.m_Timers,
                                                   Dependencies.m_Dialect,
                                                   m_Connector,
                                                   m_Grants,
                                                   Dependencies.m_Log,
                                                   m_Metrics,
                                                   m_Quarantine,
                                                   m_Limits,
                                                   m_StreamVersions,
                                                   m_Targets,
                                                   m_Placement,
                                                   m_Gate,
                                                   forwardingOptions(m_Settings),
                                                   base::RandomEngine(
                                                       seedOf(m_Settings, m_Incarnation))},
      m_CallerServer(Dependencies.m_Loop, Dependencies.m_Timers, Dependencies.m_Clock,
                     serverOptions(m_Settings)),
      m_ReadinessServer(Dependencies.m_Loop, Dependencies.m_Timers, Dependencies.m_Clock,
                        directOptions(64)),
      m_DirectoryServer(Dependencies.m_Loop, Dependencies.m_Timers, Dependencies.m_Clock,
                        directOptions(512)),
      m_StoreMonitor(Dependencies.m_Store, Dependencies.m_Timers, Dependencies.m_Clock,
                     Dependencies.m_Log, [this](bool IsReachable) { onReachable(IsReachable); }) {
  m_Connector.setPath(m_TargetPath);
  m_StoreMonitor.setWitness([this] { return m_Subscription.storeAnsweredAt(); });
  m_Context.m_KnowledgeOrigin = [this] {
    return forwarding::KnowledgeOrigin{m_Subscription.knowledgeAge(),
                                       m_Subscription.knowledgeRelay()};
  };
  m_Context.m_TargetCheck = [this](const forwarding::TargetRecord &Record,
                                   std::function<void(bool)> Done) {
    checkTarget(Record, std::move(Done));
  };
  m_Gate.setStreamVersions(m_StreamVersions);
  m_Gate.setPeerLoad([this](const forwarding::TargetRecord &Target) {
    return m_Peers.peerLoad(Target.m_Id, now());
  });
  m_Grants.setOnCallFailed([this] { m_StoreMonitor.probeNow(); });
  m_Quarantine.setPublisher([this](const quarantine::QuarantineUpdate &Update) {
    m_PeerLink.sendToNeighbours(QuarantineByte + encodeUpdate(Update));
  });
}

auto Router::start() -> absl::Status {
  const auto Directory = [this](const http1::RequestHead &Head) {
    return handleDirectoryRequest(Head);
  };
  const auto Readiness = [this](const http1::RequestHead &Head) {
    return handleReadinessRequest(Head);
  };
  const auto &Settings = m_Settings;
  for (const auto &Status :
       {m_CallerServer.listen(Settings.m_Callers.m_Ip, Settings.m_Callers.m_Port, m_Context),
        m_ReadinessServer.listen(Settings.m_Readiness.m_Ip, Settings.m_Readiness.m_Port, Readiness),
        m_DirectoryServer.listen(Settings.m_Directory.m_Ip, Settings.m_Directory.m_Port, Directory),
        m_PeerSocket.open(Settings.m_Peers.m_Ip, Settings.m_Peers.m_Port),
        m_TunnelServer.listen(Settings.m_Peers.m_Ip, Settings.m_Peers.m_Port)}) {
    if (!Status.ok()) {
      return Status;
    }
  }
  m_Dependencies.m_Log.record(base::LogLevel::Warning, "router_started",
                              {{"vm", Settings.m_Vm},
                               {"data_centre", Settings.m_DataCentre},
                               {"incarnation", m_Incarnation},
                               {"callers", formatAddress(Settings.m_Callers)},
                               {"store", formatAddress(Settings.m_Store)}});
  m_Peers.put(ownRecord(), now());
  m_StoreMonitor.start();
  m_Subscription.start();
  runPeriodicTasks();
  return absl::OkStatus();
}

auto Router::ownRecord() const -> fleet::RouterRecord {
  return {m_Settings.m_Vm,         m_Settings.m_DataCentre,   formatAddress(m_Settings.m_Callers),
          m_Settings.m_Peers.m_Ip, m_Settings.m_Peers.m_Port, m_Settings.m_Cores,
          m_Settings.m_LinkMbps};
}

auto Router::ownKey() const -> std::string {
  return std::string(fleet::RouterPrefix) + m_Settings.m_Vm;
}

auto Router::registerSelf() -> void {
  if (m_IsLeaving || m_IsRegistering) {
    return;
  }
  if (!m_IsStoreReachable) {
    m_MustRegister = true;
    return;
  }
  m_IsRegistering = true;
  auto Request = keyvalue::Transaction();
  Request.m_Writes.push_back({ownKey(), encodeRouter(ownRecord())});
  m_Dependencies.m_Store.transact(
      std::move(Request), [this](const keyvalue::TransactionResult &Result) {
        m_IsRegistering = false;
        m_Dependencies.m_Log.record(
            base::LogLevel::Info, "router_registered",
            {{"outcome", nameOf(keyvalue::TransactionOutcomeNames, Result.m_Outcome)},
             {"revision", Result.m_Revision}});
        if (Result.m_Outcome == keyvalue::TransactionOutcome::Applied) {
          m_OwnRecordRevision = Result.m_Revision;
          return;
        }
        m_Dependencies.m_Timers.start(now() + RegistrationRetryDelay, [this] { registerSelf(); });
      });
}

auto Router::unregisterSelf() -> void {
  if (m_OwnRecordRevision == 0) {
    return;
  }
  // The condition prevents a delayed removal from deleting the record of the next process on this
  // VM.
  auto Request = keyvalue::Transaction();
  Request.m_Conditions.push_back({ownKey(), m_OwnRecordRevision});
  Request.m_Removals.push_back(ownKey());
  m_Dependencies.m_Store.transact(
      std::move(Request), [this](const keyvalue::TransactionResult &Result) {
        m_Dependencies.m_Log.record(
            base::LogLevel::Info, "router_unregistered",
            {{"outcome", nameOf(keyvalue::TransactionOutcomeNames, Result.m_Outcome)}});
      });
}

auto Router::onRecordsListed(std::string_view Prefix, const keyvalue::ListResult &Result) -> void {
  auto Targets = std::set<std::string>();
  auto IsRegistered = false;
  auto Evacuated = std::set<std::string>();
  for (const auto &Item : Result.m_Items) {
    if (m_Dependencies.m_Documents.kindOf(Item.m_Key) == DocumentKind::Evacuation) {
      Evacuated.insert(m_Dependencies.m_Documents.evacuatedDataCentre(Item.m_Key));
    }
    if (m_Dependencies.m_Documents.kindOf(Item.m_Key) == DocumentKind::Target) {
      Targets.insert(m_Dependencies.m_Documents.targetIdOf(Item.m_Key));
    }
    IsRegistered |= Item.m_Key == ownKey() && Item.m_Value == encodeRouter(ownRecord());
    applyItem(Item);
  }
  if (m_Dependencies.m_Documents.targetPrefix().starts_with(Prefix)) {
    m_TargetDirectory.keepOnly(Targets, Result.m_Revision);
    m_TargetDirectory.applyRemovals(now());
    m_HasTargetList = true;
  }
  if (m_Dependencies.m_Documents.operatorPrefix().starts_with(Prefix)) {
    m_Evacuations.keepOnly(Evacuated, Result.m_Revision);
    applyEvacuations();
  }
  if (fleet::RouterPrefix.starts_with(Prefix)) {
    m_HasRouterList = true;
    updateRetryBudgets();
    if (!IsRegistered) {
      registerSelf();
    }
  }
}

auto Router::applyEvacuations() -> void {
  auto DataCentres = m_Evacuations.evacuated();
  const auto &Before = m_Gate.evacuated();
  const auto LogMissing = [this](std::string_view Event, const auto &Items, const auto &Others) {
    for (const auto &Name : Items) {
      if (!Others.contains(Name)) {
        const auto Targets = std::count_if(
            m_Targets.all().begin(), m_Targets.all().end(),
            [&Name](const auto &Item) { return Item.second.record().m_DataCentre == Name; });
        // Without targets the name may be a mistake.
        m_Dependencies.m_Log.record(Targets > 0 ? base::LogLevel::Info : base::LogLevel::Warning,
                                    Event, {{"data_centre", Name}, {"targets", Targets}});
      }
    }
  };
  LogMissing("data_centre_evacuated", DataCentres, Before);
  LogMissing("data_centre_taken_back", Before, DataCentres);
  m_Gate.setEvacuated(std::move(DataCentres));
}

auto Router::onRecordsChanged(const std::vector<keyvalue::WatchEvent> &Events) -> void {
  for (const auto &Event : Events) {
    if (Event.m_IsRemoved) {
      applyRemoval(Event.m_Item);
    } else {
      applyItem(Event.m_Item);
    }
  }
  m_TargetDirectory.applyRemovals(now());
}

auto Router::onReachable(bool IsReachable) -> void {
  m_IsStoreReachable = IsReachable;
  m_Subscription.setStoreReachable(IsReachable);
  if (IsReachable && std::exchange(m_MustRegister, false)) {
    registerSelf();
  }
  m_TargetDirectory.setStoreReachable(IsReachable, now());
  m_Grants.setStoreReachable(IsReachable);
}

auto Router::applyItem(const keyvalue::KeyValue &Item) -> void {
  switch (m_Dependencies.m_Documents.kindOf(Item.m_Key)) {
  case DocumentKind::Routing:
    applyRouting(Item);
    break;
  case DocumentKind::Target:
    applyTarget(Item);
    break;
  case DocumentKind::Evacuation: {
    m_Subscription.mirror().put(Item, "evacuated");
    m_Evacuations.put(m_Dependencies.m_Documents.evacuatedDataCentre(Item.m_Key),
                      Item.m_ModRevision);
    applyEvacuations();
    break;
  }
  case DocumentKind::Other:
    if (Item.m_Key.starts_with(fleet::RouterPrefix)) {
      applyRouter(Item);
    } else if (Item.m_Key.starts_with(budget::GrantPrefix)) {
      m_Grants.onRecordChanged(Item);
    } else if (Item.m_Key.starts_with(quarantine::QuarantinePrefix)) {
      m_Quarantine.onRecordChanged(Item);
    }
    break;
  }
}

auto Router::applyRemoval(const keyvalue::KeyValue &Item) -> void {
  if (m_Dependencies.m_Documents.kindOf(Item.m_Key) == DocumentKind::Target) {
    m_Subscription.mirror().remove(Item.m_Key, Item.m_ModRevision, now());
    m_TargetDirectory.remove(m_Dependencies.m_Documents.targetIdOf(Item.m_Key), Item.m_ModRevision);
    return;
  }
  if (m_Dependencies.m_Documents.kindOf(Item.m_Key) == DocumentKind::Evacuation) {
    m_Subscription.mirror().remove(Item.m_Key, Item.m_ModRevision, now());
    m_Evacuations.remove(m_Dependencies.m_Documents.evacuatedDataCentre(Item.m_Key),
                         Item.m_ModRevision);
    applyEvacuations();
    return;
  }
  if (Item.m_Key.starts_with(quarantine::QuarantinePrefix)) {
    m_Quarantine.onRecordRemoved(Item.m_Key);
  }
  if (!Item.m_Key.starts_with(fleet::RouterPrefix)) {
    return;
  }
  m_Subscription.mirror().remove(Item.m_Key, Item.m_ModRevision, now());
  if (Item.m_Key == ownKey()) {
    m_OwnRecordRevision = 0;
    registerSelf();
    return;
  }
  m_Dependencies.m_Log.record(base::LogLevel::Info, "router_left", {{"key", Item.m_Key}});
  m_Peers.remove(Item.m_Key.substr(fleet::RouterPrefix.size()));
}

auto Router::applyRouting(const keyvalue::KeyValue &Item) -> void {
  m_Subscription.mirror().put(Item, Item.m_Value);
  const auto Table = m_Dependencies.m_Documents.decodeRouting(Item.m_Value);
  if (!Table.ok()) {
    m_Dependencies.m_Log.record(
        base::LogLevel::Error, "configuration_rejected",
        {{"reason", std::string(Table.status().message())},
         {"revision", Item.m_ModRevision},
         {"in_force", m_Context.m_Table ? m_Context.m_Table->version() : -1}});
    return;
  }
  if (m_Context.m_Table && (*Table)->version() <= m_Context.m_Table->version()) {
    return;
  }
  m_Dependencies.m_Log.record(base::LogLevel::Info, "configuration_adopted",
                              {{"config", (*Table)->version()},
                               {"before", m_Context.m_Table ? m_Context.m_Table->version() : -1},
                               {"revision", Item.m_ModRevision},
                               {"knowledge_ms", m_Subscription.knowledgeAge().count()},
                               {"bytes", Item.m_Value.size()},
                               {"routes", (*Table)->routes().size()}});
  m_Context.m_Table = *Table;
  auto Prepaid = std::map<std::string, base::Tokens>();
  for (const auto &Workspace : (*Table)->workspaces()) {
    if (Workspace.m_Prepaid) {
      Prepaid[Workspace.m_Name] = *Workspace.m_Prepaid;
    }
  }
  m_Grants.setPrepaid(Prepaid);
  m_StreamVersions.setStreamLife(streamLife((*Table)->routes()));
  // Targets may have registered before the configuration said what cold ones tolerate.
  for (const auto &[Id, Target] : m_Targets.all()) {
    applyColdTime(Target.record());
  }
}

auto Router::applyTarget(const keyvalue::KeyValue &Item) -> void {
  const auto Record = m_Dependencies.m_Documents.decodeTarget(Item.m_Key, Item.m_Value);
  m_Subscription.mirror().put(Item, Record.ok() ? meaningOf(*Record) : "unreadable");
  if (Record.ok()) {
    const auto *Before = m_Targets.find(Record->m_Id);
    const auto IsNew = Before == nullptr || Before->record().m_Incarnation != Record->m_Incarnation;
    m_TargetDirectory.put(*Record, Item.m_ModRevision, now());
    m_ColdTimes.put(*Record, Item.m_ModRevision, now());
    applyColdTime(*Record);
    if (IsNew) {
      inheritBrittleness(*Record);
    }
    if (!m_StreamVersions.mayBegin(Record->m_Pool, Record->m_Version)) {
      advanceStreamVersions();
    }
    return;
  }
  m_Dependencies.m_Log.record(
      base::LogLevel::Warning, "target_record_unreadable",
      {{"key", Item.m_Key}, {"reason", std::string(Record.status().message())}});
  m_TargetDirectory.remove(m_Dependencies.m_Documents.targetIdOf(Item.m_Key), Item.m_ModRevision);
}

auto Router::applyColdTime(const forwarding::TargetRecord &Record) -> void {
  const auto *Pool = m_Context.m_Table ? m_Context.m_Table->findPool(Record.m_Pool) : nullptr;
  const auto Until = m_ColdTimes.endOf(Record, now());
  if (Pool == nullptr || Pool->m_ColdPerSecond <= 0.0 || !Until) {
    return;
  }
  m_Limits.setCold(ratelimits::targetKey(Record.m_Id, Record.m_Incarnation),
                   ratelimits::coldAllowance(Pool->m_ColdPerSecond, m_Settings.m_ColdOverage,
                                             m_Settings.m_ColdSlack, *Until));
}

auto Router::checkTarget(const forwarding::TargetRecord &Record, std::function<void(bool)> Done)
    -> void {
  if (!m_IsStoreReachable) {
    Done(true);
    return;
  }
  const auto Key = m_Dependencies.m_Documents.targetPrefix() + Record.m_Id;
  m_Dependencies.m_Store.list(Key, [this, Key, Record, Done = std::move(Done)](
                                       const absl::StatusOr<keyvalue::ListResult> &Result) {
    auto IsSame = !Result.ok();
    if (Result.ok()) {
      for (const auto &Item : Result->m_Items) {
        const auto Current = m_Dependencies.m_Documents.decodeTarget(Item.m_Key, Item.m_Value);
        if (Item.m_Key == Key && Current.ok()) {
          applyTarget(Item);
          IsSame = Current->m_Incarnation == Record.m_Incarnation &&
                   Current->m_Version == Record.m_Version;
        }
      }
    }
    m_Dependencies.m_Log.record(base::LogLevel::Debug, "target_checked",
                                {{"target", Record.m_Id},
                                 {"incarnation", Record.m_Incarnation},
                                 {"version", Record.m_Version},
                                 {"store_answered", Result.ok()},
                                 {"same", IsSame}});
    Done(IsSame);
  });
}

auto Router::inheritBrittleness(const forwarding::TargetRecord &Record) -> void {
  if (m_Limits.brittleTargets() == 0) {
    return;
  }
  const auto Key = ratelimits::targetKey(Record.m_Id, Record.m_Incarnation);
  for (const auto *Other : m_Targets.targetsOf(Record.m_Pool)) {
    if (Other->limitKey() != Key && m_Limits.isBrittle(Other->limitKey())) {
      m_Limits.inheritBrittleness(Key, Other->limitKey());
      return;
    }
  }
}

auto Router::applyRouter(const keyvalue::KeyValue &Item) -> void {
  m_Subscription.mirror().put(Item, Item.m_Value);
  if (Item.m_Key == ownKey()) {
    m_OwnRecordRevision = std::max(m_OwnRecordRevision, Item.m_ModRevision);
    return;
  }
  const auto Record = fleet::decodeRouter(Item.m_Value);
  if (!Record.ok()) {
    m_Dependencies.m_Log.record(
        base::LogLevel::Warning, "router_record_unreadable",
        {{"key", Item.m_Key}, {"reason", std::string(Record.status().message())}});
    return;
  }
  m_Peers.put(*Record, now());
}

auto Router::isReady() const -> bool {
  return m_Context.m_Table && m_HasTargetList && m_Grants.isReady() && m_StreamVersions.isReady() &&
         !m_IsLeaving;
}

auto Router::handleReadinessRequest(const http1::RequestHead &Head) -> transport::DirectResponse {
  if (Head.m_Target == "/metrics") {
    return {200, "OK", "text/plain; version=0.0.4", m_Dependencies.m_Metrics.render()};
  }
  if (!m_Dependencies.m_Directory.isReadinessRequest(Head)) {
    return {404, "Not Found", "application/json", "{}"};
  }
  return isReady()
             ? transport::DirectResponse{200, "OK", "application/json", "{}"}
             : transport::DirectResponse{503, "Service Unavailable", "application/json", "{}"};
}

auto Router::handleDirectoryRequest(const http1::RequestHead &Head) -> transport::DirectResponse {
  if (!m_Dependencies.m_Directory.isDirectoryRequest(Head)) {
    return {404, "Not Found", "application/json", "{}"};
  }
  auto Candidates = m_Peers.addressCandidates(m_IsLeaving || !isReady(), now());
  m_AddressSelector.removeSilent(Candidates, m_IsStoreReachable, now());
  keepAllowedRegions(m_Dependencies.m_Directory.decodeLookup(Head), Candidates);
  const auto Addresses = m_AddressSelector.choose(std::move(Candidates));
  if (Addresses.empty()) {
    return {503, "Service Unavailable", "application/json", "{}"};
  }
  return {200, "OK", "application/json",
          m_Dependencies.m_Directory.encodeAddresses(Addresses, m_Settings.m_DirectoryTimeToLive)};
}

auto Router::keepAllowedRegions(const DirectoryLookup &Lookup,
                                std::vector<fleet::AddressCandidate> &Candidates) const -> void {
  const auto &Regions = m_Settings.m_Regions;
  if (!m_Context.m_Table || Lookup.m_Region.empty()) {
    return;
  }
  const auto IsAllowed = [&](const fleet::AddressCandidate &Item) {
    const auto Region = Regions.find(Item.m_DataCentre);
    return Region == Regions.end() || Region->second == Lookup.m_Region ||
           m_Context.m_Table->allowsRegion(Lookup.m_Host, Region->second);
  };
  // A list without any router would help nobody.
  if (std::any_of(Candidates.begin(), Candidates.end(), IsAllowed)) {
    std::erase_if(Candidates, [&](const auto &Item) { return !IsAllowed(Item); });
  }
}

auto Router::runPeriodicTasks() -> void {
  const auto Routers = m_Peers.countBudgetRouters(now());
  const auto AlivePeers = m_Peers.alivePeers(now());
  m_Grants.setFleet(Routers, AlivePeers);
  m_Placement.setRouterCount(AlivePeers.size() + 1);
  m_Gate.setRouterCount(static_cast<std::int64_t>(AlivePeers.size()) + 1);
  updateRetryBudgets();
  advanceTargetPath();
  m_TargetDirectory.removeExpired(now());
  if (m_Subscription.followsBudgets() && m_Grants.shardCount() > 1) {
    m_Subscription.stopFollowingBudgets();
  }
  observeLoad();
  sendHeartbeats();
  advanceQuarantine();
  advanceLimits(AlivePeers);
  m_StreamVersions.setRouters(AlivePeers);
  advanceStreamVersions();
  reportTargetAccess();
  auto Candidates = m_Peers.addressCandidates(m_IsLeaving, now());
  m_AddressSelector.removeSilent(Candidates, m_IsStoreReachable, now());
  reportHeldMemory();
  m_Subscription.mirror().removeExpired(now());
  m_Dependencies.m_Metrics.gauge(
      "geraniumlift_store_knowledge_age_seconds", {},
      std::chrono::duration<double>(m_Subscription.knowledgeAge()).count());
  m_TasksDueAt = now() + m_FleetExchange.period();
  m_Dependencies.m_Timers.start(*m_TasksDueAt, [this] { runPeriodicTasks(); });
}

auto Router::advanceStreamVersions() -> void {
  auto Situation = streamversions::StreamVersionService::Situation();
  for (const auto &[Id, Target] : m_Targets.all()) {
    Situation.m_VersionsByPool[Target.record().m_Pool].insert(Target.record().m_Version);
  }
  Situation.m_IsStoreReachable = m_IsStoreReachable;
  Situation.m_IsCurrent = m_HasTargetList && m_Subscription.knowledgeAge() < MaxTargetAge;
  m_StreamVersions.advance(Situation);
  m_Dependencies.m_Metrics.gauge("geraniumlift_remembered_streams", {},
                                 static_cast<double>(m_StreamVersions.rememberedStreams()));
}

auto Router::findTunnelTarget(const std::string &Id, std::int64_t Incarnation) const
    -> std::optional<transport::TunnelTarget> {
  const auto *Target = m_Targets.find(Id);
  if (Target == nullptr || Target->record().m_Incarnation != Incarnation ||
      m_TargetPath.isCutOff()) {
    return std::nullopt;
  }
  return transport::TunnelTarget{Target->record().m_Address, Target->record().m_Port};
}

auto Router::advanceTargetPath() -> void {
  m_TargetPath.advance();
  auto &Metrics = m_Dependencies.m_Metrics;
  Metrics.gauge("geraniumlift_router_cut_off", {}, m_TargetPath.isCutOff() ? 1.0 : 0.0);
  Metrics.gauge("geraniumlift_tunnels_open", {}, static_cast<double>(m_TunnelServer.tunnels()));
  const auto Opened = m_TunnelServer.openedTunnels();
  Metrics.count("geraniumlift_tunnels_opened_total", {},
                static_cast<double>(Opened - std::exchange(m_ReportedTunnels, Opened)));
}

auto Router::observeLoad() -> void {
  if (m_Settings.m_LinkMbps <= 0.0) {
    return;
  }
  auto Load = fleet::LoadObservation();
  Load.m_UplinkStrain = m_Gate.uplink().strain(now());
  Load.m_LoopDelay = duration_cast<milliseconds>(
      std::max(base::SteadyTime::duration::zero(), now() - m_TasksDueAt.value_or(now())));
  Load.m_SessionShare = static_cast<double>(m_Context.m_SessionCount) /
                        static_cast<double>(serverOptions(m_Settings).m_MaxConnections);
  if (m_Overload.observe(Load, now())) {
    m_Dependencies.m_Log.record(base::LogLevel::Warning,
                                m_Overload.isOverloaded() ? "router_overloaded" : "router_has_room",
                                {{"strain", m_Overload.strain()},
                                 {"uplink_strain", Load.m_UplinkStrain},
                                 {"loop_delay_ms", Load.m_LoopDelay.count()},
                                 {"sessions", m_Context.m_SessionCount},
                                 {"link_mbps", m_Settings.m_LinkMbps}});
  }
  m_Peers.setSelfOverloaded(m_Overload.isOverloaded());
  m_Dependencies.m_Metrics.gauge("geraniumlift_router_strain", {}, m_Overload.strain());
  m_Dependencies.m_Metrics.gauge("geraniumlift_router_overloaded", {},
                                 m_Overload.isOverloaded() ? 1.0 : 0.0);
}

auto Router::reportHeldMemory() -> void {
  const auto &Memory = m_CallerServer.memory();
  auto &Metrics = m_Dependencies.m_Metrics;
  Metrics.gauge("geraniumlift_caller_bytes_held", {}, static_cast<double>(Memory.heldBytes()));
  const auto &Buffers = m_Context.m_ResponseBuffers;
  Metrics.gauge("geraniumlift_response_bytes_held", {}, static_cast<double>(Buffers.heldBytes()));
  Metrics.count("geraniumlift_response_drops_total", {},
                static_cast<double>(Buffers.drops() -
                                    std::exchange(m_ReportedResponseDrops, Buffers.drops())));
  for (const auto &Row : transport::EvictionReasonNames) {
    auto &Reported = m_ReportedEvictions[static_cast<std::size_t>(Row.m_Value)];
    const auto Count = Memory.evictions(Row.m_Value) - Reported;
    if (Count == 0) {
      continue;
    }
    Reported += Count;
    Metrics.count("geraniumlift_caller_evictions_total", {{"reason", std::string(Row.m_Name)}},
                  static_cast<double>(Count));
    m_Dependencies.m_Log.record(base::LogLevel::Warning, "callers_evicted",
                                {{"reason", Row.m_Name},
                                 {"count", Count},
                                 {"held_bytes", Memory.heldBytes()},
                                 {"connections", m_CallerServer.connections()}});
  }
}

auto Router::updateRetryBudgets() -> void {
  // Each router uses an equal part of the fleet's slack, so that no coordination is needed. Until
  // the other routers are known, it must not take the part of all of them.
  const auto Routers = static_cast<double>(m_Peers.countBudgetRouters(now()));
  m_Context.m_Options.m_Retry.m_Burst =
      m_HasRouterList ? std::max(1.0, m_Settings.m_RetrySlack * UsableRetryShare / Routers) : 1.0;
}

auto Router::applySettings(const RouterSettings &Settings) -> void {
  m_Settings.m_StopTime = Settings.m_StopTime;
  m_Settings.m_DirectoryTimeToLive = Settings.m_DirectoryTimeToLive;
  m_Settings.m_RetryShare = Settings.m_RetryShare;
  m_Settings.m_RetrySlack = Settings.m_RetrySlack;
  m_Settings.m_ColdOverage = Settings.m_ColdOverage;
  m_Settings.m_ColdSlack = Settings.m_ColdSlack;
  m_Settings.m_MemoryMb = Settings.m_MemoryMb;
  m_Context.m_Options = forwardingOptions(m_Settings);
  m_Context.m_ResponseBuffers.setLimit(m_Context.m_Options.m_MaxResponseBytes);
  m_CallerServer.memory().setLimit(heldBytesLimit(m_Settings));
  updateRetryBudgets();
  m_Dependencies.m_Log.record(base::LogLevel::Warning, "settings_reloaded",
                              {{"stop_ms", m_Settings.m_StopTime.count()},
                               {"retry_share", m_Settings.m_RetryShare},
                               {"retry_slack", m_Settings.m_RetrySlack}});
}

auto Router::stop(std::function<void()> Stopped) -> void {
  if (m_IsLeaving) {
    return;
  }
  m_IsLeaving = true;
  m_OnStopped = std::move(Stopped);
  m_StopStarted = now();
  m_Dependencies.m_Log.record(base::LogLevel::Warning, "router_stopping",
                              {{"sessions", m_Context.m_SessionCount}});
  sendHeartbeats();
  unregisterSelf();
  m_CallerServer.closeAfterResponses();
  continueStop();
}

auto Router::continueStop() -> void {
  const auto Since = now() - m_StopStarted;
  const auto StopTime = m_Settings.m_StopTime;
  const auto AcceptPeriod = std::min<std::chrono::duration<double, std::milli>>(
      MaxStopAcceptPeriod, StopTime * StopAcceptShare);
  if (Since >= AcceptPeriod && !m_Context.m_IsStopping) {
    m_Context.m_IsStopping = true;
    m_CallerServer.closeIdle();
  }
  // Long streams may outlast the stop time. The tokens that they do not need are returned before.
  if (m_Context.m_IsStopping && !std::exchange(m_IsDrainingGrants, true)) {
    m_Grants.drain();
  }
  if (Since >= StopTime - FinalAnswerMargin && !std::exchange(m_HasAnsweredBeforeStop, true)) {
    m_Dependencies.m_Log.record(base::LogLevel::Warning, "router_answers_before_stop",
                                {{"sessions", m_Context.m_SessionCount}});
    m_CallerServer.answerBeforeStop();
  }
  const auto IsDone = m_IsDrainingGrants && m_Context.m_SessionCount == 0 &&
                      m_TunnelServer.tunnels() == 0 && m_Grants.isDrained();
  if (IsDone || Since >= StopTime - ForcedExitMargin) {
    m_Dependencies.m_Log.record(
        base::LogLevel::Warning, "router_stopped",
        {{"sessions", m_Context.m_SessionCount}, {"grants_returned", m_Grants.isDrained()}});
    m_OnStopped();
    return;
  }
  m_Dependencies.m_Timers.start(now() + StopCheckInterval, [this] { continueStop(); });
}

} // namespace geraniumlift::router
