#pragma once

namespace geraniumlift::daemon {

/// Exit codes of geraniumliftd.
enum class ExitCode : int {
  Success = 0,
  /// The settings file has errors, or the router could not be started.
  StartFailed = 1,
  /// A second SIGTERM or SIGINT ended the process before the drain had finished.
  SecondSignal = 3,
};

} // namespace geraniumlift::daemon
