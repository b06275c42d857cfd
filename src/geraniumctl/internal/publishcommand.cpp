#include "configuration/publisher.h"
#include "geraniumctl/internal/await.h"
#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/objectfiles.h"
#include "geraniumctl/internal/textformat.h"

#include <fmt/format.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

namespace {

using configuration::PublishOutcome;

/// Exit code and message of an outcome. The arguments of the format string are the generation, the
/// publication ID and the reason, in this order.
struct OutcomeReport {
  PublishOutcome m_Outcome;
  ExitCode m_ExitCode;
  const char *m_Format;
};

constexpr auto OutcomeReports = std::array{
    OutcomeReport{PublishOutcome::Accepted, ExitCode::Success,
                  "accepted as generation {0}, ID {1}\n"},
    OutcomeReport{PublishOutcome::Conflict, ExitCode::Conflict,
                  "not published: {2}; generation {0} is in force\n"},
    OutcomeReport{PublishOutcome::Rejected, ExitCode::Refused, "not published: {2}\n"},
    OutcomeReport{PublishOutcome::Unavailable, ExitCode::Unreachable,
                  "not published: the key-value service does not answer: {2}\n"},
    OutcomeReport{PublishOutcome::Unknown, ExitCode::Unreachable,
                  "outcome unknown: {2}; repeat with --id={1} to learn it\n"},
};

auto findOutcomeReport(PublishOutcome Outcome) -> const OutcomeReport & {
  for (const auto &Report : OutcomeReports) {
    if (Report.m_Outcome == Outcome) {
      return Report;
    }
  }
  return OutcomeReports.back();
}

auto print(CommandContext &Context, const configuration::PublishResult &Result) -> void {
  const auto Reason = std::string(Result.m_Status.message());
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    Context.m_Out << fmt::format(
        "{{\"outcome\":\"{}\",\"generation\":{},\"id\":{},\"reason\":{}}}\n",
        base::nameOf(configuration::PublishOutcomeNames, Result.m_Outcome), Result.m_Generation,
        quoteJson(Result.m_PublicationId), quoteJson(Reason));
    return;
  }
  auto &Stream = Result.m_Outcome == PublishOutcome::Accepted ? Context.m_Out : Context.m_Error;
  Stream << fmt::format(fmt::runtime(findOutcomeReport(Result.m_Outcome).m_Format),
                        Result.m_Generation, Result.m_PublicationId, Reason);
}

} // namespace

auto runPublish(CommandContext &Context) -> ExitCode {
  auto Objects = readObjectFiles(Context);
  if (!Objects) {
    return ExitCode::Refused;
  }
  auto Publisher = configuration::Publisher(*Context.m_Store, Context.m_Scheduler, Context.m_Clock,
                                            {.m_Timeout = Context.m_Options.m_Timeout});
  auto Request =
      configuration::PublishRequest{.m_Objects = *std::move(Objects),
                                    .m_ExpectedGeneration = Context.m_Options.m_ExpectedGeneration,
                                    .m_PublicationId = Context.m_Options.m_Id};
  const auto Result = await<configuration::PublishResult>(
      [&](auto Done) { Publisher.publish(std::move(Request), Done); });
  print(Context, Result);
  return findOutcomeReport(Result.m_Outcome).m_ExitCode;
}

} // namespace geraniumlift::geraniumctl::internal
