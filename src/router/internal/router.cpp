#include "router/router.h"

#include <fmt/format.h>

namespace geraniumlift::router {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Time between heartbeats in a small fleet. Reports older than this cost herding at the targets.
constexpr auto HeartbeatPeriod = 200ms;

/// Heartbeats that a router sends in one period at the most; larger fleets send less often.
constexpr auto HeartbeatsPerPeriod = std::int64_t{72};

/// Budgets in one heartbeat at the most, so that it fits into one packet.
constexpr auto MaxOffers = std::size_t{64};

/// Heartbeats that may be lost before a router counts as silent.
constexpr auto LostHeartbeats = 7;

/// A connection within the region is there in a few milliseconds; three lost packets are allowed.
constexpr auto ConnectTimeout = 400ms;

/// Share of the fleet's allowance of repeated sends that the routers use. The rest covers sends
/// that a router cannot know of, such as those of a process that was killed.
constexpr auto RetryReserve = 0.6;

/// A stopping router takes requests for this long, since callers keep the directory's answer.
constexpr auto TakingAfterStop = 3000ms;

/// Time before the kill at which a stopping router exits in any case.
constexpr auto StopReserve = 300ms;

/// Pause before a failed registration is tried again.
constexpr auto RegistrationPause = 300ms;

/// Descriptors kept free for targets, the store and files.
constexpr auto ReservedDescriptors = std::int64_t{900};

/// Time between watches, as a part of the time in which a change must be in force. A second watch
/// still fits in if the first one fails.
constexpr auto FollowPace = 0.35;

/// The same in a large fleet, where each call is one of many.
constexpr auto FollowPaceOfLargeFleet = 0.5;

/// Wait of a watch of keys that change seldom, as all do but the records of budgets. Each call is
/// priced, and the users' store keeps 20 s of history. Keep-alive probes show a connection that
/// went silent.
constexpr auto SeldomWait = 15000ms;

/// Part of the memory that bodies of requests may take.
constexpr auto BodyMemoryShare = 4;

auto peerOptions(const RouterSettings &Settings) -> fleet::PeerOptions {
  auto Options = fleet::PeerOptions();
  Options.m_Self = Settings.m_Vm;
  return Options;
}

auto seedOf(const RouterSettings &Settings, std::uint64_t Incarnation) -> std::uint64_t {
  return Incarnation ^ std::hash<std::string>()(Settings.m_Vm);
}

auto grantOptions(const RouterSettings &Settings, std::uint64_t Incarnation,
                  base::SteadyTime Started) -> budget::GrantOptions {
  auto Options = budget::GrantOptions();
  Options.m_Seed = seedOf(Settings, Incarnation);
  Options.m_Incarnation = Incarnation;
  // The time of day alone may repeat if it was set back.
  Options.m_Session =
      Options.m_Seed ^ (static_cast<std::uint64_t>(Started.time_since_epoch().count()) << 20U);
  return Options;
}

auto placementOptions(const RouterSettings &Settings) -> forwarding::PlacementOptions {
  auto Options = forwarding::PlacementOptions();
  Options.m_DataCentre = Settings.m_DataCentre;
  return Options;
}

auto forwardingOptions(const RouterSettings &Settings) -> forwarding::ForwardingOptions {
  auto Options = forwarding::ForwardingOptions();
  Options.m_MaxBodyBytes =
      static_cast<std::size_t>(Settings.m_MemoryMb) * 1024 * 1024 / BodyMemoryShare;
  Options.m_Retry.m_Share = Settings.m_RetryShare * RetryReserve;
  Options.m_Retry.m_Burst = Settings.m_RetrySlack * RetryReserve;
  return Options;
}

auto followerOptions(const RouterSettings &Settings, double Pace)
    -> keyvalue::StoreFollowerOptions {
  auto Options = keyvalue::StoreFollowerOptions();
  Options.m_MinWatchInterval = duration_cast<milliseconds>(Settings.m_ChangeTime * Pace);
  return Options;
}

auto serverOptions(const RouterSettings &Settings) -> transport::ServerOptions {
  auto Options = transport::ServerOptions();
  Options.m_MaxConnections = static_cast<std::size_t>(
      std::max<std::int64_t>(64, Settings.m_MaxDescriptors - ReservedDescriptors));
  return Options;
}

auto incarnationOf(const base::IClock &Clock) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      duration_cast<milliseconds>(Clock.systemNow().time_since_epoch()).count());
}

