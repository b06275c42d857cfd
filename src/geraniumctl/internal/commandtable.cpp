#include "geraniumctl/commandtable.h"

#include "geraniumctl/internal/commands.h"

#include <fmt/format.h>

namespace geraniumlift::geraniumctl {

namespace {

/// Effectively no limit: more files than a shell passes on one command line.
constexpr std::size_t MaxFiles = 100'000;

constexpr auto Commands = std::array{
    Command{"check", "FILE...", "Check object files as one set",
            "Reports every mistake with file, line and field. Exit code 1 if there is any.\n\n"
            "  geraniumctl check objects/*.toml\n"
            "  geraniumctl check --output=json objects/*.toml\n",
            1, MaxFiles, false, internal::runCheck},
    Command{"diff", "FILE...", "Compare object files with what is published",
            "Lists what publishing the files would add, change and remove.\n\n"
            "  geraniumctl diff --kv=http://10.0.0.5:2379 objects/*.toml\n",
            1, MaxFiles, true, internal::runDiff},
    Command{"publish", "FILE... [--expect=GENERATION] [--id=ID]", "Check and publish object files",
            "The files replace the whole published set. Exit code 3 if another publication came\n"
            "first or the generation in force is not the expected one; nothing is published then.\n"
            "Exit code 4 if the platform does not answer; after an unknown outcome, repeat the\n"
            "command with the ID that it printed.\n\n"
            "  geraniumctl publish objects/*.toml\n"
            "  geraniumctl publish --expect=41 objects/*.toml\n",
            1, MaxFiles, true, internal::runPublish},
    Command{
        "show", "[KIND [NAME]]", "Show what is published",
        "Without arguments: the generation and the number of objects. With a kind (budget,\n"
        "priority_class, workspace, model_pool, target): the names. With a name: the object.\n\n"
        "  geraniumctl show\n"
        "  geraniumctl show workspace\n"
        "  geraniumctl show workspace clinic\n",
        0, 2, true, internal::runShow},
    Command{"top-up", "BUDGET TOKENS [--id=ID]", "Add prepaid tokens to a budget",
            "A top-up with an ID that the budget has already received adds nothing, so a top-up\n"
            "whose outcome is unknown is repeated with the ID that the command printed.\n\n"
            "  geraniumctl top-up care-plans 5000000 --id=invoice-2026-0117\n",
            2, 2, true, internal::runTopUp},
    Command{
        "budget show", "[NAME]", "Show topped up, settled, granted and left tokens",
        "Settled tokens are billed, granted ones are held by routers and not billed, left ones\n"
        "can still be granted. The three add up to the tokens topped up. With a name, the\n"
        "routers that hold a grant are listed; without one, all budgets that were topped up.\n\n"
        "  geraniumctl budget show\n"
        "  geraniumctl budget show care-plans\n",
        0, 1, true, internal::runBudgetShow},
    Command{"budget list", "", "List the names of the published budgets",
            "\n  geraniumctl budget list\n", 0, 0, true, internal::runBudgetList},
    Command{"fleet", "--router=URL", "Show routers and targets as one router sees them",
            "Asks a router's operator interface, also given by GERANIUMLIFT_ROUTER.\n\n"
            "  geraniumctl fleet --router=http://10.0.0.11:9100\n",
            0, 0, false, internal::runFleet},
    Command{"hash-key", "", "Print the SHA-256 of an API key read on standard input",
            "The hash goes into key_hashes of a workspace. A line break at the end is not part of\n"
            "the key.\n\n"
            "  geraniumctl hash-key < key.txt\n",
            0, 0, false, internal::runHashKey},
    Command{"version", "", "Print the version", "\n  geraniumctl version\n", 0, 0, false,
            internal::runVersion},
};

constexpr std::string_view FlagHelp =
    "Flags:\n"
    "  --kv=URL[,URL...]   key-value service (environment: GERANIUMLIFT_KV)\n"
    "  --router=URL        router's operator interface (environment: GERANIUMLIFT_ROUTER)\n"
    "  --output=text|json  format of the output (default text)\n"
    "  --timeout=15s       how long to keep trying while the platform does not answer\n"
    "  --help              help on the program or on a command\n\n"
    "Exit codes: 0 done, 1 refused or mistakes found, 2 usage, 3 conflict,\n"
    "4 platform unreachable or outcome unknown.\n";

} // namespace

auto commands() -> std::span<const Command> { return Commands; }

auto findCommand(const std::vector<std::string> &Words) -> const Command * {
  const auto First = Words.empty() ? std::string() : Words[0];
  const auto Two = Words.size() < 2 ? First : First + " " + Words[1];
  for (const auto &Entry : Commands) {
    if (Entry.m_Name == First || Entry.m_Name == Two) {
      return &Entry;
    }
  }
  return nullptr;
}

auto programHelp() -> std::string {
  auto Text = std::string("Usage: geraniumctl COMMAND [ARGUMENT...] [FLAG...]\n\nCommands:\n");
  for (const auto &Entry : Commands) {
    Text += fmt::format("  {:<12} {}\n", Entry.m_Name, Entry.m_Summary);
  }
  return Text + "\n" + std::string(FlagHelp) +
         "\nExamples:\n"
         "  geraniumctl check objects/*.toml\n"
         "  geraniumctl publish --kv=http://10.0.0.5:2379 objects/*.toml\n"
         "  geraniumctl top-up --help\n";
}

auto commandHelp(const Command &Entry) -> std::string {
  return fmt::format("Usage: geraniumctl {} {}\n\n{}.\n{}\n{}", Entry.m_Name, Entry.m_Arguments,
                     Entry.m_Summary, Entry.m_Help, FlagHelp);
}

} // namespace geraniumlift::geraniumctl
