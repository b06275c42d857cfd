#pragma once

#include "gateway/internal/call.h"

namespace geraniumlift::gateway {

/// A call of a plain service. A non-idempotent call is claimed before anything is sent, and its
/// response is stored in the claim before the caller receives it.
class ServiceCall final : public Call {
public:
  /// PathInService begins with a slash and includes the query.
  ServiceCall(GatewayState &State, CallContext Context, objects::ModelPool Pool,
              std::string PathInService);

  auto start() -> void override;
  auto onCallerDisconnected() -> void override;
  auto onDispatch(const admission::Dispatch &Decision) -> void override;

protected:
  auto onReserved() -> void override;
  auto onNotReserved(const base::Refusal &Refusal) -> void override;
  auto failWithRefusal(const base::Refusal &Refusal) -> void override;

private:
  auto claim() -> void;
  auto onClaim(const claims::ClaimResult &Result) -> void;
  auto onClaimedElsewhere(const base::HolderId &Owner) -> void;
  auto joinInFlight() -> bool;
  auto onServiceResult(const targets::ServiceResult &Result) -> void;
  auto storeResponse(const targets::ServiceResult &Result) -> void;
  auto billAndRespond(const targets::ServiceResult &Result) -> void;
  auto abandonClaimThen(const std::function<void()> &Next) -> void;
  auto respondToJoined(const CallerResponse &Answer, std::string_view Code, base::Verdict Verdict)
      -> void;
  [[nodiscard]] auto inFlightKey() const -> std::string;

  objects::ModelPool m_Pool;
  std::string m_PathInService;
  bool m_Idempotent;
  std::optional<claims::ClaimTicket> m_Ticket;
  bool m_ClaimRetried = false;

  /// Retries of the same request that arrived while it was in flight.
  std::vector<std::shared_ptr<ServiceCall>> m_Joined;
};

} // namespace geraniumlift::gateway
