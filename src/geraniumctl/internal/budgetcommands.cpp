#include "geraniumctl/internal/budgetfigures.h"
#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/jsonview.h"
#include "geraniumctl/internal/publishedset.h"
#include "geraniumctl/internal/recordaccess.h"
#include "geraniumctl/internal/statusexit.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

namespace {

auto jsonOf(const StoredRecord &Stored) -> std::string {
  const auto Figures = figuresOf(Stored.m_Record);
  auto Holders = std::vector<std::string>();
  for (const auto &Entry : Stored.m_Record.m_Holders) {
    Holders.push_back(fmt::format(R"({{"vm":{},"incarnation":{},"settled":{},"granted":{}}})",
                                  quoted(Entry.m_Holder.m_Vm), Entry.m_Holder.m_Incarnation,
                                  Entry.m_Settled, Entry.m_Granted - Entry.m_Settled));
  }
  return fmt::format(
      R"({{"budget":{},"topped_up":{},"settled":{},"granted":{},"left":{},"holders":[{}]}})",
      quoted(Stored.m_Name), Figures.m_ToppedUp, Figures.m_Settled, Figures.m_Granted,
      Figures.m_Left, fmt::join(Holders, ","));
}

auto tableOf(const std::vector<StoredRecord> &Records) -> std::string {
  auto Rows =
      std::vector<std::vector<std::string>>{{"budget", "topped up", "settled", "granted", "left"}};
  for (const auto &Stored : Records) {
    const auto Figures = figuresOf(Stored.m_Record);
    Rows.push_back({Stored.m_Name, std::to_string(Figures.m_ToppedUp),
                    std::to_string(Figures.m_Settled), std::to_string(Figures.m_Granted),
                    std::to_string(Figures.m_Left)});
  }
  return formatTable(Rows);
}

auto holderTable(const budget::BudgetRecord &Record) -> std::string {
  auto Rows = std::vector<std::vector<std::string>>{{"vm", "incarnation", "settled", "granted"}};
  for (const auto &Entry : Record.m_Holders) {
    Rows.push_back({Entry.m_Holder.m_Vm, std::to_string(Entry.m_Holder.m_Incarnation),
                    std::to_string(Entry.m_Settled),
                    std::to_string(Entry.m_Granted - Entry.m_Settled)});
  }
  return formatTable(Rows);
}

auto showOne(CommandContext &Context, const std::string &Name) -> ExitCode {
  const auto Stored = readRecord(Context, Name);
  if (!Stored.ok()) {
    return fail(Context, Stored.status());
  }
  if (Stored->m_ModRevision == keyvalue::AbsentRevision) {
    return fail(Context, absl::NotFoundError(fmt::format("budget {} was never topped up", Name)));
  }
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    Context.m_Out << jsonOf(*Stored) << '\n';
    return ExitCode::Done;
  }
  Context.m_Out << tableOf({*Stored});
  if (!Stored->m_Record.m_Holders.empty()) {
    Context.m_Out << '\n' << holderTable(Stored->m_Record);
  }
  return ExitCode::Done;
}

} // namespace

auto runBudgetShow(CommandContext &Context) -> ExitCode {
  if (!Context.m_Arguments.empty()) {
    return showOne(Context, Context.m_Arguments[0]);
  }
  const auto Records = readAllRecords(Context);
  if (!Records.ok()) {
    return fail(Context, Records.status());
  }
  if (Context.m_Options.m_Output == OutputFormat::Text) {
    Context.m_Out << tableOf(*Records);
    return ExitCode::Done;
  }
  auto Items = std::vector<std::string>();
  for (const auto &Stored : *Records) {
    Items.push_back(jsonOf(Stored));
  }
  Context.m_Out << fmt::format("{{\"budgets\":[{}]}}\n", fmt::join(Items, ","));
  return ExitCode::Done;
}

auto runBudgetList(CommandContext &Context) -> ExitCode {
  const auto Published = readPublishedSet(Context);
  if (!Published.ok()) {
    return fail(Context, Published.status());
  }
  auto Names = std::vector<std::string>();
  for (const auto &[Name, Content] : (*Published)->m_Objects.m_Budgets) {
    Names.push_back(Context.m_Options.m_Output == OutputFormat::Json ? quoted(Name) : Name);
  }
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    Context.m_Out << fmt::format("{{\"budgets\":[{}]}}\n", fmt::join(Names, ","));
    return ExitCode::Done;
  }
  for (const auto &Name : Names) {
    Context.m_Out << Name << '\n';
  }
  return ExitCode::Done;
}

} // namespace geraniumlift::geraniumctl::internal
