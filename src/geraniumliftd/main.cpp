#include "base/asioscheduler.h"
#include "base/log.h"
#include "geraniumliftd/exitcode.h"
#include "geraniumliftd/router.h"
#include "geraniumliftd/strategynames.h"
#include "settings/settingsfile.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <thread>

ABSL_FLAG(std::string, settings, "/etc/geraniumlift/router.toml", "settings file (TOML)");
ABSL_FLAG(bool, check, false, "check the settings file and exit without starting");
ABSL_FLAG(bool, print_version, false, "print the version and exit");

namespace {

using namespace geraniumlift;
using daemon::ExitCode;

constexpr auto Usage =
    "The geraniumlift router. Runs until SIGTERM, which drains it; a second SIGTERM ends it at "
    "once.\n"
    "Exit codes: 0 drained or checked, 1 settings or start failed, 3 ended by a second signal.\n"
    "Example: geraniumliftd --settings=/etc/geraniumlift/router.toml";

/// Blocks SIGTERM and SIGINT, so that threads started later inherit the mask and only sigwait
/// receives the signals.
auto blockSignals() -> sigset_t {
  auto Signals = sigset_t{};
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

auto reportErrors(const std::vector<settings::SettingsError> &Errors) -> void {
  for (const auto &Error : Errors) {
    base::logEvent(base::LogLevel::Error, "settings_invalid",
                   {{"file", Error.m_File},
                    {"line", Error.m_Line},
                    {"key", Error.m_Key},
                    {"detail", Error.m_Message}});
  }
}

/// Waits for the first signal and drains the router. A second signal ends the process at once.
auto runUntilDrained(daemon::Router &Router, const sigset_t &Signals) -> ExitCode {
  auto Signal = 0;
  sigwait(&Signals, &Signal);
  base::logEvent(base::LogLevel::Info, "drain_started", {{"signal", Signal}});
  // Detached because the process may exit while the thread still waits for a second signal.
  std::thread([Signals] {
    auto Second = 0;
    sigwait(&Signals, &Second);
    base::logEvent(base::LogLevel::Warning, "ended_by_second_signal", {{"signal", Second}});
    std::_Exit(static_cast<int>(ExitCode::SecondSignal));
  }).detach();
  Router.drain();
  base::logEvent(base::LogLevel::Info, "drain_finished", {});
  return ExitCode::Success;
}

auto run() -> ExitCode {
  const auto FileName = absl::GetFlag(FLAGS_settings);
  auto Result = settings::readSettings(FileName);
  const auto StrategyErrors = daemon::checkStrategyNames(Result.m_Settings, FileName);
  Result.m_Errors.insert(Result.m_Errors.end(), StrategyErrors.begin(), StrategyErrors.end());
  reportErrors(Result.m_Errors);
  if (!Result.m_Errors.empty()) {
    return ExitCode::StartFailed;
  }
  if (absl::GetFlag(FLAGS_check)) {
    return ExitCode::Success;
  }
  base::setLogLevel(Result.m_Settings.m_LogLevel);
  const auto Signals = blockSignals();
  auto Router = daemon::Router(Result.m_Settings);
  if (const auto Status = Router.start(); !Status.ok()) {
    base::logEvent(base::LogLevel::Error, "start_failed",
                   {{"detail", std::string(Status.message())}});
    return ExitCode::StartFailed;
  }
  return runUntilDrained(Router, Signals);
}

} // namespace

auto main(int Argc, char **Argv) -> int {
  absl::SetProgramUsageMessage(Usage);
  absl::ParseCommandLine(Argc, Argv);
  if (absl::GetFlag(FLAGS_print_version)) {
    fmt::print("geraniumliftd {}\n", GERANIUMLIFT_VERSION);
    return static_cast<int>(ExitCode::Success);
  }
  return static_cast<int>(run());
}
