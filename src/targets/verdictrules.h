#pragma once

#include "base/verdict.h"

#include <cstdint>
#include <string_view>

namespace geraniumlift::targets {

/// How far an exchange came before it failed.
struct FailedExchange {
  /// Whether the connection was opened for this exchange alone. On a reused one the library may
  /// have sent the request before it tried to open another.
  bool m_FreshConnection = false;

  /// The library's error message.
  std::string_view m_Message;
};

/// Verdict of an exchange without a whole response. DidNotRun only if the connection was not
/// opened.
auto verdictOfFailure(const FailedExchange &Failed) -> base::Verdict;

/// Verdict of a whole response: DidNotRun if the target says that it refused before running.
auto verdictOfResponse(std::int64_t Status, bool HasNotRunHeader) -> base::Verdict;

} // namespace geraniumlift::targets
