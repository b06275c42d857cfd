#include "geraniumctl/internal/errorreport.h"

#include <ostream>

namespace geraniumlift::geraniumctl::internal {

auto isUnreachable(const absl::Status &Status) -> bool {
  return absl::IsUnavailable(Status) || absl::IsDeadlineExceeded(Status) || absl::IsUnknown(Status);
}

auto reportError(CommandContext &Context, const absl::Status &Status) -> ExitCode {
  Context.m_Error << "geraniumctl: " << Status.message() << '\n';
  return isUnreachable(Status) ? ExitCode::Unreachable : ExitCode::Refused;
}

} // namespace geraniumlift::geraniumctl::internal
