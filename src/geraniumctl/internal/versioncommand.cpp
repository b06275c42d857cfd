#include "geraniumctl/internal/commands.h"

#include <ostream>

namespace geraniumlift::geraniumctl::internal {

auto runVersion(CommandContext &Context) -> ExitCode {
  const auto Version = std::string(GERANIUMLIFT_VERSION);
  Context.m_Out << (Context.m_Options.m_Output == OutputFormat::Json
                        ? "{\"version\":\"" + Version + "\"}"
                        : "geraniumctl " + Version)
                << '\n';
  return ExitCode::Success;
}

} // namespace geraniumlift::geraniumctl::internal