auto splitPort(const SocketAddress &Address) -> std::string {
  return fmt::format("{}:{}", Address.m_Ip, Address.m_Port);
}

} // namespace

Router::Router(RouterParts Parts, RouterSettings Settings)
    : m_Parts(Parts), m_Settings(std::move(Settings)), m_Incarnation(incarnationOf(Parts.m_Clock)),
      m_Peers(peerOptions(m_Settings)),
      m_PeerSocket(Parts.m_Loop, [this](std::string_view Bytes) { onDatagram(Bytes); }),
      m_PeerLink(m_Peers, m_PeerSocket, Parts.m_Clock), m_Targets(forwarding::HealthOptions()),
      m_TargetDirectory(m_Targets, Parts.m_Log),
      m_Grants(m_Settings.m_Vm, grantOptions(m_Settings, m_Incarnation, Parts.m_Clock.steadyNow()),
               Parts.m_Store, m_PeerLink, Parts.m_Timers, Parts.m_Clock, Parts.m_Log),
      m_Placement(placementOptions(m_Settings),
                  [this](const forwarding::TargetRecord &Target) {
                    return m_Peers.loadOfOthers(Target.m_Id, now());
                  }),
      m_Connector(Parts.m_Loop, Parts.m_Timers, Parts.m_Clock, ConnectTimeout),
      m_Metrics(Parts.m_Metrics), m_Context{Parts.m_Clock,
                                            Parts.m_Timers,
                                            Parts.m_Dialect,
                                            m_Connector,
                                            m_Grants,
                                            Parts.m_Log,
                                            m_Metrics,
                                            m_Targets,
                                            m_Placement,
                                            forwardingOptions(m_Settings),
                                            base::RandomEngine(seedOf(m_Settings, m_Incarnation))},
      m_CallerServer(Parts.m_Loop, Parts.m_Timers, serverOptions(m_Settings)),
      m_ReadinessServer(Parts.m_Loop, Parts.m_Timers, transport::ServerOptions{64}),
      m_DirectoryServer(Parts.m_Loop, Parts.m_Timers, transport::ServerOptions{512}),
      m_StoreMonitor(Parts.m_Store, Parts.m_Timers, Parts.m_Clock, Parts.m_Log,
                     [this](bool IsReachable) { onReachable(IsReachable); }) {
  m_Grants.setOnCallFailed([this] { m_StoreMonitor.probeNow(); });
}

auto Router::start() -> absl::Status {
  const auto Directory = [this](const http1::RequestHead &Head) { return answerDirectory(Head); };
  const auto Readiness = [this](const http1::RequestHead &Head) { return answerReadiness(Head); };
  const auto &Settings = m_Settings;
  for (const auto &Status :
       {m_CallerServer.listen(Settings.m_Callers.m_Ip, Settings.m_Callers.m_Port, m_Context),
        m_ReadinessServer.listen(Settings.m_Readiness.m_Ip, Settings.m_Readiness.m_Port, Readiness),
        m_DirectoryServer.listen(Settings.m_Directory.m_Ip, Settings.m_Directory.m_Port, Directory),
        m_PeerSocket.open(Settings.m_Peers.m_Ip, Settings.m_Peers.m_Port)}) {
    if (!Status.ok()) {
      return Status;
    }
  }
  m_Parts.m_Log.record(base::LogLevel::Warning, "router_started",
                       {{"vm", Settings.m_Vm},
                        {"data_centre", Settings.m_DataCentre},
                        {"incarnation", m_Incarnation},
                        {"callers", splitPort(Settings.m_Callers)},
                        {"store", splitPort(Settings.m_Store)}});
  m_Peers.put(ownRecord(), now());
  m_StoreMonitor.start();
  follow(std::string(), followerOptions(m_Settings, FollowPace));
  beat();
  return absl::OkStatus();
}

