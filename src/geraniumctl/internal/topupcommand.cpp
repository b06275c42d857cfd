#include "base/hashing.h"
#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/jsonview.h"
#include "geraniumctl/internal/publishedset.h"
#include "geraniumctl/internal/recordaccess.h"
#include "geraniumctl/internal/repeat.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

namespace {

constexpr std::size_t TopUpIdBytes = 16;

/// A top-up as the operator asked for it.
struct TopUp {
  std::string m_Budget;
  base::Tokens m_Tokens = 0;
  std::string m_Id;
};

/// Refuses a budget that is neither published nor topped up before, so that a misspelt name does
/// not take the tokens.
auto checkName(const CommandContext &Context, const StoredRecord &Stored) -> absl::Status {
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

/// Adds the tokens by compare-and-swap. After a write without an answer the record is read again:
/// it shows the top-up's ID if the write took effect, and if it does not, the next write expects
/// the revision just read, so that only one of the two can take effect. Unavailable if the service
/// does not answer; WasSent then tells whether a write may have taken effect.
auto applyInStore(const CommandContext &Context, const TopUp &Wanted, bool &WasSent)
    -> absl::StatusOr<budget::TopUpOutcome> {
  const auto End = Context.m_Clock.steadyNow() + Context.m_Options.m_Timeout;
  while (true) {
    auto Stored = readRecord(Context, Wanted.m_Budget);
    if (!Stored.ok()) {
      return Stored.status();
    }
    if (auto Status = checkName(Context, *Stored); !Status.ok()) {
      return Status;
    }
    const auto Outcome = budget::applyTopUp(Stored->m_Record, Wanted.m_Id, Wanted.m_Tokens);
    if (!Outcome.ok()) {
      return Outcome.status();
    }
    if (*Outcome == budget::TopUpOutcome::AlreadyApplied) {
      return WasSent ? budget::TopUpOutcome::Added : *Outcome;
    }
    const auto Result = writeRecord(Context, *Stored);
    if (Result.m_Outcome == keyvalue::WriteOutcome::Applied) {
      return budget::TopUpOutcome::Added;
    }
    WasSent = WasSent || Result.m_Outcome == keyvalue::WriteOutcome::Unknown;
    if (Context.m_Clock.steadyNow() >= End) {
      return absl::UnavailableError("the top-up did not get through within the timeout");
    }
    std::this_thread::sleep_for(RepeatInterval);
  }
}

auto printOutcome(CommandContext &Context, const TopUp &Wanted, budget::TopUpOutcome Outcome)
    -> void {
  const auto IsAdded = Outcome == budget::TopUpOutcome::Added;
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    Context.m_Out << fmt::format("{{\"outcome\":\"{}\",\"budget\":{},\"tokens\":{},\"id\":{}}}\n",
                                 IsAdded ? "added" : "already_there", quoted(Wanted.m_Budget),
                                 Wanted.m_Tokens, quoted(Wanted.m_Id));
    return;
  }
  Context.m_Out << (IsAdded ? fmt::format("added {} tokens to {}, ID {}\n", Wanted.m_Tokens,
                                          Wanted.m_Budget, Wanted.m_Id)
                            : fmt::format("nothing added: {} already has the top-up with ID {}\n",
                                          Wanted.m_Budget, Wanted.m_Id));
}

} // namespace

auto runTopUp(CommandContext &Context) -> ExitCode {
  auto Wanted = TopUp{.m_Budget = Context.m_Arguments[0], .m_Id = Context.m_Options.m_Id};
  if (!absl::SimpleAtoi(Context.m_Arguments[1], &Wanted.m_Tokens) || Wanted.m_Tokens <= 0) {
    Context.m_Error << "geraniumctl: TOKENS must be a whole number above 0\n";
    return ExitCode::Usage;
  }
  if (Wanted.m_Id.empty()) {
    Wanted.m_Id = base::randomHex(TopUpIdBytes);
  }
  auto WasSent = false;
  const auto Outcome = applyInStore(Context, Wanted, WasSent);
  if (Outcome.ok()) {
    printOutcome(Context, Wanted, *Outcome);
    return ExitCode::Done;
  }
  const auto Exit = fail(Context, Outcome.status());
  if (!WasSent) {
    Context.m_Error << "nothing was added\n";
    return Exit;
  }
  Context.m_Error << fmt::format("outcome unknown: repeat with --id={}\n", Wanted.m_Id);
  return ExitCode::Unreachable;
}

} // namespace geraniumlift::geraniumctl::internal
