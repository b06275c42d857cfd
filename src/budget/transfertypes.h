#pragma once

#include "base/identifiers.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace geraniumlift::budget {

using base::Tokens;

/// Asks another router to pass on tokens that it was granted.
struct TransferRequest {
  /// The asking router.
  std::string m_From;

  /// Names the asking process, so that an answer to an earlier one on the same VM is not taken.
  std::uint64_t m_Session = 0;
  std::uint64_t m_Number = 0;

  /// The budget, or the part of it, from which the tokens come.
  std::string m_Budget;
  Tokens m_Tokens = 0;

  auto operator==(const TransferRequest &) const -> bool = default;
};

/// Passes tokens on. The sender has counted them as used.
struct TransferAnswer {
  std::string m_From;
  std::uint64_t m_Session = 0;
  std::uint64_t m_Number = 0;

  /// All that was asked for, or 0.
  Tokens m_Tokens = 0;

  auto operator==(const TransferAnswer &) const -> bool = default;
};

using TransferMessage = std::variant<TransferRequest, TransferAnswer>;

auto encodeTransfer(const TransferMessage &Message) -> std::string;

/// InvalidArgument if the bytes are no such message. Accepts any input.
auto decodeTransfer(std::string_view Bytes) -> absl::StatusOr<TransferMessage>;

/// What a router can pass on of a budget, as the others are told.
struct BudgetOffer {
  std::string m_Budget;
  Tokens m_Available = 0;
};

} // namespace geraniumlift::budget
