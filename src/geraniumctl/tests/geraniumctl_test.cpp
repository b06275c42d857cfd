#include "base/asioscheduler.h"
#include "base/hashing.h"
#include "base/systemclock.h"
#include "budget/budgetrecord.h"
#include "fakes/fakekeyvaluestore.h"
#include "geraniumctl/commandline.h"
#include "geraniumctl/commandtable.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace geraniumlift;
using namespace geraniumlift::geraniumctl;

namespace {

const auto Objects =
    std::string("[budget.care]\n"
                "[priority_class.paid]\nlevel = 1\n"
                "[workspace.clinic]\nbudget = \"care\"\npriority_class = \"paid\"\n");

/// Runs commands against an in-memory store and captures their output.
class CommandRunner {
public:
  CommandRunner() {
    auto Pattern = (std::filesystem::temp_directory_path() / "geraniumctl-XXXXXX").string();
    m_Folder = mkdtemp(Pattern.data());
    m_Options.m_Timeout = std::chrono::milliseconds{300};
  }

  ~CommandRunner() { std::filesystem::remove_all(m_Folder); }

  /// Writes an object file and returns its path.
  auto writeFile(const std::string &Name, const std::string &Text) const -> std::string {
    auto Path = (m_Folder / Name).string();
    std::ofstream(Path) << Text;
    return Path;
  }

  auto run(std::vector<std::string> Words) -> ExitCode {
    const auto *Entry = findCommand(Words);
    const auto NameWords = Entry->m_Name.find(' ') == std::string_view::npos ? 1 : 2;
    Words.erase(Words.begin(), Words.begin() + NameWords);
    m_Out.str("");
    m_Error.str("");
    auto Context = CommandContext{std::move(Words), m_Options, &m_Store, m_Scheduler,
                                  m_Clock,          m_In,      m_Out,    m_Error};
    return Entry->m_Run(Context);
  }

  auto out() const -> std::string { return m_Out.str(); }
  auto error() const -> std::string { return m_Error.str(); }

  fakes::FakeKeyValueStore m_Store;
  CommandOptions m_Options;
  std::istringstream m_In;

private:
  std::filesystem::path m_Folder;
  base::AsioScheduler m_Scheduler;
  base::SystemClock m_Clock;
  std::ostringstream m_Out;
  std::ostringstream m_Error;
};

auto contains(const std::string &Text, const std::string &Part) -> bool {
  return Text.find(Part) != std::string::npos;
}

auto parse(std::vector<std::string> Words) -> absl::StatusOr<CommandLine> {
  auto Pointers = std::vector<char *>();
  for (auto &Word : Words) {
    Pointers.push_back(Word.data());
  }
  return parseCommandLine(static_cast<int>(Pointers.size()), Pointers.data());
}

} // namespace

// Guards against an error in an object file that is not found, or is reported without file and
// line.
Test(geraniumctl, checkReportsMistakes) {
  auto Runner = CommandRunner();
  const auto Good = Runner.writeFile("good.toml", Objects);
  const auto Bad =
      Runner.writeFile("bad.toml", "[workspace.x]\nbudget = \"none\"\npriority_class = \"paid\"\n");
  cr_assert(Runner.run({"check", Good}) == ExitCode::Success);
  cr_assert(Runner.run({"check", Good, Bad}) == ExitCode::Refused);
  cr_assert(contains(Runner.error(), "bad.toml:2: workspace.x.budget: unknown budget none"));
  cr_assert(Runner.run({"check", Good + ".missing"}) == ExitCode::Refused);
  Runner.m_Options.m_Output = OutputFormat::Json;
  cr_assert(Runner.run({"check", Good, Bad}) == ExitCode::Refused);
  cr_assert(contains(Runner.out(), R"("line":2,"field":"workspace.x.budget")"));
}

// Guards against a publication that differs from the files, or that overwrites what another
// operator has published in the meantime.
Test(geraniumctl, publishesShowsAndComparesSets) {
  auto Runner = CommandRunner();
  const auto First = Runner.writeFile("a.toml", Objects);
  const auto More = Runner.writeFile("b.toml", "[budget.stock]\nmax_grant_tokens = 7\n");
  cr_assert(Runner.run({"publish", First}) == ExitCode::Success);
  cr_assert(Runner.run({"diff", First, More}) == ExitCode::Success);
  cr_assert(contains(Runner.out(), "added budget stock\n1 change against generation 1"));
  Runner.m_Options.m_ExpectedGeneration = 1;
  cr_assert(Runner.run({"publish", First, More}) == ExitCode::Success);
  cr_assert(Runner.run({"publish", First}) == ExitCode::Conflict);
  cr_assert(contains(Runner.error(), "generation 2 is in force"));
  cr_assert(Runner.run({"show", "budget"}) == ExitCode::Success);
  cr_assert_eq(Runner.out(), std::string("care\nstock\n"));
  cr_assert(Runner.run({"show", "budget", "stock"}) == ExitCode::Success);
  cr_assert_eq(Runner.out(), std::string("[budget.stock]\nmax_grant_tokens = 7\n"));
  cr_assert(Runner.run({"show", "budget", "none"}) == ExitCode::Refused);
}

