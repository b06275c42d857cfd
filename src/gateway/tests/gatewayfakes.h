#pragma once

#include "base/hashing.h"
#include "fakes/manualscheduler.h"
#include "gateway/gateway.h"

#include <set>

namespace geraniumlift::gateway {

/// Records the responses of the gateway.
class FakeExchange final : public ICallerExchange {
public:
  explicit FakeExchange(CallerRequest Request) : m_Request(std::move(Request)) {}

  [[nodiscard]] auto request() const -> const CallerRequest & override { return m_Request; }
  auto respond(CallerResponse Answer) -> void override { m_Response = std::move(Answer); }
  auto beginStream(std::string, std::map<std::string, std::string>) -> void override {}
  auto write(std::string Bytes) -> void override { m_Written += Bytes; }
  auto endStream() -> void override { m_Ended = true; }
  auto abortStream() -> void override { m_Aborted = true; }
  auto setDisconnectHandler(std::function<void()> OnDisconnect) -> void override {
    m_OnDisconnect = std::move(OnDisconnect);
  }

  [[nodiscard]] auto answered(std::string_view Text) const -> bool {
    return m_Response && m_Response->m_Body.find(Text) != std::string::npos;
  }

  CallerRequest m_Request;
  std::optional<CallerResponse> m_Response;
  std::string m_Written;
  bool m_Ended = false;
  bool m_Aborted = false;
  std::function<void()> m_OnDisconnect;
};

/// Grants all reservations or refuses all; bills stay pending until the test calls settleAll().
class FakeBudgets final : public budget::IBudgetService {
public:
  auto reserve(budget::ReserveRequest Request, budget::ReserveCallback Done) -> void override {
    ++m_Reserved;
    m_RequestIds.push_back(std::move(Request.m_RequestId));
    if (m_Refusal) {
      Done(*m_Refusal);
    } else {
      m_Open.insert(m_Reserved);
      Done(budget::ReservationId{m_Reserved});
    }
  }
  auto bill(budget::ReservationId Id, budget::Tokens Used, budget::BillCallback Done)
      -> void override {
    m_Open.erase(Id);
    m_Billed += Used;
    m_Bills.push_back(std::move(Done));
  }
  auto release(budget::ReservationId Id) -> void override { m_Open.erase(Id); }
  auto holderGone(base::HolderId) -> void override {}
  auto views(std::function<void(std::vector<budget::BudgetView>)>) -> void override {}
  auto drain(std::function<void()>) -> void override {}

  auto settleAll() -> void {
    for (const auto &Done : std::exchange(m_Bills, {})) {
      Done(budget::BillOutcome::Settled);
    }
  }

  std::optional<base::Refusal> m_Refusal;
  budget::ReservationId m_Reserved = 0;
  std::vector<base::RequestId> m_RequestIds;
  std::set<budget::ReservationId> m_Open;
  budget::Tokens m_Billed = 0;
  std::vector<budget::BillCallback> m_Bills;
};

class FakeClaims final : public claims::IClaimService {
public:
  auto claim(claims::ClaimRequest, claims::ClaimCallback Done) -> void override {
    ++m_Claims;
    Done(m_Result);
  }
  auto complete(claims::ClaimTicket, claims::StoredResponse Answer, base::SteadyTime,
                std::function<void(bool)> Done) -> void override {
    m_Stored = std::move(Answer);
    Done(true);
  }
  auto abandon(claims::ClaimTicket, std::function<void()> Done) -> void override {
    ++m_Abandoned;
    Done();
  }

