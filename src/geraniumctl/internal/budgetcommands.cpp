#include "geraniumctl/internal/budgetbalance.h"
#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/errorreport.h"
#include "geraniumctl/internal/publishedset.h"
#include "geraniumctl/internal/recordaccess.h"
#include "geraniumctl/internal/textformat.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

namespace {

auto toJson(const StoredRecord &Stored) -> std::string {
  const auto Balance = computeBalance(Stored.m_Record);
  auto Holders = std::vector<std::string>();
  for (const auto &Entry : Stored.m_Record.m_Holders) {
    Holders.push_back(fmt::format(R"({{"vm":{},"incarnation":{},"settled":{},"granted":{}}})",
                                  quoteJson(Entry.m_Holder.m_Vm), Entry.m_Holder.m_Incarnation,
                                  Entry.m_Settled, Entry.m_Granted - Entry.m_Settled));
  }
  return fmt::format(
      R"({{"budget":{},"topped_up":{},"settled":{},"granted":{},"left":{},"holders":[{}]}})",
      quoteJson(Stored.m_Name), Balance.m_ToppedUp, Balance.m_Settled, Balance.m_Granted,
      Balance.m_Left, fmt::join(Holders, ","));
}

auto formatBudgetTable(const std::vector<StoredRecord> &Records) -> std::string {
  auto Rows =
      std::vector<std::vector<std::string>>{{"budget", "topped up", "settled", "granted", "left"}};
  for (const auto &Stored : Records) {
    const auto Balance = computeBalance(Stored.m_Record);
    Rows.push_back({Stored.m_Name, std::to_string(Balance.m_ToppedUp),
                    std::to_string(Balance.m_Settled), std::to_string(Balance.m_Granted),
                    std::to_string(Balance.m_Left)});
  }
  return formatTable(Rows);
}

auto formatHolderTable(const budget::BudgetRecord &Record) -> std::string {
  auto Rows = std::vector<std::vector<std::string>>{{"vm", "incarnation", "settled", "granted"}};
  for (const auto &Entry : Record.m_Holders) {
    Rows.push_back({Entry.m_Holder.m_Vm, std::to_string(Entry.m_Holder.m_Incarnation),
                    std::to_string(Entry.m_Settled),
                    std::to_string(Entry.m_Granted - Entry.m_Settled)});
  }
  return formatTable(Rows);
}

auto showBudget(CommandContext &Context, const std::string &Name) -> ExitCode {
  const auto Stored = readRecord(Context, Name);
  if (!Stored.ok()) {
    return reportError(Context, Stored.status());
  }
  if (Stored->m_ModRevision == keyvalue::AbsentRevision) {
    return reportError(Context,
                       absl::NotFoundError(fmt::format("budget {} was never topped up", Name)));
  }
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    Context.m_Out << toJson(*Stored) << '\n';
    return ExitCode::Success;
  }
  Context.m_Out << formatBudgetTable({*Stored});
  if (!Stored->m_Record.m_Holders.empty()) {
    Context.m_Out << '\n' << formatHolderTable(Stored->m_Record);
  }
  return ExitCode::Success;
}

} // namespace

auto runBudgetShow(CommandContext &Context) -> ExitCode {
  if (!Context.m_Arguments.empty()) {
    return showBudget(Context, Context.m_Arguments[0]);
  }
  const auto Records = readAllRecords(Context);
  if (!Records.ok()) {
    return reportError(Context, Records.status());
  }
  if (Context.m_Options.m_Output == OutputFormat::Text) {
    Context.m_Out << formatBudgetTable(*Records);
    return ExitCode::Success;
  }
  auto Items = std::vector<std::string>();
  for (const auto &Stored : *Records) {
    Items.push_back(toJson(Stored));
  }
  Context.m_Out << fmt::format("{{\"budgets\":[{}]}}\n", fmt::join(Items, ","));
  return ExitCode::Success;
}

auto runBudgetList(CommandContext &Context) -> ExitCode {
  const auto Published = readPublishedSet(Context);
  if (!Published.ok()) {
    return reportError(Context, Published.status());
  }
  auto Names = std::vector<std::string>();
  for (const auto &[Name, Content] : (*Published)->m_Objects.m_Budgets) {
    Names.push_back(Context.m_Options.m_Output == OutputFormat::Json ? quoteJson(Name) : Name);
  }
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    Context.m_Out << fmt::format("{{\"budgets\":[{}]}}\n", fmt::join(Names, ","));
    return ExitCode::Success;
  }
  for (const auto &Name : Names) {
    Context.m_Out << Name << '\n';
  }
  return ExitCode::Success;
}

} // namespace geraniumlift::geraniumctl::internal
