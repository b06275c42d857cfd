#pragma once

#include "geraniumctl/commandtypes.h"

#include <absl/status/status.h>

namespace geraniumlift::geraniumctl::internal {

/// Whether the status says that a service did not answer, so that a repeat may help.
auto isUnreachable(const absl::Status &Status) -> bool;

/// Writes the error to the error stream and returns the exit code that fits it.
auto reportError(CommandContext &Context, const absl::Status &Status) -> ExitCode;

} // namespace geraniumlift::geraniumctl::internal
