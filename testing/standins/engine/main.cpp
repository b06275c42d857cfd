#include "base/asioscheduler.h"
#include "base/log.h"
#include "base/systemclock.h"
#include "standins/engine/engine.h"
#include "standins/engine/engineserver.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <exception>

ABSL_FLAG(std::string, listen, "http://127.0.0.1:8100", "URL to listen on");
ABSL_FLAG(std::uint64_t, slots, 8, "requests that generate side by side");
ABSL_FLAG(std::uint32_t, ttft_ms, 50, "time to first token in milliseconds");
ABSL_FLAG(std::uint32_t, token_ms, 10, "time between tokens in milliseconds");
ABSL_FLAG(std::uint32_t, load_lag_ms, 0, "age of the load report in milliseconds");
ABSL_FLAG(bool, check_fencing, true, "refuse orders with an old fencing number");
ABSL_FLAG(std::vector<std::string>, models, std::vector<std::string>{"lamp-7b"},
          "names of the models served");

namespace {

auto optionsFromFlags() -> geraniumlift::standins::EngineOptions {
  auto Options = geraniumlift::standins::EngineOptions();
  Options.m_Slots = absl::GetFlag(FLAGS_slots);
  Options.m_TimeToFirstToken = std::chrono::milliseconds{absl::GetFlag(FLAGS_ttft_ms)};
  Options.m_TimeBetweenTokens = std::chrono::milliseconds{absl::GetFlag(FLAGS_token_ms)};
  Options.m_LoadLag = std::chrono::milliseconds{absl::GetFlag(FLAGS_load_lag_ms)};
  Options.m_ChecksFencing = absl::GetFlag(FLAGS_check_fencing);
  Options.m_Models = absl::GetFlag(FLAGS_models);
  return Options;
}

auto blockStopSignals() -> sigset_t {
  auto Signals = sigset_t();
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  // Signals are blocked before any thread starts, so that only sigwait receives them.
  const auto Signals = blockStopSignals();
  try {
    const auto Clock = geraniumlift::base::SystemClock();
    auto Scheduler = geraniumlift::base::AsioScheduler();
    auto Served = geraniumlift::standins::Engine(optionsFromFlags(), Scheduler, Clock);
    const auto Server =
        geraniumlift::standins::EngineServer(absl::GetFlag(FLAGS_listen), Served, Scheduler);
    int Signal = 0;
    sigwait(&Signals, &Signal);
    // The listener waits for open streams when it closes; a stand-in just ends.
    std::_Exit(0);
  } catch (const std::exception &Error) {
    geraniumlift::base::logEvent(geraniumlift::base::LogLevel::Error, "start_failed",
                                 {{"detail", Error.what()}});
    return 1;
  }
}
