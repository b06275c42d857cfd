#pragma once

namespace geraniumlift::daemon {

enum class ExitCode : int {
  Success = 0,
  StartFailed = 1,
  SecondSignal = 3,
};

} // namespace geraniumlift::daemon
