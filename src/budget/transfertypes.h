#pragma once

#include "base/identifiers.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace geraniumlift::budget {

using base::Tokens;

/// Asks another router to transfer tokens that it was granted.
struct TransferRequest {
  /// Name of the requesting router.
  std::string m_From;

  /// Identifies the requesting process, so that an answer to an earlier process on the same VM is
  /// ignored.
  std::uint64_t m_Session = 0;
  std::uint64_t m_Number = 0;

  /// The budget, or the shard of it, from which the tokens are taken.
  std::string m_Budget;
  Tokens m_Tokens = 0;

  /// Set if the tokens are to be held ahead of demand. The owner then transfers as many as the
  /// division of its reserve allows, at most m_Tokens, which may be 0 to report what is held.
  bool m_IsAhead = false;

  /// Whether m_Budget is the requesting router's home shard, whose owner counts what it holds.
  bool m_IsHome = false;

  /// What the requesting router holds already, its demand and the mean size of its requests; only
  /// if m_IsAhead is set.
  Tokens m_Held = 0;
  Tokens m_TokensPerSecond = 0;
  Tokens m_RequestTokens = 0;

  auto operator==(const TransferRequest &) const -> bool = default;
};

/// Transfers tokens. The sender has already counted them as used.
struct TransferAnswer {
  std::string m_From;
  std::uint64_t m_Session = 0;
  std::uint64_t m_Number = 0;

  /// The requested number of tokens, or 0 if the request is refused. Fewer than requested only if
  /// they were to be held ahead.
  Tokens m_Tokens = 0;

  /// Whether the request is refused because the store has too few tokens left, so that drawing on
  /// the shard directly would fail too.
  bool m_IsUsedUp = false;

  /// If it is used up, the tokens of the shard that the store does not count as used.
  Tokens m_Unsettled = 0;

  /// Tokens that the requesting router may hold ahead from now on; nothing if that was not asked or
  /// the owner cannot tell.
  std::optional<Tokens> m_Allowed = std::nullopt;

  auto operator==(const TransferAnswer &) const -> bool = default;
};

/// Gives tokens back that the sender does not need. The sender no longer holds them; the receiver
/// no longer counts them as used.
struct TransferReturn {
  std::string m_From;
  std::uint64_t m_Session = 0;
  std::uint64_t m_Number = 0;
  std::string m_Budget;
  Tokens m_Tokens = 0;

  auto operator==(const TransferReturn &) const -> bool = default;
};

using TransferMessage = std::variant<TransferRequest, TransferAnswer, TransferReturn>;

/// Encodes a message in cereal's portable binary format.
auto encodeTransfer(const TransferMessage &Message) -> std::string;

/// InvalidArgument if the bytes are no such message. Accepts any input.
auto decodeTransfer(std::string_view Bytes) -> absl::StatusOr<TransferMessage>;

/// Tokens of a budget or shard that a router can transfer, as announced to the other routers.
struct BudgetOffer {
  std::string m_Budget;
  Tokens m_Available = 0;
};

} // namespace geraniumlift::budget