auto Router::ownRecord() const -> fleet::RouterRecord {
  return {m_Settings.m_Vm, m_Settings.m_DataCentre, splitPort(m_Settings.m_Callers),
          m_Settings.m_Peers.m_Ip, m_Settings.m_Peers.m_Port};
}

auto Router::ownKey() const -> std::string {
  return std::string(fleet::RouterPrefix) + m_Settings.m_Vm;
}

auto Router::registerSelf() -> void {
  if (m_IsLeaving || m_IsRegistering) {
    return;
  }
  m_IsRegistering = true;
  auto Request = keyvalue::Transaction();
  Request.m_Writes.push_back({ownKey(), encodeRouter(ownRecord())});
  m_Parts.m_Store.transact(std::move(Request), [this](const keyvalue::TransactionResult &Result) {
    m_IsRegistering = false;
    m_Parts.m_Log.record(base::LogLevel::Info, "router_registered",
                         {{"outcome", nameOf(keyvalue::TransactionOutcomeNames, Result.m_Outcome)},
                          {"revision", Result.m_Revision}});
    if (Result.m_Outcome == keyvalue::TransactionOutcome::Applied) {
      m_OwnRevision = Result.m_Revision;
      return;
    }
    m_Parts.m_Timers.start(now() + RegistrationPause, [this] { registerSelf(); });
  });
}

auto Router::unregisterSelf() -> void {
  if (m_OwnRevision == 0) {
    return;
  }
  // The condition keeps a late removal from hitting the record of the next process on this VM.
  auto Request = keyvalue::Transaction();
  Request.m_Conditions.push_back({ownKey(), m_OwnRevision});
  Request.m_Removals.push_back(ownKey());
  m_Parts.m_Store.transact(std::move(Request), [this](const keyvalue::TransactionResult &Result) {
    m_Parts.m_Log.record(
        base::LogLevel::Info, "router_unregistered",
        {{"outcome", nameOf(keyvalue::TransactionOutcomeNames, Result.m_Outcome)}});
  });
}

auto Router::follow(const std::string &Prefix, keyvalue::StoreFollowerOptions Options) -> void {
  m_Followers.push_back(std::make_unique<keyvalue::StoreFollower>(
      Prefix, Options, m_Parts.m_Store, m_Parts.m_Timers, m_Parts.m_Clock, m_Parts.m_Log, *this));
  m_Followers.back()->start();
}

auto Router::followWithoutBudgets() -> void {
  m_FollowsBudgets = false;
  for (const auto &Follower : m_Followers) {
    Follower->stop();
  }
  auto Options = followerOptions(m_Settings, FollowPaceOfLargeFleet);
  Options.m_WatchTimeout = SeldomWait;
  follow(m_Parts.m_Documents.routingPrefix(), Options);
  follow(std::string(fleet::RouterPrefix), Options);
  follow(m_Parts.m_Documents.targetPrefix(), Options);
}

auto Router::onList(std::string_view Prefix, const keyvalue::ListResult &Result) -> void {
  auto Targets = std::set<std::string>();
  auto IsRegistered = false;
  for (const auto &Item : Result.m_Items) {
    if (m_Parts.m_Documents.kindOf(Item.m_Key) == DocumentKind::Target) {
      Targets.insert(m_Parts.m_Documents.targetIdOf(Item.m_Key));
    }
    IsRegistered |= Item.m_Key == ownKey() && Item.m_Value == encodeRouter(ownRecord());
    takeItem(Item);
  }
  if (m_Parts.m_Documents.targetPrefix().starts_with(Prefix)) {
    m_TargetDirectory.keepOnly(Targets, Result.m_Revision);
    m_TargetDirectory.applyRemovals(now());
    m_IsListed = true;
  }
  if (!IsRegistered && fleet::RouterPrefix.starts_with(Prefix)) {
    registerSelf();
  }
}

