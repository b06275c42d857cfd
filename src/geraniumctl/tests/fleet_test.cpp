#include "base/asioscheduler.h"
#include "base/systemclock.h"
#include "geraniumctl/commandtable.h"

#include <cpprest/http_listener.h>
#include <criterion/criterion.h>
#include <sstream>

using namespace geraniumlift;
using namespace geraniumlift::geraniumctl;

namespace {

constexpr auto RouterUrl = "http://127.0.0.1:18477";

/// Exit code and output of a run of the command.
struct FleetRun {
  ExitCode m_ExitCode = ExitCode::Success;
  std::string m_Out;
};

auto runFleet(OutputFormat Output) -> FleetRun {
  auto Scheduler = base::AsioScheduler();
  const auto Clock = base::SystemClock();
  auto In = std::istringstream();
  auto Out = std::ostringstream();
  auto Error = std::ostringstream();
  auto Context = CommandContext{
      {}, {.m_Output = Output, .m_Router = RouterUrl}, nullptr, Scheduler, Clock, In, Out, Error};
  const auto Exit = findCommand({"fleet"})->m_Run(Context);
  return {.m_ExitCode = Exit, .m_Out = Out.str()};
}

} // namespace

// Guards against rows or columns of a router's response that are not shown, and against a failed or
// malformed response that is reported as an empty fleet.
Test(geraniumctl, fleetShowsRoutersAndTargets) {
  cr_assert(runFleet(OutputFormat::Text).m_ExitCode == ExitCode::Unreachable);
  auto Status = web::http::status_code(web::http::status_codes::OK);
  auto Body = std::string(R"({"generation":3,"routers":[{"vm":"a","state":"up"},)"
                          R"({"vm":"long-name","state":"draining"}],"targets":[]})");
  auto Router = web::http::experimental::listener::http_listener(RouterUrl);
  Router.support(web::http::methods::GET, [&](const web::http::http_request &Request) {
    Request.reply(Request.relative_uri().path() == "/fleet" ? Status
                                                            : web::http::status_codes::NotFound,
                  Body, "application/json");
  });
  Router.open().wait();
  const auto Text = runFleet(OutputFormat::Text);
  cr_assert(Text.m_ExitCode == ExitCode::Success);
  cr_assert_eq(Text.m_Out, std::string("generation 3\n"
                                       "routers:\n"
                                       "vm         state\n"
                                       "a          up\n"
                                       "long-name  draining\n"
                                       "targets:\n"
                                       "(none)\n"));
  cr_assert_eq(runFleet(OutputFormat::Json).m_Out, Body + "\n");
  Body = "[1,";
  cr_assert(runFleet(OutputFormat::Text).m_ExitCode == ExitCode::Refused);
  Status = web::http::status_codes::ServiceUnavailable;
  cr_assert(runFleet(OutputFormat::Text).m_ExitCode == ExitCode::Unreachable);
  Router.close().wait();
}
