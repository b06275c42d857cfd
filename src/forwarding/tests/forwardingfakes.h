#pragma once

#include "fakes/manualtimers.h"
#include "fakes/memoryeventlog.h"
#include "forwarding/forwardsession.h"

#include <deque>
#include <memory>

namespace geraniumlift::forwarding::tests {

/// Stores the response that it is sent.
class FakeCaller final : public IResponseWriter {
public:
  auto sendComplete(http1::ResponseHead Head, std::string Body) -> void override {
    m_Status = Head.m_Status;
    m_Head = std::move(Head);
    m_Body = std::move(Body);
    m_IsComplete = true;
  }
  auto begin(http1::ResponseHead Head) -> void override {
    m_Status = Head.m_Status;
    m_Head = std::move(Head);
  }
  auto sendChunk(std::string Piece) -> void override { m_Body += Piece; }
  auto finish() -> void override { m_IsComplete = true; }
  auto abort() -> void override { m_IsAborted = true; }
  [[nodiscard]] auto unsentBytes() const -> std::size_t override { return m_UnsentBytes; }

  int m_Status = 0;
  http1::ResponseHead m_Head;
  std::string m_Body;
  bool m_IsComplete = false;
  bool m_IsAborted = false;
  std::size_t m_UnsentBytes = 0;
};

/// One attempt, whose events the test triggers.
struct FakeAttempt {
  std::string m_TargetId;
  std::string m_Head;
  ITargetEventHandler *m_Events = nullptr;
  bool m_IsClosed = false;
  bool m_IsPaused = false;
};

/// Collects the attempts in the order in which they were started.
class FakeConnector final : public ITargetConnector {
public:
  auto send(const TargetRecord &Target, std::string Head, std::shared_ptr<const std::string>, bool,
            std::chrono::milliseconds, ITargetEventHandler &Events)
      -> std::unique_ptr<ITargetAttempt> override {
    auto Attempt = std::make_shared<FakeAttempt>();
    Attempt->m_TargetId = Target.m_Id;
    Attempt->m_Head = std::move(Head);
    Attempt->m_Events = &Events;
    m_Attempts.push_back(Attempt);
    return std::make_unique<Handle>(std::move(Attempt));
  }

  std::vector<std::shared_ptr<FakeAttempt>> m_Attempts;

private:
  class Handle final : public ITargetAttempt {
  public:
    explicit Handle(std::shared_ptr<FakeAttempt> Attempt) : m_Attempt(std::move(Attempt)) {}
    ~Handle() override { m_Attempt->m_IsClosed = true; }
    auto pause(bool IsPaused) -> void override { m_Attempt->m_IsPaused = IsPaused; }

  private:
    std::shared_ptr<FakeAttempt> m_Attempt;
  };
};

/// A budget with a fixed number of tokens.
class FakeBudgets final : public budget::IBudgetReserver {
public:
  auto reserve(const std::string &, base::Tokens WorstCase, base::SteadyTime,
               std::function<void(budget::Reservation)> Done) -> void override {
    if (WorstCase > m_Left) {
      Done({m_Refusal, ""});
      return;
    }
    m_Left -= WorstCase;
    Done({budget::ReservationOutcome::Granted, "b"});
  }
  auto settle(const std::string &, base::Tokens WorstCase, base::Tokens Used) -> void override {
    m_Left += WorstCase - Used;
    m_Used += Used;
  }

  base::Tokens m_Left = 1000000;
  base::Tokens m_Used = 0;
  budget::ReservationOutcome m_Refusal = budget::ReservationOutcome::Unavailable;
};

/// Collects the results of requests and counts retries.
class FakeMetrics final : public IForwardingMetrics {
public:
  auto onRequestEnded(const RequestOutcome &Outcome) -> void override {
    m_Results.emplace_back(Outcome.m_Result);
  }
  auto onRetry(std::string_view) -> void override { ++m_Retries; }

  std::vector<std::string> m_Results;
  int m_Retries = 0;
};

/// Refuses the requests of which a shared part is in m_Blocked, and records what it is told.
class FakeQuarantine final : public quarantine::IPromptQuarantine {
public:
  [[nodiscard]] auto findBlock(quarantine::WorkspaceHash,
                               const std::vector<quarantine::PartHash> &Parts)
      -> std::optional<quarantine::Block> override {
    for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
      if (m_Blocked.contains(Parts[Index])) {
        return quarantine::Block{Index, std::chrono::milliseconds(90000)};
      }
    }
    return std::nullopt;
  }
  auto onResponseBegun(const std::vector<quarantine::PartHash> &Parts) -> void override {
    m_Answered.insert(Parts.begin(), Parts.end());
  }
  auto onConnectionLost(const quarantine::TargetProcess &Target, quarantine::WorkspaceHash,
                        const std::vector<quarantine::PartHash> &Parts) -> void override {
    m_Lost.emplace_back(Target.m_Id, Parts);
  }

