#include "base/hashing.h"
#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/publishedset.h"
#include "geraniumctl/internal/recordaccess.h"
#include "geraniumctl/internal/retry.h"
#include "geraniumctl/internal/textformat.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

namespace {

constexpr std::size_t TopUpIdBytes = 16;

/// A top-up as requested by the operator.
struct TopUpRequest {
  std::string m_Budget;
  base::Tokens m_Tokens = 0;
  std::string m_Id;
};

/// Returns NotFound for a budget that is neither published nor was topped up before, so that tokens
/// are not credited to a misspelt name.
auto checkBudgetExists(const CommandContext &Context, const StoredRecord &Stored) -> absl::Status {
  if (Stored.m_ModRevision != keyvalue::AbsentRevision) {
    return absl::OkStatus();
  }
  const auto Published = readPublishedSet(Context);
  if (!Published.ok()) {
    return Published.status();
  }
  return (*Published)->m_Objects.m_Budgets.contains(Stored.m_Name)
             ? absl::OkStatus()
             : absl::NotFoundError(fmt::format("budget {} is not published", Stored.m_Name));
}

/// Adds the tokens by compare-and-swap. After a write with unknown outcome the record is read
/// again: it contains the top-up's ID if the write took effect. Otherwise, the next write expects
/// the revision just read, so that only one of the two writes can take effect. Returns Unavailable
/// if the service does not respond; MayBeApplied is then true if a write may have taken effect.
auto writeTopUp(const CommandContext &Context, const TopUpRequest &Request, bool &MayBeApplied)
    -> absl::StatusOr<budget::TopUpOutcome> {
  const auto End = Context.m_Clock.steadyNow() + Context.m_Options.m_Timeout;
  while (true) {
    auto Stored = readRecord(Context, Request.m_Budget);
    if (!Stored.ok()) {
      return Stored.status();
    }
    if (auto Status = checkBudgetExists(Context, *Stored); !Status.ok()) {
      return Status;
    }
    const auto Outcome = budget::applyTopUp(Stored->m_Record, Request.m_Id, Request.m_Tokens);
    if (!Outcome.ok()) {
      return Outcome.status();
    }
    if (*Outcome == budget::TopUpOutcome::AlreadyApplied) {
      return MayBeApplied ? budget::TopUpOutcome::Added : *Outcome;
    }
    const auto Result = writeRecord(Context, *Stored);
    if (Result.m_Outcome == keyvalue::WriteOutcome::Applied) {
      return budget::TopUpOutcome::Added;
    }
    MayBeApplied = MayBeApplied || Result.m_Outcome == keyvalue::WriteOutcome::Unknown;
    if (Context.m_Clock.steadyNow() >= End) {
      return absl::UnavailableError("the top-up did not get through within the timeout");
    }
    std::this_thread::sleep_for(RetryInterval);
  }
}

auto printOutcome(CommandContext &Context, const TopUpRequest &Request,
                  budget::TopUpOutcome Outcome) -> void {
  const auto IsAdded = Outcome == budget::TopUpOutcome::Added;
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    Context.m_Out << fmt::format("{{\"outcome\":\"{}\",\"budget\":{},\"tokens\":{},\"id\":{}}}\n",
                                 IsAdded ? "added" : "already_there", quoteJson(Request.m_Budget),
                                 Request.m_Tokens, quoteJson(Request.m_Id));
    return;
  }
  Context.m_Out << (IsAdded ? fmt::format("added {} tokens to {}, ID {}\n", Request.m_Tokens,
                                          Request.m_Budget, Request.m_Id)
                            : fmt::format("nothing added: {} already has the top-up with ID {}\n",
                                          Request.m_Budget, Request.m_Id));
}

} // namespace

auto runTopUp(CommandContext &Context) -> ExitCode {
  auto Request = TopUpRequest{.m_Budget = Context.m_Arguments[0], .m_Id = Context.m_Options.m_Id};
  if (!absl::SimpleAtoi(Context.m_Arguments[1], &Request.m_Tokens) || Request.m_Tokens <= 0) {
    Context.m_Error << "geraniumctl: TOKENS must be a whole number above 0\n";
    return ExitCode::Usage;
  }
  if (Request.m_Id.empty()) {
    Request.m_Id = base::randomHex(TopUpIdBytes);
  }
  auto MayBeApplied = false;
  const auto Outcome = writeTopUp(Context, Request, MayBeApplied);
  if (Outcome.ok()) {
    printOutcome(Context, Request, *Outcome);
    return ExitCode::Success;
  }
  const auto Code = reportError(Context, Outcome.status());
  if (!MayBeApplied) {
    Context.m_Error << "nothing was added\n";
    return Code;
  }
  Context.m_Error << fmt::format("outcome unknown: repeat with --id={}\n", Request.m_Id);
  return ExitCode::Unreachable;
}

} // namespace geraniumlift::geraniumctl::internal
