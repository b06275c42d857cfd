#include "geraniumliftd/router.h"

#include "admission/dispatcher.h"
#include "base/asioscheduler.h"
#include "base/hashing.h"
#include "base/log.h"
#include "base/systemclock.h"
#include "budget/budgetservice.h"
#include "claims/claimservice.h"
#include "configuration/configurationservice.h"
#include "gateway/httppeerforwarder.h"
#include "gateway/httpserver.h"
#include "geraniumliftd/grantreclaimer.h"
#include "geraniumliftd/operatorhandler.h"
#include "geraniumliftd/operatorpages.h"
#include "geraniumliftd/peernetwork.h"
#include "geraniumliftd/targetmonitor.h"
#include "keyvalue/etcdkeyvaluestore.h"
#include "keyvalue/httpvmlist.h"
#include "targets/httptargetclient.h"
#include "telemetry/metrics.h"
#include "telemetry/otlptracer.h"

#include <atomic>
#include <future>
#include <thread>

namespace geraniumlift::daemon {

namespace {

/// Callers that fetched the entry list just before the drain keep using it for its whole time to
/// live. This is added to it to cover the time until the other routers know of the drain.
constexpr auto DrainPropagationTime = std::chrono::milliseconds{1'000};

/// Uses the start time in microseconds as the incarnation.
auto makeHolderId(const settings::Settings &Settings, const base::IClock &Clock) -> base::HolderId {
  const auto Start =
      std::chrono::duration_cast<std::chrono::microseconds>(Clock.systemNow().time_since_epoch());
  return {Settings.m_Vm, static_cast<std::uint64_t>(Start.count())};
}

auto makeEndpoint(const std::string &Url, const settings::Settings &Settings)
    -> keyvalue::PlatformEndpoint {
  return {{Url}, Settings.m_PlatformCallTimeout};
}

/// Returns the strategy with the given name, or the default if the table has no such name.
template <typename Table, typename Value>
auto strategyOrDefault(const Table &Names, const std::string &Name, Value Default) -> Value {
  return base::valueOf(Names, Name).value_or(Default);
}

auto makeDispatcherOptions(const settings::Settings &Settings, const base::HolderId &Holder)
    -> admission::DispatcherOptions {
  auto Options = admission::DispatcherOptions();
  Options.m_DataCentre = Settings.m_DataCentre;
  Options.m_ExpectedRouters = Settings.m_ExpectedRouters;
  Options.m_Seed = Holder.m_Incarnation ^ base::hash64(Holder.m_Vm);
  Options.m_TargetStrategy = strategyOrDefault(routing::TargetStrategyNames,
                                               Settings.m_TargetStrategy, Options.m_TargetStrategy);
  Options.m_QueueStrategy = strategyOrDefault(admission::QueueStrategyNames,
                                              Settings.m_QueueStrategy, Options.m_QueueStrategy);
  Options.m_LimitStrategy = strategyOrDefault(admission::LimitStrategyNames,
                                              Settings.m_LimitStrategy, Options.m_LimitStrategy);
  return Options;
}

auto makeBudgetOptions(const settings::Settings &Settings, const base::HolderId &Holder)
    -> budget::BudgetOptions {
  auto Options = budget::BudgetOptions();
  Options.m_Holder = Holder;
  Options.m_CommitInterval = Settings.m_CommitInterval;
  Options.m_BillHold = Settings.m_BillHold;
  Options.m_GrantStrategy = strategyOrDefault(budget::GrantStrategyNames, Settings.m_GrantStrategy,
                                              Options.m_GrantStrategy);
  Options.m_Seed = Holder.m_Incarnation;
  Options.m_ExpectedRouters = Settings.m_ExpectedRouters;
  return Options;
}

} // namespace

/// Owns the modules. Members are declared in order of dependency: they are constructed in this
/// order and destroyed in reverse.
class Router::Implementation {
public:
  explicit Implementation(settings::Settings Settings)
      : m_Settings(std::move(Settings)), m_Holder(makeHolderId(m_Settings, m_Clock)),
        m_Tracer({.m_CollectorUrl = m_Settings.m_TraceCollector, .m_VmName = m_Settings.m_Vm},
                 m_Metrics),
        m_KeyValues(makeEndpoint(m_Settings.m_KeyValueUrl, m_Settings)),
        m_VmList(makeEndpoint(m_Settings.m_VmListUrl, m_Settings)),
        m_Configuration(m_KeyValues, m_Scheduler, m_Clock,
                        {.m_Vm = m_Settings.m_Vm, .m_Seed = m_Holder.m_Incarnation}),
        m_Budgets(makeBudgetOptions(m_Settings, m_Holder), m_KeyValues, m_BudgetScheduler, m_Clock),
        m_Claims({m_Holder}, m_KeyValues, m_BudgetScheduler, m_Clock),
        m_Dispatcher(makeDispatcherOptions(m_Settings, m_Holder)),
        m_Targets({.m_ProgressTimeout = m_Settings.m_StreamProgressTimeout}, m_Clock, m_Metrics),
        m_VmTracker({m_Settings.m_Vm}),
        m_PeerNetwork(m_Settings, m_Holder, {m_Clock, m_Scheduler, m_Configuration, m_Budgets}),
        m_Forwarder(m_Settings.m_PeersKey, m_Clock),
        m_Gateway({m_Holder, m_Settings.m_EntryTimeToLive, m_Settings.m_RequestLimit},
                  {m_Clock, m_Scheduler, m_Configuration, m_Budgets, m_Claims, m_Dispatcher,
                   m_Targets, m_PeerNetwork, m_Forwarder, m_Metrics, m_Tracer}),
        m_TargetMonitor(std::make_shared<TargetMonitor>(
            m_Settings.m_LoadInterval,
            TargetMonitorDependencies{m_Clock, m_Scheduler, m_Configuration, m_Targets, m_Gateway,
                                      m_VmTracker})),
        m_Reclaimer(std::make_shared<GrantReclaimer>(
            m_Settings.m_VmListInterval,
            GrantReclaimerDependencies{m_Clock, m_Scheduler, m_VmList, m_PeerNetwork, m_Budgets,
                                       m_VmTracker})),
        m_OperatorServer({m_Settings.m_OperatorsListen, m_Settings.m_BodyLimitBytes},
                         [this](const std::shared_ptr<gateway::ICallerExchange> &Exchange) {
                           m_OperatorHandler.handle(Exchange);
                         }),
        m_CallerServer({m_Settings.m_CallersListen, m_Settings.m_BodyLimitBytes},
                       [this](std::shared_ptr<gateway::ICallerExchange> Exchange) {
                         m_Gateway.handle(std::move(Exchange));
                       }) {
    addOperatorPages(m_OperatorHandler,
                     {m_Settings, m_Holder, m_Configuration, m_Gateway, m_Budgets, m_KeyValues,
                      m_VmList, m_PeerNetwork, m_Metrics, m_Draining});
  }

