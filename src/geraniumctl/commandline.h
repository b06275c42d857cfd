#pragma once

#include "geraniumctl/commandtypes.h"

#include <absl/status/statusor.h>

namespace geraniumlift::geraniumctl {

/// A parsed command line.
struct CommandLine {
  /// Words without the program's name and without flags.
  std::vector<std::string> m_Words;
  CommandOptions m_Options;
  bool m_Help = false;
};

/// Parses the command line; InvalidArgument for an unknown flag or a wrong value. Flags that are
/// not given take their value from GERANIUMLIFT_KV and GERANIUMLIFT_ROUTER where the environment
/// has them.
auto parseCommandLine(int ArgumentCount, char **Arguments) -> absl::StatusOr<CommandLine>;

} // namespace geraniumlift::geraniumctl
