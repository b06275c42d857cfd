#pragma once

#include "geraniumctl/commandtypes.h"

#include <absl/status/status.h>

namespace geraniumlift::geraniumctl::internal {

/// Returns whether the status means that a service did not respond, so that a retry may succeed.
auto isUnreachable(const absl::Status &Status) -> bool;

/// Writes the message of the status to the error stream and returns Unreachable or Refused,
/// depending on isUnreachable().
auto reportError(CommandContext &Context, const absl::Status &Status) -> ExitCode;

} // namespace geraniumlift::geraniumctl::internal
