#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace geraniumlift::base {

/// Number of language-model tokens.
using Tokens = std::int64_t;

/// Identifies a request across retries and processes. It is the caller's idempotency key scoped by
/// the workspace, or a random identifier if the caller sent none.
using RequestId = std::string;

/// One run of a router process. The incarnation increases with every start of a process on the VM.
struct HolderId {
  std::string m_Vm;
  std::uint64_t m_Incarnation = 0;

  // clang-tidy 14 reports its own expansion of a defaulted comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const HolderId &) const = default;
};

} // namespace geraniumlift::base
