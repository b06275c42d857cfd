#include "base/log.h"
#include "standins/service/service.h"
#include "standins/service/serviceserver.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <exception>

ABSL_FLAG(std::string, listen, "http://127.0.0.1:8200", "URL to listen on");
ABSL_FLAG(std::uint32_t, delay_ms, 0, "time to answer a call in milliseconds");

auto main(int ArgumentCount, char **Arguments) -> int {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  try {
    auto Served =
        geraniumlift::standins::Service(std::chrono::milliseconds{absl::GetFlag(FLAGS_delay_ms)});
    geraniumlift::standins::serveService(absl::GetFlag(FLAGS_listen), Served);
  } catch (const std::exception &Error) {
    geraniumlift::base::logEvent(geraniumlift::base::LogLevel::Error, "start_failed",
                                 {{"detail", Error.what()}});
    return 1;
  }
}