auto Router::onChanges(const keyvalue::WatchResult &Result) -> void {
  for (const auto &Event : Result.m_Events) {
    if (Event.m_IsRemoved) {
      takeRemoval(Event.m_Item);
    } else {
      takeItem(Event.m_Item);
    }
  }
  m_TargetDirectory.applyRemovals(now());
}

auto Router::onReachable(bool IsReachable) -> void {
  for (const auto &Follower : m_Followers) {
    if (IsReachable) {
      Follower->restartWatch();
    }
  }
  m_TargetDirectory.setStoreReachable(IsReachable, now());
  m_Grants.setStoreReachable(IsReachable);
}

auto Router::takeItem(const keyvalue::KeyValue &Item) -> void {
  switch (m_Parts.m_Documents.kindOf(Item.m_Key)) {
  case DocumentKind::Routing:
    takeRouting(Item);
    break;
  case DocumentKind::Target:
    takeTarget(Item);
    break;
  case DocumentKind::Other:
    if (Item.m_Key.starts_with(fleet::RouterPrefix)) {
      takeRouter(Item);
    } else if (Item.m_Key.starts_with(budget::GrantPrefix)) {
      m_Grants.noteItem(Item);
    }
    break;
  }
}

auto Router::takeRemoval(const keyvalue::KeyValue &Item) -> void {
  if (m_Parts.m_Documents.kindOf(Item.m_Key) == DocumentKind::Target) {
    m_TargetDirectory.remove(m_Parts.m_Documents.targetIdOf(Item.m_Key), Item.m_ModRevision);
    return;
  }
  if (!Item.m_Key.starts_with(fleet::RouterPrefix)) {
    return;
  }
  if (Item.m_Key == ownKey()) {
    m_OwnRevision = 0;
    registerSelf();
    return;
  }
  m_Parts.m_Log.record(base::LogLevel::Info, "router_left", {{"key", Item.m_Key}});
  m_Peers.remove(Item.m_Key.substr(fleet::RouterPrefix.size()));
}

auto Router::takeRouting(const keyvalue::KeyValue &Item) -> void {
  const auto Table = m_Parts.m_Documents.decodeRouting(Item.m_Value);
  if (!Table.ok()) {
    m_Parts.m_Log.record(base::LogLevel::Error, "configuration_rejected",
                         {{"reason", std::string(Table.status().message())},
                          {"revision", Item.m_ModRevision},
                          {"in_force", m_Context.m_Table ? m_Context.m_Table->version() : -1}});
    return;
  }
  if (m_Context.m_Table && (*Table)->version() <= m_Context.m_Table->version()) {
    return;
  }
  m_Parts.m_Log.record(base::LogLevel::Info, "configuration_adopted",
                       {{"config", (*Table)->version()},
                        {"before", m_Context.m_Table ? m_Context.m_Table->version() : -1},
                        {"revision", Item.m_ModRevision},
                        {"routes", (*Table)->routes().size()}});
  m_Context.m_Table = *Table;
  auto Prepaid = std::map<std::string, base::Tokens>();
  for (const auto &Workspace : (*Table)->workspaces()) {
    if (Workspace.m_Prepaid) {
      Prepaid[Workspace.m_Name] = *Workspace.m_Prepaid;
    }
  }
  m_Grants.setPrepaid(Prepaid);
}

auto Router::takeTarget(const keyvalue::KeyValue &Item) -> void {
  const auto Record = m_Parts.m_Documents.decodeTarget(Item.m_Key, Item.m_Value);
  if (Record.ok()) {
    m_TargetDirectory.put(*Record, Item.m_ModRevision);
    return;
  }
  m_Parts.m_Log.record(base::LogLevel::Warning, "target_record_unreadable",
                       {{"key", Item.m_Key}, {"reason", std::string(Record.status().message())}});
  m_TargetDirectory.remove(m_Parts.m_Documents.targetIdOf(Item.m_Key), Item.m_ModRevision);
}