  std::set<quarantine::PartHash> m_Blocked;
  std::set<quarantine::PartHash> m_Answered;
  std::vector<std::pair<std::string, std::vector<quarantine::PartHash>>> m_Lost;
};

/// Stream versions by stream; all targets may begin streams.
class FakeStreamVersions final : public streamversions::IStreamVersions {
public:
  [[nodiscard]] auto mayBegin(const std::string &, const std::string &Version) const
      -> bool override {
    return !m_NewVersions.contains(Version);
  }
  auto onBegin(streamversions::StreamKey Key, const streamversions::StreamOrigin &Origin)
      -> void override {
    m_Origins[Key] = Origin;
  }
  auto findOrigin(streamversions::StreamKey Key, const std::string &, OriginCallback Done)
      -> void override {
    const auto Found = m_Origins.find(Key);
    Done(Found == m_Origins.end() ? m_Fallback : std::optional(Found->second));
  }

  std::set<std::string> m_NewVersions;
  std::map<streamversions::StreamKey, streamversions::StreamOrigin> m_Origins;

  /// The origin of streams that are not known, as if all targets ran one version.
  std::optional<streamversions::StreamOrigin> m_Fallback =
      streamversions::StreamOrigin{"engines", ""};
};

/// Limits by target key. Requests for permits wait until the test answers them.
class FakeLimits final : public ratelimits::ITargetLimits {
public:
  [[nodiscard]] auto maySend(ratelimits::TargetKey Target) const -> bool override {
    return !m_Limited.contains(Target) || m_Permits.contains(Target);
  }
  [[nodiscard]] auto retryAfter(ratelimits::TargetKey Target) const
      -> std::optional<std::chrono::milliseconds> override {
    return m_Refused.contains(Target) ? std::optional(std::chrono::milliseconds(400))
                                      : std::nullopt;
  }
  [[nodiscard]] auto isCold(ratelimits::TargetKey Target) const -> bool override {
    return m_Cold.contains(Target);
  }
  auto onSend(ratelimits::TargetKey Target) -> void override { m_Permits.erase(Target); }
  auto onAnswer(ratelimits::TargetKey Target, const ratelimits::TargetNeeds &Needs)
      -> void override {
    m_Stated[Target] = Needs.m_PerSecond;
    m_Brittle[Target] = Needs.m_MaxRejections;
  }
  auto onOutcome(ratelimits::TargetKey Target, bool IsRejected) -> void override {
    m_Outcomes.emplace_back(Target, IsRejected);
  }
  auto requestPermit(ratelimits::TargetKey Target,
                     std::function<void(ratelimits::PermitOutcome)> Done) -> void override {
    m_Requests.emplace_back(Target, std::move(Done));
  }

  /// Answers the oldest request.
  auto answer(bool IsGranted) -> void {
    const auto [Target, Done] = m_Requests.front();
    m_Requests.pop_front();
    (IsGranted ? m_Permits : m_Refused).insert(Target);
    Done({IsGranted, std::chrono::milliseconds(400)});
  }

  std::set<ratelimits::TargetKey> m_Limited;
  std::set<ratelimits::TargetKey> m_Cold;
  std::set<ratelimits::TargetKey> m_Permits;
  std::set<ratelimits::TargetKey> m_Refused;
  std::map<ratelimits::TargetKey, std::optional<double>> m_Stated;
  std::map<ratelimits::TargetKey, std::optional<double>> m_Brittle;
  std::vector<std::pair<ratelimits::TargetKey, bool>> m_Outcomes;
  std::deque<std::pair<ratelimits::TargetKey, std::function<void(ratelimits::PermitOutcome)>>>
      m_Requests;
};

