#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/errorreport.h"
#include "geraniumctl/internal/textformat.h"

#include <absl/status/statusor.h>
#include <cpprest/http_client.h>
#include <fmt/format.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

namespace {

/// Reads a URL's body; Unavailable if there is no answer with status 200 within the timeout.
auto fetch(const std::string &Url, const std::string &Path, std::chrono::milliseconds Timeout)
    -> absl::StatusOr<std::string> {
  try {
    auto Settings = web::http::client::http_client_config();
    Settings.set_timeout(Timeout);
    auto Client = web::http::client::http_client(Url, Settings);
    const auto Response = Client.request(web::http::methods::GET, Path).get();
    if (Response.status_code() != web::http::status_codes::OK) {
      return absl::UnavailableError(
          fmt::format("{}{} answered with status {}", Url, Path, Response.status_code()));
    }
    return Response.extract_utf8string(true).get();
  } catch (const std::exception &Error) {
    return absl::UnavailableError(fmt::format("{}{}: {}", Url, Path, Error.what()));
  }
}

} // namespace

auto runFleet(CommandContext &Context) -> ExitCode {
  if (Context.m_Options.m_Router.empty()) {
    Context.m_Error << "geraniumctl: the command needs --router=URL or GERANIUMLIFT_ROUTER\n";
    return ExitCode::Usage;
  }
  const auto Body = fetch(Context.m_Options.m_Router, "/fleet", Context.m_Options.m_Timeout);
  if (!Body.ok()) {
    return reportError(Context, Body.status());
  }
  auto Document = rapidjson::Document();
  if (!base::parseObject(*Body, Document)) {
    return reportError(Context,
                       absl::DataLossError("the router did not answer with a JSON object"));
  }
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    Context.m_Out << *Body << '\n';
    return ExitCode::Success;
  }
  for (const auto &Entry : Document.GetObject()) {
    const auto IsList = Entry.value.IsArray();
    Context.m_Out << Entry.name.GetString() << (IsList ? ":\n" : " ")
                  << (IsList ? formatList(Entry.value) : formatCell(Entry.value) + "\n");
  }
  return ExitCode::Success;
}

} // namespace geraniumlift::geraniumctl::internal
