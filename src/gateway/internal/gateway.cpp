#include "gateway/gateway.h"

#include "base/hashing.h"
#include "base/log.h"
#include "gateway/internal/completioncall.h"
#include "gateway/internal/listresponses.h"
#include "gateway/internal/refusalresponse.h"
#include "gateway/internal/servicecall.h"

#include <absl/strings/numbers.h>
#include <atomic>
#include <fmt/format.h>

namespace geraniumlift::gateway {

namespace {

constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::size_t IdempotencyKeyLimitBytes = 128;
constexpr std::int64_t DefaultDeadlineMs = 30'000;
constexpr std::int64_t DeadlineLimitMs = 600'000;
constexpr std::size_t RandomRequestIdBytes = 16;

auto badRequest(std::string Detail) -> base::Refusal {
  return {base::RefusalCode::BadRequest, base::Verdict::DidNotRun, std::move(Detail)};
}

} // namespace

class Gateway::Implementation : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(GatewayOptions Options, GatewayDependencies Dependencies)
      : m_State(std::move(Options), Dependencies) {
    setConfiguration(Dependencies.m_Configuration.current());
  }

  auto scheduler() -> base::IScheduler & { return m_State.m_Dependencies.m_Scheduler; }

  auto setConfiguration(configuration::SnapshotPointer Snapshot) -> void {
    m_State.m_Snapshot = std::move(Snapshot);
    m_State.m_Authenticator.setSnapshot(*m_State.m_Snapshot);
    m_State.m_PoolByModel.clear();
    for (const auto &[Name, Pool] : m_State.m_Snapshot->m_Objects.m_ModelPools) {
      for (const auto &Model : Pool.m_Models) {
        m_State.m_PoolByModel.emplace(Model, Name);
      }
    }
    publishTargets();
    m_GenerationInForce = m_State.m_Snapshot->m_Generation;
  }

  auto generationInForce() const -> configuration::Generation { return m_GenerationInForce; }

  auto setTargetLeaving(const std::string &Target, bool Leaving) -> void {
    const auto Changed = Leaving ? m_State.m_LeavingTargets.insert(Target).second
                                 : m_State.m_LeavingTargets.erase(Target) > 0;
    if (Changed) {
      base::logEvent(base::LogLevel::Info, "target_leaving",
                     {{"target", Target}, {"leaving", Leaving}});
      publishTargets();
    }
  }

  auto reportLoad(const admission::LoadReport &Report) -> void {
    m_State.m_DispatchLoop->reportLoad(Report);
  }

  auto whenIdle(std::function<void()> Done) -> void {
    if (m_State.m_Calls.empty()) {
      Done();
    } else {
      m_State.m_IdleWaiters.push_back(std::move(Done));
    }
  }

  auto receive(const std::shared_ptr<ICallerExchange> &Exchange) -> void {
    const auto &Request = Exchange->request();
    if (Request.m_Path == "/v1/entry" && Request.m_Method == "GET") {
      Exchange->respond(entryListResponse(m_State.m_Dependencies.m_Peers.entryList(),
                                          m_State.m_Options.m_EntryTimeToLive));
      return;
    }
    auto Context = CallContext();
    Context.m_Exchange = Exchange;
    if (const auto Refused = readContext(Request, Context)) {
      refuse(Context, *Refused);
    } else if (Request.m_Path == "/v1/models" && Request.m_Method == "GET") {
      Exchange->respond(modelListResponse(m_State.m_PoolByModel));
    } else if (Request.m_Path == "/v1/chat/completions" && Request.m_Method == "POST") {
      startCompletion(std::move(Context));
    } else if (Request.m_Path.starts_with(ServicesPrefix)) {
      startService(std::move(Context));
    } else {
      refuse(Context, {base::RefusalCode::UnknownService, base::Verdict::DidNotRun,
                       "There is nothing at this path."});
    }
  }

private:
  auto publishTargets() -> void {
    auto Targets = std::vector<admission::TargetInfo>();
    for (const auto &[Name, Target] : m_State.m_Snapshot->m_Objects.m_Targets) {
      Targets.push_back({Name, Target.m_Pool, Target.m_DataCentre, Target.m_Slots,
                         Target.m_Leaving || m_State.m_LeavingTargets.contains(Name)});
    }
    m_State.m_DispatchLoop->setTargets(std::move(Targets));
  }

  auto readContext(const CallerRequest &Request, CallContext &Context)
      -> std::optional<base::Refusal> {
    const auto Workspace = m_State.m_Authenticator.findWorkspace(Request.header("authorization"));
    if (!Workspace) {
      return base::Refusal{base::RefusalCode::UnknownKey, base::Verdict::DidNotRun,
                           "The Authorization header holds no known API key."};
    }
    Context.m_Workspace = m_State.m_Snapshot->m_Objects.m_Workspaces.at(*Workspace);
    Context.m_CallerTrace = telemetry::parseTraceParent(Request.header("traceparent"));
    Context.m_Forwarded = m_State.m_Dependencies.m_Forwarder.isForwarded(Request);
    Context.m_IdempotencyKey = Request.header("idempotency-key");
    if (Context.m_IdempotencyKey.size() > IdempotencyKeyLimitBytes) {
      return badRequest(fmt::format("The Idempotency-Key header is longer than {} bytes.",
                                    IdempotencyKeyLimitBytes));
    }
    Context.m_RequestId = requestId(Request, Context);
    if (m_State.m_Calls.size() >= static_cast<std::size_t>(m_State.m_Options.m_RequestLimit)) {
      return base::Refusal{base::RefusalCode::QueueFull, base::Verdict::DidNotRun,
                           "This router has as many requests as it can hold.",
                           std::chrono::seconds{1}};
    }
    return readDeadline(Request, Context);
  }

