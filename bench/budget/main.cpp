#include "budgetsimulation.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <atomic>
#include <fmt/format.h>
#include <thread>

ABSL_FLAG(bool, partition, false, "cut a third of the routers off for an hour");
ABSL_FLAG(int, seeds, 10, "number of seeds for each row");
ABSL_FLAG(int, threads, 4, "runs at the same time");
ABSL_FLAG(int, horizon_ms, 60000, "demand that a forecast grant covers");
ABSL_FLAG(int, max_routers, 30, "largest number of routers");

namespace {

using namespace geraniumlift;
using bench::SimulationCase;
using bench::SimulationResult;

constexpr auto CommitIntervalsMs = std::array{10, 50, 200, 1000};
constexpr auto RouterCounts = std::array{3, 9, 30};

auto allCases(bool WithPartition, int MaxRouters) -> std::vector<SimulationCase> {
  auto Cases = std::vector<SimulationCase>();
  for (const auto &Strategy : budget::GrantStrategyNames) {
    for (const auto IntervalMs : CommitIntervalsMs) {
      for (const auto Routers : RouterCounts) {
        // The commit interval does not matter for what a partition strands.
        if (Routers <= MaxRouters && (!WithPartition || IntervalMs == 50)) {
          Cases.push_back({.m_Strategy = Strategy.m_Value,
                           .m_CommitInterval = std::chrono::milliseconds{IntervalMs},
                           .m_Routers = Routers,
                           .m_WithPartition = WithPartition});
        }
      }
    }
  }
  return Cases;
}

auto add(SimulationResult &Sum, const SimulationResult &Part) -> void {
  Sum.m_Requests += Part.m_Requests;
  Sum.m_FalseRefusals += Part.m_FalseRefusals;
  Sum.m_FalseRefusalsCutOff += Part.m_FalseRefusalsCutOff;
  Sum.m_RequestsCutOff += Part.m_RequestsCutOff;
  Sum.m_Writes += Part.m_Writes;
  Sum.m_Conflicts += Part.m_Conflicts;
  Sum.m_Reads += Part.m_Reads;
  Sum.m_BusySeconds += Part.m_BusySeconds;
  Sum.m_BillWait += Part.m_BillWait;
  Sum.m_Bills += Part.m_Bills;
  Sum.m_Stranded += Part.m_Stranded;
  Sum.m_Overspend += Part.m_Overspend;
}

auto percent(std::int64_t Part, std::int64_t Whole) -> double {
  return Whole == 0 ? 0 : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
}

auto printRow(const SimulationCase &Case, const SimulationResult &Sum, int Seeds) -> void {
  const auto PerSecond = [&](std::int64_t Count) {
    return static_cast<double>(Count) / Sum.m_BusySeconds;
  };
  fmt::print("| {} | {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.0f} | {:.3f} | {:.2f} | {} | {} |\n",
             base::nameOf(budget::GrantStrategyNames, Case.m_Strategy),
             Case.m_CommitInterval.count(), Case.m_Routers, PerSecond(Sum.m_Writes),
             PerSecond(Sum.m_Conflicts), PerSecond(Sum.m_Reads),
             static_cast<double>(Sum.m_BillWait.count()) / static_cast<double>(Sum.m_Bills),
             percent(Sum.m_FalseRefusals, Sum.m_Requests - Sum.m_RequestsCutOff),
             percent(Sum.m_FalseRefusalsCutOff, Sum.m_RequestsCutOff), Sum.m_Stranded / Seeds,
             Sum.m_Overspend);
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  const auto Seeds = absl::GetFlag(FLAGS_seeds);
  const auto Cases = allCases(absl::GetFlag(FLAGS_partition), absl::GetFlag(FLAGS_max_routers));
  auto Results = std::vector<SimulationResult>(Cases.size());
  auto NextCase = std::atomic<std::size_t>{0};
  auto Threads = std::vector<std::thread>();
  for (int Count = 0; Count < absl::GetFlag(FLAGS_threads); ++Count) {
    Threads.emplace_back([&] {
      for (auto At = NextCase++; At < Cases.size(); At = NextCase++) {
        for (int Seed = 1; Seed <= Seeds; ++Seed) {
          auto Case = Cases[At];
          Case.m_GrantHorizon = std::chrono::milliseconds{absl::GetFlag(FLAGS_horizon_ms)};
          Case.m_Seed = static_cast<std::uint64_t>(Seed);
          add(Results[At], bench::BudgetSimulation(Case).run());
        }
      }
    });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  fmt::print("| strategy | interval ms | routers | writes/s | conflicts/s | reads/s | bill wait ms "
             "| false refusals % | cut off % | stranded | overspend |\n"
             "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (std::size_t At = 0; At < Cases.size(); ++At) {
    printRow(Cases[At], Results[At], Seeds);
  }
  return 0;
}