  claims::ClaimResult m_Result = claims::ClaimTicket{"key", 1, "hash"};
  int m_Claims = 0;
  int m_Abandoned = 0;
  std::optional<claims::StoredResponse> m_Stored;
};

/// Dispatches everything to one target at the next poll.
class FakeDispatcher final : public admission::IDispatcher {
public:
  auto setTargets(std::vector<admission::TargetInfo>, base::SteadyTime) -> void override {}
  auto markLeaving(const std::string &, base::SteadyTime) -> void override {}
  auto offer(admission::WorkItem Item, base::SteadyTime) -> std::optional<base::Refusal> override {
    m_Waiting.push_back({Item.m_Id, m_Target, 0});
    return std::nullopt;
  }
  auto cancel(admission::WorkId, base::SteadyTime) -> void override { ++m_Cancelled; }
  auto poll(base::SteadyTime) -> admission::PollResult override {
    return {std::exchange(m_Waiting, {}), {}, std::nullopt};
  }
  auto onFirstToken(admission::WorkId, base::SteadyTime) -> void override {}
  auto onProgress(admission::WorkId, base::Tokens, base::SteadyTime) -> void override {}
  auto onEnd(admission::WorkId Id, const admission::AttemptEnd &, bool MayRetry, base::SteadyTime)
      -> bool override {
    if (!MayRetry || m_Retries == 0) {
      return false;
    }
    --m_Retries;
    m_Waiting.push_back({Id, m_Target, 0});
    return true;
  }
  auto onLoadReport(const admission::LoadReport &, base::SteadyTime) -> void override {}
  auto onCacheEvent(const admission::CacheEvent &, base::SteadyTime) -> void override {}

  std::string m_Target;
  int m_Retries = 0;
  int m_Cancelled = 0;
  std::vector<admission::Dispatch> m_Waiting;
};

class FakeStream final : public targets::IEngineStream {
public:
  auto cancel() -> void override {}
};

/// Keeps observers and callbacks for the test to call.
class FakeTargets final : public targets::ITargetClient {
public:
  auto startStream(targets::StreamRequest, std::shared_ptr<targets::IStreamObserver> Observer)
      -> std::shared_ptr<targets::IEngineStream> override {
    m_Streams.push_back(std::move(Observer));
    return std::make_shared<FakeStream>();
  }
  auto callService(targets::ServiceRequest Request,
                   std::function<void(targets::ServiceResult)> Done) -> void override {
    m_ServiceRequests.push_back(std::move(Request));
    m_ServiceCalls.push_back(std::move(Done));
  }
  auto readLoad(std::string, std::function<void(absl::StatusOr<targets::EngineLoad>)>)
      -> void override {}

  std::vector<std::shared_ptr<targets::IStreamObserver>> m_Streams;
  std::vector<targets::ServiceRequest> m_ServiceRequests;
  std::vector<std::function<void(targets::ServiceResult)>> m_ServiceCalls;
};

class FakePeers final : public IPeerDirectory {
public:
  [[nodiscard]] auto entryList() const -> std::vector<EntryAddress> override { return {}; }
  [[nodiscard]] auto find(const base::HolderId &) const -> std::optional<PeerAddress> override {
    return m_Peers.empty() ? std::nullopt : std::optional(m_Peers.front());
  }
  [[nodiscard]] auto findWithAllowance(const std::string &, base::Tokens) const
      -> std::vector<PeerAddress> override {
    return m_Peers;
  }

  std::vector<PeerAddress> m_Peers;
};

class FakeForwarder final : public IPeerForwarder {
public:
  auto forward(std::shared_ptr<ICallerExchange>, const PeerAddress &Peer, std::string,
               std::chrono::milliseconds, std::function<void(ForwardOutcome)> Done)
      -> void override {
    m_Forwarded.push_back(Peer.m_Url);
    Done(m_Outcome);
  }
  [[nodiscard]] auto isForwarded(const CallerRequest &Request) const -> bool override {
    return !Request.header("x-geraniumlift-forwarded").empty();
  }

  ForwardOutcome m_Outcome = ForwardOutcome::Answered;
  std::vector<std::string> m_Forwarded;
};

class FakeConfiguration final : public configuration::IConfigurationSource {
public:
  [[nodiscard]] auto current() const -> configuration::SnapshotPointer override {
    return m_Snapshot;
  }
  auto subscribe(Observer) -> void override {}

  configuration::SnapshotPointer m_Snapshot;
};

class NullMetrics final : public telemetry::IMetrics {
public:
  auto count(std::string_view, const std::vector<telemetry::Label> &, double) -> void override {}
  auto gauge(std::string_view, const std::vector<telemetry::Label> &, double) -> void override {}
  auto observe(std::string_view, const std::vector<telemetry::Label> &, std::chrono::nanoseconds)
      -> void override {}
  [[nodiscard]] auto render() const -> std::string override { return {}; }
};

class RecordingTracer final : public telemetry::ITracer {
public:
  auto record(telemetry::Span Finished) -> void override { m_Spans.push_back(std::move(Finished)); }

  std::vector<telemetry::Span> m_Spans;
};

} // namespace geraniumlift::gateway
