#pragma once

#include "base/verdict.h"

#include <cstdint>
#include <string_view>

namespace geraniumlift::targets {

/// State of an exchange at the time of its failure.
struct FailedExchange {
  /// Whether the connection was opened for this exchange alone. On a reused one the library may
  /// have sent the request before it tried to open another.
  bool m_FreshConnection = false;

  /// The library's error message.
  std::string_view m_Message;
};

/// Verdict of an exchange that ended without a complete response: DidNotRun if the connection was
/// provably not opened, else MayHaveRun.
auto verdictOfFailure(const FailedExchange &Failed) -> base::Verdict;

/// Verdict of a complete response: DidNotRun for status 429 or 503 with X-Not-Run: true, by which a
/// target states that it refused the request before running it, else Ran. On a kept connection the
/// refusal may be a second copy of one of an earlier request, so it proves nothing.
auto verdictOfResponse(std::int64_t Status, bool HasNotRunHeader, bool IsFreshConnection)
    -> base::Verdict;

} // namespace geraniumlift::targets