  /// Derives the request identifier from the idempotency key if there is one. The key is combined
  /// with the workspace, so that the keys of two workspaces cannot collide, and with the target and
  /// body, so that different requests with the same key are billed separately. The identifier is
  /// used in paths, so it is hashed.
  static auto requestId(const CallerRequest &Request, const CallContext &Context)
      -> base::RequestId {
    if (!Context.m_IdempotencyKey.empty()) {
      const auto Scoped = Context.m_Workspace.m_Name + "/" + Context.m_IdempotencyKey + "/" +
                          base::sha256Hex(Request.m_Target + "\n" + Request.m_Body);
      return base::sha256Hex(Scoped).substr(0, 32);
    }
    const auto Forwarded = Context.m_Forwarded ? Request.header("x-request-id") : std::string();
    return Forwarded.empty() ? base::randomHex(RandomRequestIdBytes) : Forwarded;
  }

  auto readDeadline(const CallerRequest &Request, CallContext &Context)
      -> std::optional<base::Refusal> {
    const auto Header = Request.header("x-deadline-ms");
    auto Milliseconds = DefaultDeadlineMs;
    if (!Header.empty() && (!absl::SimpleAtoi(Header, &Milliseconds) || Milliseconds < 1 ||
                            Milliseconds > DeadlineLimitMs)) {
      return badRequest(fmt::format("The X-Deadline-Ms header must be a whole number from 1 to {}.",
                                    DeadlineLimitMs));
    }
    Context.m_Deadline =
        m_State.m_Dependencies.m_Clock.steadyNow() + std::chrono::milliseconds{Milliseconds};
    return std::nullopt;
  }

  auto refuse(const CallContext &Context, const base::Refusal &Refusal) -> void {
    m_State.m_Dependencies.m_Metrics.count(
        "geraniumlift_requests_total",
        {{"code", std::string(base::nameOf(base::RefusalCodeNames, Refusal.m_Code))}});
    Context.m_Exchange->respond(
        refusalResponse(Refusal, Context.m_Workspace.m_Name, Context.m_RequestId));
  }

  auto startCompletion(CallContext Context) -> void {
    auto Body = parseCompletionBody(Context.m_Exchange->request().m_Body);
    if (!Body.ok()) {
      refuse(Context, badRequest(std::string(Body.status().message())));
      return;
    }
    const auto Pool = m_State.m_PoolByModel.find(Body->m_Model);
    if (Pool == m_State.m_PoolByModel.end()) {
      refuse(Context, {base::RefusalCode::UnknownModel, base::Verdict::DidNotRun,
                       "No model pool serves this model."});
      return;
    }
    launch(std::make_shared<CompletionCall>(
        m_State, std::move(Context), *std::move(Body),
        m_State.m_Snapshot->m_Objects.m_ModelPools.at(Pool->second)));
  }

  auto startService(CallContext Context) -> void {
    const auto &Target = Context.m_Exchange->request().m_Target;
    const auto Begin = ServicesPrefix.size();
    const auto End = std::min(Target.find_first_of("/?", Begin), Target.size());
    const auto &Pools = m_State.m_Snapshot->m_Objects.m_ModelPools;
    const auto Pool = Pools.find(Target.substr(Begin, End - Begin));
    if (Pool == Pools.end() || Pool->second.m_Kind != objects::TargetKind::Service) {
      refuse(Context, {base::RefusalCode::UnknownService, base::Verdict::DidNotRun,
                       "There is no service of this name."});
      return;
    }
    const auto Rest = Target.substr(End);
    const auto Path = Rest.starts_with("/") ? Rest : "/" + Rest;
    launch(std::make_shared<ServiceCall>(m_State, std::move(Context), Pool->second, Path));
  }

  auto launch(const std::shared_ptr<Call> &Started) -> void {
    m_State.m_Calls.insert(Started);
    Started->watchCaller();
    Started->start();
  }

  GatewayState m_State;

  /// Read by other threads.
  std::atomic<configuration::Generation> m_GenerationInForce = 0;
};

Gateway::Gateway(GatewayOptions Options, GatewayDependencies Dependencies)
    : m_Implementation(std::make_shared<Implementation>(std::move(Options), Dependencies)) {}

Gateway::~Gateway() = default;

auto Gateway::handle(std::shared_ptr<ICallerExchange> Exchange) -> void {
  m_Implementation->scheduler().post(
      [Self = m_Implementation, Exchange = std::move(Exchange)] { Self->receive(Exchange); });
}

auto Gateway::setConfiguration(configuration::SnapshotPointer Snapshot) -> void {
  m_Implementation->scheduler().post([Self = m_Implementation, Snapshot = std::move(Snapshot)] {
    Self->setConfiguration(Snapshot);
  });
}

auto Gateway::generationInForce() const -> configuration::Generation {
  return m_Implementation->generationInForce();
}

auto Gateway::setTargetLeaving(const std::string &Target, bool Leaving) -> void {
  m_Implementation->scheduler().post(
      [Self = m_Implementation, Target, Leaving] { Self->setTargetLeaving(Target, Leaving); });
}

auto Gateway::reportLoad(admission::LoadReport Report) -> void {
  m_Implementation->scheduler().post(
      [Self = m_Implementation, Report = std::move(Report)] { Self->reportLoad(Report); });
}

auto Gateway::whenIdle(std::function<void()> Done) -> void {
  m_Implementation->scheduler().post([Self = m_Implementation, Done = std::move(Done)]() mutable {
    Self->whenIdle(std::move(Done));
  });
}

} // namespace geraniumlift::gateway