auto Router::takeRouter(const keyvalue::KeyValue &Item) -> void {
  if (Item.m_Key == ownKey()) {
    m_OwnRevision = std::max(m_OwnRevision, Item.m_ModRevision);
    return;
  }
  const auto Record = fleet::decodeRouter(Item.m_Value);
  if (!Record.ok()) {
    m_Parts.m_Log.record(base::LogLevel::Warning, "router_record_unreadable",
                         {{"key", Item.m_Key}, {"reason", std::string(Record.status().message())}});
    return;
  }
  m_Peers.put(*Record, now());
}

auto Router::isReady() const -> bool {
  return m_Context.m_Table && m_IsListed && m_Grants.isReady() && !m_IsLeaving;
}

auto Router::answerReadiness(const http1::RequestHead &Head) -> transport::DirectAnswer {
  if (Head.m_Target == "/metrics") {
    return {200, "OK", "text/plain; version=0.0.4", m_Parts.m_Metrics.render()};
  }
  if (!m_Parts.m_Directory.asksReadiness(Head)) {
    return {404, "Not Found", "application/json", "{}"};
  }
  return isReady() ? transport::DirectAnswer{200, "OK", "application/json", "{}"}
                   : transport::DirectAnswer{503, "Service Unavailable", "application/json", "{}"};
}

auto Router::answerDirectory(const http1::RequestHead &Head) -> transport::DirectAnswer {
  if (!m_Parts.m_Directory.asksDirectory(Head)) {
    return {404, "Not Found", "application/json", "{}"};
  }
  const auto Addresses = m_Peers.callerAddresses(m_IsLeaving || !isReady(), now());
  if (Addresses.empty()) {
    return {503, "Service Unavailable", "application/json", "{}"};
  }
  return {200, "OK", "application/json",
          m_Parts.m_Directory.addressDocument(Addresses, m_Settings.m_DirectoryTimeToLive)};
}

auto Router::beat() -> void {
  const auto Routers = m_Peers.routersDrawing(now());
  m_Grants.setFleet(Routers, m_Peers.aliveRouters(now()));
  updateRetryBudgets();
  m_TargetDirectory.sweep(now());
  if (m_FollowsBudgets && m_Grants.parts() > 1) {
    followWithoutBudgets();
  }
  sendHeartbeats();
  const auto Period = HeartbeatPeriod * std::max<std::int64_t>(1, Routers / HeartbeatsPerPeriod);
  m_Peers.setSilenceLimit(Period * LostHeartbeats);
  m_Parts.m_Timers.start(now() + Period, [this] { beat(); });
}

auto Router::sendHeartbeats() -> void {
  auto Message = fleet::Heartbeat();
  Message.m_Router = m_Settings.m_Vm;
  Message.m_Incarnation = m_Incarnation;
  Message.m_Sequence = ++m_HeartbeatSequence;
  Message.m_IsLeaving = m_IsLeaving;
  for (const auto &[Id, State] : m_Targets.all()) {
    const auto &Load = State.ownLoad();
    if (Load.m_Active > 0) {
      Message.m_Loads.push_back({fleet::hashOfName(Id),
                                 static_cast<std::uint32_t>(Load.m_WaitingTokens),
                                 static_cast<std::uint16_t>(Load.m_Active)});
    }
  }
  for (const auto &Offer : m_Grants.offers()) {
    if (Message.m_Budgets.size() < MaxOffers) {
      Message.m_Budgets.push_back(
          {fleet::hashOfName(Offer.m_Budget),
           static_cast<std::uint32_t>(std::min<base::Tokens>(Offer.m_Available, UINT32_MAX))});
    }
  }
  m_PeerLink.broadcast(Message);
}

auto Router::onDatagram(std::string_view Bytes) -> void {
  switch (Bytes.empty() ? DatagramKind() : static_cast<DatagramKind>(Bytes.front())) {
  case DatagramKind::Heartbeat:
    onHeartbeat(Bytes.substr(1));
    return;
  case DatagramKind::Transfer:
    onTransfer(Bytes.substr(1));
    return;
  }
  noteUnreadable("unknown kind", Bytes.size());
}