/// A protocol with the header fields `id`, `host`, `key`, `left` and `prompt` from callers,
/// `target`, `left-now` and `after` to targets, and `id`, `signed`, `not-run`, `limited`,
/// `brittle` (3), `leaving`, `pause` (3 s) and `odd` from targets.
class FakeHeaderCodec final : public IHeaderCodec {
public:
  [[nodiscard]] auto decodeRequest(const http1::RequestHead &Head) const -> RequestFields override {
    auto Fields = RequestFields();
    Fields.m_RequestId = Head.m_Fields.find("id").value_or("");
    Fields.m_Host = Head.m_Fields.find("host").value_or("");
    Fields.m_ApiKey = Head.m_Fields.find("key").value_or("");
    Fields.m_BegunBy = Head.m_Fields.find("begun-by").value_or("");
    if (const auto Last = Head.m_Fields.find("last-event")) {
      Fields.m_LastEventId = std::stoull(std::string(*Last));
    }
    if (const auto Left = Head.m_Fields.find("left")) {
      Fields.m_TimeLeft = std::chrono::milliseconds(std::stoll(std::string(*Left)));
    }
    if (const auto Prompt = Head.m_Fields.find("prompt")) {
      Fields.m_Prompt =
          PromptMetadata{std::stoll(std::string(*Prompt)), 100, {{"shared", 10}, {"own", 10}}};
    }
    return Fields;
  }
  auto prepareForTarget(http1::RequestHead &Head, const TargetFields &Fields) const
      -> void override {
    Head.m_Fields.remove("key");
    Head.m_Fields.add("target", Fields.m_TargetId);
    Head.m_Fields.add("left-now", std::to_string(Fields.m_TimeLeft.count()));
    if (Fields.m_ResumeAfter) {
      Head.m_Fields.add("after", std::to_string(*Fields.m_ResumeAfter));
    }
  }
  [[nodiscard]] auto decodeResponse(const http1::ResponseHead &Head) const
      -> ResponseMetadata override {
    auto Metadata = ResponseMetadata();
    Metadata.m_RequestId = Head.m_Fields.find("id").value_or("");
    Metadata.m_IsSigned = Head.m_Fields.has("signed");
    Metadata.m_DidNotRun = Head.m_Fields.has("not-run");
    if (Head.m_Fields.has("limited")) {
      Metadata.m_RequestsPerSecond = 2.0;
    }
    if (Head.m_Fields.has("brittle")) {
      Metadata.m_MaxRejections = 3.0;
    }
    Metadata.m_IsLeaving = Head.m_Fields.has("leaving");
    Metadata.m_HasUnreadableSignal = Head.m_Fields.has("odd");
    if (Head.m_Fields.has("pause")) {
      Metadata.m_Pause = std::chrono::milliseconds(3000);
    }
    return Metadata;
  }
  auto markRouterResponse(http1::ResponseHead &, const std::string &) const -> void override {}
};

/// The forwarding context of a router with fakes for its dependencies. Pool `engines` has the
/// targets e1 to e3, pool `plain` the targets s1 and s2.
class ForwardingFixture {
public:
  ForwardingFixture()
      : m_Targets(HealthOptions()),
        m_Placement(PlacementOptions(), [](const TargetRecord &) { return TargetLoad(); }),
        m_Context{m_Clock,
                  m_Timers,
                  m_HeaderCodec,
                  m_Connector,
                  m_Budgets,
                  m_Log,
                  m_Metrics,
                  m_Quarantine,
                  m_Limits,
                  m_StreamVersions,
                  m_Targets,
                  m_Placement,
                  m_Gate,
                  ForwardingOptions(),
                  base::RandomEngine(7)} {
    m_Context.m_Table = table();
    m_Gate.setStreamVersions(m_StreamVersions);
    for (const auto *Id : {"e1", "e2", "e3"}) {
      m_Targets.put(target(Id, "engines"));
    }
    for (const auto *Id : {"s1", "s2"}) {
      m_Targets.put(target(Id, "plain"));
    }
  }

  static auto target(const std::string &Id, const std::string &Pool) -> TargetRecord {
    auto Record = TargetRecord();
    Record.m_Id = Id;
    Record.m_Pool = Pool;
    Record.m_Address = "127.0.0.1";
    Record.m_Port = 1;
    return Record;
  }

  static auto route(const std::string &Path, RequestKind Kind, const std::string &Pool,
                    std::int64_t Attempts) -> Route {
    auto Item = Route();
    Item.m_Name = Path;
    Item.m_Host = "h";
    Item.m_PathPrefix = Path;
    Item.m_Kind = Kind;
    Item.m_Pools = {{Pool, 1.0}};
    Item.m_Timeout = std::chrono::milliseconds(3000);
    Item.m_Objective = std::chrono::milliseconds(600);
    Item.m_MaxAttempts = Attempts;
    return Item;
  }