// Guards against a top-up that is applied twice after a lost response, a late write or a repeated
// command.
Test(geraniumctl, topUpIsAddedOnce) {
  auto Runner = CommandRunner();
  Runner.m_Options.m_Timeout = std::chrono::seconds{5};
  cr_assert(Runner.run({"publish", Runner.writeFile("a.toml", Objects)}) == ExitCode::Success);
  Runner.m_Options.m_Id = "invoice-1";
  Runner.m_Store.loseAnswers(1);
  cr_assert(Runner.run({"top-up", "care", "500"}) == ExitCode::Success);
  cr_assert(contains(Runner.out(), "added 500"));
  cr_assert(Runner.run({"top-up", "care", "500"}) == ExitCode::Success);
  cr_assert(contains(Runner.out(), "nothing added"));
  Runner.m_Options.m_Id = "invoice-2";
  Runner.m_Store.delayWrites(1);
  cr_assert(Runner.run({"top-up", "care", "70"}) == ExitCode::Success);
  Runner.m_Store.applyLateWrites();
  const auto Record =
      budget::decodeRecord(Runner.m_Store.get(budget::keyOfBudget("care"))->m_Value);
  cr_assert_eq(Record->m_ToppedUp, 570);
}

// Guards against tokens that are credited to a misspelt budget, and against invalid amounts.
Test(geraniumctl, topUpRefusesUnknownBudgetAndWrongAmount) {
  auto Runner = CommandRunner();
  cr_assert(Runner.run({"publish", Runner.writeFile("a.toml", Objects)}) == ExitCode::Success);
  cr_assert(Runner.run({"top-up", "caer", "500"}) == ExitCode::Refused);
  cr_assert_not(Runner.m_Store.get(budget::keyOfBudget("caer")).has_value());
  for (const auto *Amount : {"0", "-5", "1.5", "99999999999999999999"}) {
    cr_assert(Runner.run({"top-up", "care", Amount}) == ExitCode::Usage);
  }
}

// Guards against an outage of the store that is not reported as unreachable, and against a top-up
// with unknown outcome that is reported as not added.
Test(geraniumctl, outageGivesUnreachable) {
  auto Runner = CommandRunner();
  const auto File = Runner.writeFile("a.toml", Objects);
  cr_assert(Runner.run({"publish", File}) == ExitCode::Success);
  Runner.m_Store.setDown(true);
  for (const auto &Words : std::vector<std::vector<std::string>>{
           {"show"}, {"diff", File}, {"budget", "show"}, {"budget", "list"}}) {
    cr_assert(Runner.run(Words) == ExitCode::Unreachable);
  }
  cr_assert(Runner.run({"publish", File}) == ExitCode::Unreachable);
  cr_assert(contains(Runner.error(), "not published"));
  cr_assert(Runner.run({"top-up", "care", "5"}) == ExitCode::Unreachable);
  cr_assert(contains(Runner.error(), "nothing was added"));
  Runner.m_Store.setDown(false);
  Runner.m_Store.delayWrites(1'000);
  cr_assert(Runner.run({"top-up", "care", "5"}) == ExitCode::Unreachable);
  cr_assert(contains(Runner.error(), "outcome unknown: repeat with --id="));
}

// Guards against settled, granted and left tokens that do not add up to the tokens topped up.
Test(geraniumctl, budgetFiguresAddUp) {
  auto Runner = CommandRunner();
  auto Record = budget::BudgetRecord();
  Record.m_ToppedUp = 1'000;
  Record.m_RetiredSettled = 100;
  Record.m_Holders = {{{"vm-a", 1}, 300, 40, 2}, {{"vm-b", 1}, 200, 200, 5}};
  Runner.m_Store.set(budget::keyOfBudget("care"), budget::encodeRecord(Record));
  Runner.m_Options.m_Output = OutputFormat::Json;
  cr_assert(Runner.run({"budget", "show", "care"}) == ExitCode::Success);
  cr_assert(contains(Runner.out(), R"("topped_up":1000,"settled":340,"granted":260,"left":400)"));
  cr_assert(Runner.run({"budget", "show"}) == ExitCode::Success);
  cr_assert(contains(Runner.out(), R"("budget":"care")"));
}

// Guards against a hash that includes the line break and therefore matches no caller's key.
Test(geraniumctl, hashKeyIgnoresLineBreak) {
  auto Runner = CommandRunner();
  Runner.m_In.str("secret\r\n");
  cr_assert(Runner.run({"hash-key"}) == ExitCode::Success);
  cr_assert_eq(Runner.out(), base::sha256Hex("secret") + "\n");
  Runner.m_In.str("\n");
  cr_assert(Runner.run({"hash-key"}) == ExitCode::Refused);
}

// Guards against invalid flags that are ignored or that end the program with the exit code of a
// rejected command.
Test(geraniumctl, commandLineReportsWrongFlags) {
  for (const auto *Wrong : {"--widget", "--expect=x", "--timeout=x", "--output=xml", "--kv"}) {
    cr_assert_not(parse({"geraniumctl", "show", Wrong}).ok(), "%s", Wrong);
  }
  const auto Line = parse({"geraniumctl", "publish", "a.toml", "--expect=4", "--id", "x", "--help",
                           "--output=json", "--kv=http://10.0.0.1:1,http://10.0.0.2:1"});
  cr_assert(Line.ok());
  cr_assert(Line->m_Help);
  cr_assert(Line->m_Words == (std::vector<std::string>{"publish", "a.toml"}));
  cr_assert(Line->m_Options.m_ExpectedGeneration == configuration::Generation{4});
  cr_assert_eq(Line->m_Options.m_KvUrls.size(), 2U);
  for (const auto &Entry : commands()) {
    cr_assert(contains(commandHelp(Entry), "  geraniumctl " + std::string(Entry.m_Name)));
  }
}
