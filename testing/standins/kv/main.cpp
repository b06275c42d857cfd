#include "standinserver.h"

#include "base/log.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

ABSL_FLAG(std::string, listen, "http://127.0.0.1:2379", "base URL to listen on");
ABSL_FLAG(double, weight_reads_per_second, 2.0, "limit of the weight store");

using namespace geraniumlift;

auto main(int Argc, char **Argv) -> int {
  absl::SetProgramUsageMessage("stand-in for the platform: key-value service, VM list, weights");
  absl::ParseCommandLine(Argc, Argv);
  const auto Url = absl::GetFlag(FLAGS_listen);
  try {
    auto Server = standin::StandinServer({Url, absl::GetFlag(FLAGS_weight_reads_per_second)});
    Server.open();
    base::logEvent(base::LogLevel::Info, "listening", {{"url", Url}});
    auto Context = boost::asio::io_context();
    auto Signals = boost::asio::signal_set(Context, SIGINT, SIGTERM);
    Signals.async_wait([](const boost::system::error_code &, int) {});
    Context.run();
    // Closing the listener would wait for the requests that are held unanswered.
    std::_Exit(0);
  } catch (const std::exception &Exception) {
    base::logEvent(base::LogLevel::Error, "not_listening",
                   {{"url", Url}, {"detail", Exception.what()}});
    return 1;
  }
}
