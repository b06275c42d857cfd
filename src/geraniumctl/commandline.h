#pragma once

#include "geraniumctl/commandtypes.h"

#include <absl/status/statusor.h>

namespace geraniumlift::geraniumctl {

/// A parsed command line.
struct CommandLine {
  /// Positional arguments, without the program's name and flags: the command and its arguments.
  std::vector<std::string> m_Words;
  CommandOptions m_Options;
  bool m_Help = false;
};

/// Parses the command line. Returns InvalidArgument for an unknown flag or an invalid value. If
/// --kv or --router is not given, its value comes from the environment variable GERANIUMLIFT_KV or
/// GERANIUMLIFT_ROUTER.
auto parseCommandLine(int ArgumentCount, char **Arguments) -> absl::StatusOr<CommandLine>;

} // namespace geraniumlift::geraniumctl