auto Router::noteUnreadable(const std::string &Reason, std::size_t Size) -> void {
  m_Parts.m_Log.record(base::LogLevel::Warning, "datagram_unreadable",
                       {{"reason", Reason}, {"bytes", Size}});
}

auto Router::onTransfer(std::string_view Bytes) -> void {
  const auto Message = budget::decodeTransfer(Bytes);
  if (!Message.ok()) {
    noteUnreadable(std::string(Message.status().message()), Bytes.size());
    return;
  }
  m_Grants.onTransfer(*Message);
}

auto Router::onHeartbeat(std::string_view Bytes) -> void {
  const auto Message = fleet::decodeHeartbeat(Bytes);
  if (!Message.ok()) {
    noteUnreadable(std::string(Message.status().message()), Bytes.size());
    return;
  }
  if (Message->m_Router != m_Settings.m_Vm && m_Peers.noteHeartbeat(*Message, now())) {
    m_Parts.m_Log.record(base::LogLevel::Info, "router_heard",
                         {{"router", Message->m_Router},
                          {"incarnation", Message->m_Incarnation},
                          {"leaving", Message->m_IsLeaving}});
  }
}

auto Router::updateRetryBudgets() -> void {
  // Each router takes its own share of the fleet's slack, so that no messages are needed.
  const auto Routers = static_cast<double>(m_Peers.routersDrawing(now()));
  m_Context.m_Options.m_Retry.m_Burst =
      std::max(1.0, m_Settings.m_RetrySlack * RetryReserve / Routers);
}

auto Router::applySettings(const RouterSettings &Settings) -> void {
  m_Settings.m_StopTime = Settings.m_StopTime;
  m_Settings.m_DirectoryTimeToLive = Settings.m_DirectoryTimeToLive;
  m_Settings.m_RetryShare = Settings.m_RetryShare;
  m_Settings.m_RetrySlack = Settings.m_RetrySlack;
  m_Settings.m_MemoryMb = Settings.m_MemoryMb;
  m_Context.m_Options = forwardingOptions(m_Settings);
  updateRetryBudgets();
  m_Parts.m_Log.record(base::LogLevel::Warning, "settings_reloaded",
                       {{"stop_ms", m_Settings.m_StopTime.count()},
                        {"retry_share", m_Settings.m_RetryShare},
                        {"retry_slack", m_Settings.m_RetrySlack}});
}

auto Router::stop(std::function<void()> Stopped) -> void {
  if (m_IsLeaving) {
    return;
  }
  m_IsLeaving = true;
  m_Stopped = std::move(Stopped);
  m_StopBegan = now();
  m_Parts.m_Log.record(base::LogLevel::Warning, "router_stopping",
                       {{"sessions", m_Context.m_Sessions}});
  sendHeartbeats();
  unregisterSelf();
  m_CallerServer.closeAfterAnswers();
  checkStop();
}

auto Router::checkStop() -> void {
  const auto Since = now() - m_StopBegan;
  if (Since >= TakingAfterStop && !m_Context.m_IsStopping) {
    m_Context.m_IsStopping = true;
    m_CallerServer.closeIdle();
  }
  // Long streams may outlast the time to stop; what they do not need is returned before.
  if (m_Context.m_IsStopping && !std::exchange(m_IsDrainingGrants, true)) {
    m_Grants.drain();
  }
  const auto IsDone = m_IsDrainingGrants && m_Context.m_Sessions == 0 && m_Grants.isDrained();
  if (IsDone || Since >= m_Settings.m_StopTime - StopReserve) {
    m_Parts.m_Log.record(
        base::LogLevel::Warning, "router_stopped",
        {{"sessions", m_Context.m_Sessions}, {"grants_returned", m_Grants.isDrained()}});
    m_Stopped();
    return;
  }
  m_Parts.m_Timers.start(now() + 50ms, [this] { checkStop(); });
}

} // namespace geraniumlift::router
