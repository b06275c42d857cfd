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

  /// Names the attempt that made the claim, so that its owner recognises a write whose answer was
  /// lost. Unique among all attempts of all routers.
  std::string m_Attempt;
  std::string m_RequestHash;

  /// The answer, once the claim is done.
  StoredResponse m_Response;

  auto operator==(const ClaimRecord &) const -> bool = default;
};

/// A claim that was found, with the revision at which it was last written.
struct StoredClaim {
  std::int64_t m_Revision = 0;
  ClaimRecord m_Record;
};

/// The key of a claim. The caller's key is hashed, because it may hold any bytes.
auto claimKey(std::string_view Workspace, std::string_view IdempotencyKey) -> std::string;

/// The claim as JSON text.
auto encodeClaim(const ClaimRecord &Record) -> std::string;

/// Reads a claim back; InvalidArgument if the text is none. Accepts any input.
auto decodeClaim(std::string_view Text) -> absl::StatusOr<ClaimRecord>;

} // namespace geraniumlift::claims