  static auto table() -> RoutingTablePtr {
    auto Resumable = route("/resumable/", RequestKind::Streaming, "engines", 2);
    Resumable.m_IsResumable = true;
    auto Engines = TargetPool{"engines", EngineParameters{64, 100000, 4}};
    return std::make_shared<const RoutingTable>(
        1,
        std::vector<Route>{Resumable, route("/stream/", RequestKind::Streaming, "engines", 1),
                           route("/book/", RequestKind::NonIdempotent, "plain", 2),
                           route("/look/", RequestKind::Idempotent, "plain", 2)},
        std::vector<TargetPool>{Engines, TargetPool{"plain", std::nullopt}}, CallerLimits(),
        std::vector<Workspace>{Workspace{"w", std::nullopt, 1000000}},
        std::vector<std::pair<std::string, std::string>>{{"k", "w"}});
  }

  /// Starts a request; its response is written to m_Caller.
  auto request(const std::string &Path, bool HasPrompt = false, const std::string &Key = "k")
      -> void {
    auto Head = http1::RequestHead{"POST", Path, {}};
    Head.m_Fields.add("host", "h");
    Head.m_Fields.add("id", "r1");
    Head.m_Fields.add("key", Key);
    Head.m_Fields.add("left", "2000");
    if (HasPrompt) {
      Head.m_Fields.add("prompt", "500");
    }
    m_Caller = std::make_shared<FakeCaller>();
    m_Session = std::make_shared<ForwardSession>(m_Context, Head, "body", m_Caller);
    m_Session->start();
  }

  /// Starts a request that takes up the stream that another one has begun.
  auto takeUp(const std::string &Path, const std::string &BegunBy,
              const std::string &LastEventId = "0") -> void {
    auto Head = http1::RequestHead{"POST", Path, {}};
    for (const auto &[Name, Value] :
         std::initializer_list<std::pair<const char *, std::string>>{{"host", "h"},
                                                                     {"id", "r1"},
                                                                     {"key", "k"},
                                                                     {"left", "2000"},
                                                                     {"prompt", "500"},
                                                                     {"begun-by", BegunBy},
                                                                     {"last-event", LastEventId}}) {
      Head.m_Fields.add(Name, Value);
    }
    m_Caller = std::make_shared<FakeCaller>();
    m_Session = std::make_shared<ForwardSession>(m_Context, Head, "body", m_Caller);
    m_Session->start();
  }

  [[nodiscard]] auto attempts() -> std::vector<std::shared_ptr<FakeAttempt>> & {
    return m_Connector.m_Attempts;
  }

  /// Delivers a response header to the newest attempt.
  auto answerHead(int Status, const std::vector<std::string> &Marks, const std::string &Id = "r1",
                  const std::string &MediaType = {}) -> void {
    auto Head = http1::ResponseHead{Status, "x", {}};
    Head.m_Fields.add("id", Id);
    if (!MediaType.empty()) {
      Head.m_Fields.add("Content-Type", MediaType);
    }
    for (const auto &Mark : Marks) {
      Head.m_Fields.add(Mark, "1");
    }
    attempts().back()->m_Events->onHead(Head);
  }

  auto connect() -> void { attempts().back()->m_Events->onConnected(); }
  auto body(const std::string &Bytes) -> void { attempts().back()->m_Events->onBody(Bytes); }
  auto end() -> void { attempts().back()->m_Events->onEnd(); }
  auto fail(base::Verdict Outcome) -> void {
    attempts().back()->m_Events->onFailed(Outcome, "test");
  }

  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  FakeHeaderCodec m_HeaderCodec;
  FakeConnector m_Connector;
  FakeBudgets m_Budgets;
  fakes::MemoryEventLog m_Log;
  FakeMetrics m_Metrics;
  FakeQuarantine m_Quarantine;
  FakeLimits m_Limits;
  FakeStreamVersions m_StreamVersions;
  TargetTable m_Targets;
  Placement m_Placement;
  TargetGate m_Gate{GateOptions(), m_Limits, m_Quarantine};
  ForwardingContext m_Context;
  std::shared_ptr<FakeCaller> m_Caller;
  std::shared_ptr<ForwardSession> m_Session;
};

} // namespace geraniumlift::forwarding::tests
