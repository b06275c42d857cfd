#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"
#include "base/refusal.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace geraniumlift::claims {

/// A request for the exclusive right to run a non-idempotent request.
struct ClaimRequest {
  std::string m_Workspace;
  std::string m_IdempotencyKey;

  /// SHA-256 of method, path and body; another request under the same key is refused.
  std::string m_RequestHash;

  /// Time until which reads and writes are retried after their responses were lost.
  base::SteadyTime m_Deadline;
};

/// The right to send the request once.
struct ClaimTicket {
  std::string m_Key;
  std::int64_t m_ModRevision = 0;
  std::string m_RequestHash;
};

/// The response that an earlier attempt received, with at most 64 KB of body.
struct StoredResponse {
  std::int64_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;

  /// Whether the body was too large to be stored and is left out.
  bool m_BodyOmitted = false;

  auto operator==(const StoredResponse &) const -> bool = default;
};

/// The request is claimed by another router process, which may have it in flight.
struct ClaimedElsewhere {
  base::HolderId m_Owner;
};

using ClaimResult = std::variant<ClaimTicket, StoredResponse, ClaimedElsewhere, base::Refusal>;
using ClaimCallback = std::function<void(ClaimResult)>;

} // namespace geraniumlift::claims