  auto start() -> absl::Status {
    if (auto Status = m_PeerNetwork.start(); !Status.ok()) {
      return Status;
    }
    m_Configuration.subscribe([this](const configuration::SnapshotPointer &Snapshot) {
      m_Gateway.setConfiguration(Snapshot);
    });
    m_Configuration.start();
    m_TargetMonitor->start();
    m_Reclaimer->start();
    for (auto *Server : {&m_OperatorServer, &m_CallerServer}) {
      if (auto Status = Server->open(); !Status.ok()) {
        return Status;
      }
    }
    base::logEvent(base::LogLevel::Info, "started",
                   {{"vm", m_Holder.m_Vm},
                    {"incarnation", m_Holder.m_Incarnation},
                    {"data_centre", m_Settings.m_DataCentre},
                    {"callers", m_Settings.m_CallersListen}});
    return absl::OkStatus();
  }

  auto drain() -> void {
    m_Draining = true;
    m_PeerNetwork.setDraining();
    std::this_thread::sleep_for(m_Settings.m_EntryTimeToLive + DrainPropagationTime);
    runAndWait([this](std::function<void()> Done) { m_Gateway.whenIdle(std::move(Done)); });
    m_CallerServer.close();
    runAndWait([this](std::function<void()> Done) { m_Gateway.whenIdle(std::move(Done)); });
    runAndWait([this](std::function<void()> Done) { m_Budgets.drain(std::move(Done)); });
    m_OperatorServer.close();
  }

private:
  /// Starts an asynchronous operation and blocks until it calls its callback.
  static auto runAndWait(const std::function<void(std::function<void()>)> &Begin) -> void {
    auto Finished = std::make_shared<std::promise<void>>();
    auto Result = Finished->get_future();
    Begin([Finished] { Finished->set_value(); });
    Result.wait();
  }

  settings::Settings m_Settings;
  base::SystemClock m_Clock;
  base::HolderId m_Holder;
  std::atomic<bool> m_Draining{false};
  telemetry::Metrics m_Metrics;
  telemetry::OtlpTracer m_Tracer;
  keyvalue::EtcdKeyValueStore m_KeyValues;
  keyvalue::HttpVmList m_VmList;

  /// Budgets and claims use a scheduler with a thread of its own (m_BudgetScheduler), so that a
  /// burst of events on the other one cannot delay billing.
  base::AsioScheduler m_Scheduler;
  base::AsioScheduler m_BudgetScheduler;
  configuration::ConfigurationService m_Configuration;
  budget::BudgetService m_Budgets;
  claims::ClaimService m_Claims;
  admission::Dispatcher m_Dispatcher;
  targets::HttpTargetClient m_Targets;
  vmwatch::VmTracker m_VmTracker;
  PeerNetwork m_PeerNetwork;
  gateway::HttpPeerForwarder m_Forwarder;
  gateway::Gateway m_Gateway;
  std::shared_ptr<TargetMonitor> m_TargetMonitor;
  std::shared_ptr<GrantReclaimer> m_Reclaimer;
  OperatorHandler m_OperatorHandler;
  gateway::HttpServer m_OperatorServer;
  gateway::HttpServer m_CallerServer;
};

Router::Router(settings::Settings Settings)
    : m_Implementation(std::make_unique<Implementation>(std::move(Settings))) {}

Router::~Router() = default;

auto Router::start() -> absl::Status { return m_Implementation->start(); }

auto Router::drain() -> void { m_Implementation->drain(); }

} // namespace geraniumlift::daemon
