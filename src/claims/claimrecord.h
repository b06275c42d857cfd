#pragma once

#include "claims/claimtypes.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace geraniumlift::claims {

/// Largest body that a claim stores, in bytes.
inline constexpr std::size_t MaxStoredBodyBytes = 65536;

enum class ClaimState { Claimed, Done };

inline constexpr auto ClaimStateNames = std::array{
    base::NamedValue<ClaimState>{ClaimState::Claimed, "claimed"},
    base::NamedValue<ClaimState>{ClaimState::Done, "done"},
};

/// One claim as the key-value service stores it.
struct ClaimRecord {
  ClaimState m_State = ClaimState::Claimed;
  base::HolderId m_Owner;

  /// Identifies the attempt that made the claim, so that its owner recognises a write whose
  /// response was lost. Unique among all attempts of all routers.
  std::string m_Attempt;
  std::string m_RequestHash;

  /// The response; set once the claim is done.
  StoredResponse m_Response;

  auto operator==(const ClaimRecord &) const -> bool = default;
};

/// A claim read from the key-value service, with the revision at which it was last written.
struct StoredClaim {
  std::int64_t m_Revision = 0;
  ClaimRecord m_Record;
};

/// Returns the store key of a claim. The idempotency key is hashed, because it may contain any
/// bytes.
auto claimKey(std::string_view Workspace, std::string_view IdempotencyKey) -> std::string;

/// Encodes a claim as JSON text.
auto encodeClaim(const ClaimRecord &Record) -> std::string;

/// Decodes a claim; returns InvalidArgument if the text is not a claim. Safe for any input.
auto decodeClaim(std::string_view Text) -> absl::StatusOr<ClaimRecord>;

} // namespace geraniumlift::claims
