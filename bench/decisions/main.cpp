#include "decisions/reports.h"
#include "decisions/workloadfile.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <fmt/format.h>
#include <fstream>

ABSL_FLAG(std::vector<std::string>, workloads, {}, "Workload files (TOML), separated by commas.");
ABSL_FLAG(std::vector<std::string>, policies, std::vector<std::string>({"naive", "full"}),
          "Policies to measure, separated by commas.");
ABSL_FLAG(std::uint64_t, first_seed, 1, "First seed.");
ABSL_FLAG(std::uint64_t, seeds, 10, "Number of seeds.");
ABSL_FLAG(std::uint64_t, jobs, 4, "Threads; the results do not depend on their number.");
ABSL_FLAG(std::string, output, "text", "What to print: text or json.");
ABSL_FLAG(std::string, json_file, "", "File that the JSON report is written to as well.");
ABSL_FLAG(std::string, html_file, "", "File that the HTML page is written to as well.");

namespace {

using namespace geraniumlift;

auto readSpec(bench::RunAllSpec &Spec) -> absl::Status {
  for (const auto &Path : absl::GetFlag(FLAGS_workloads)) {
    auto Load = bench::loadWorkload(Path);
    if (!Load.ok()) {
      return Load.status();
    }
    Spec.m_Workloads.push_back(*std::move(Load));
  }
  const auto Known = bench::knownPolicies();
  for (const auto &Name : absl::GetFlag(FLAGS_policies)) {
    const auto Found = std::find_if(Known.begin(), Known.end(),
                                    [&Name](const auto &Each) { return Each.m_Name == Name; });
    if (Found == Known.end()) {
      return absl::InvalidArgumentError(fmt::format("policy {} is unknown", Name));
    }
    Spec.m_Policies.push_back(*Found);
  }
  Spec.m_FirstSeed = absl::GetFlag(FLAGS_first_seed);
  Spec.m_SeedCount = absl::GetFlag(FLAGS_seeds);
  Spec.m_Jobs = absl::GetFlag(FLAGS_jobs);
  if (Spec.m_Workloads.empty() || Spec.m_Policies.empty()) {
    return absl::InvalidArgumentError("--workloads and --policies must not be empty");
  }
  return absl::OkStatus();
}

auto writeFile(const std::string &Path, const std::string &Content) -> absl::Status {
  auto File = std::ofstream(Path);
  File << Content;
  File.close();
  if (!File) {
    return absl::InternalError(fmt::format("cannot write {}", Path));
  }
  return absl::OkStatus();
}

auto run() -> absl::Status {
  auto Spec = bench::RunAllSpec();
  if (auto Status = readSpec(Spec); !Status.ok()) {
    return Status;
  }
  const auto Measures = bench::runAll(Spec);
  const auto Json = absl::GetFlag(FLAGS_output) == "json";
  fmt::print("{}", Json ? bench::jsonReport(Measures) : bench::textReport(Measures));
  if (const auto Path = absl::GetFlag(FLAGS_json_file); !Path.empty()) {
    if (auto Status = writeFile(Path, bench::jsonReport(Measures)); !Status.ok()) {
      return Status;
    }
  }
  if (const auto Path = absl::GetFlag(FLAGS_html_file); !Path.empty()) {
    return writeFile(Path, bench::htmlReport(Measures));
  }
  return absl::OkStatus();
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  absl::SetProgramUsageMessage("Measures dispatch decisions with fake targets.\n"
                               "geraniumlift-bench-decisions --workloads=FILE,FILE");
  absl::ParseCommandLine(Count, Arguments);
  const auto Status = run();
  if (!Status.ok()) {
    fmt::print(stderr, "{}\n", std::string(Status.message()));
    return 2;
  }
  return 0;
}
