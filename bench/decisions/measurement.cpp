#include "decisions/measurement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace geraniumlift::bench {

namespace {

/// Nearest-rank percentile; 0 for an empty list.
auto percentile(std::vector<double> Values, double Share) -> double {
  if (Values.empty()) {
    return 0.0;
  }
  std::sort(Values.begin(), Values.end());
  const auto Rank = std::ceil(Share * static_cast<double>(Values.size()));
  return Values[static_cast<std::size_t>(std::max(1.0, Rank)) - 1];
}

auto part(double Count, double Whole) -> double { return Whole > 0.0 ? Count / Whole : 1.0; }

auto worstWorkspaceShare(const Workload &Load, const RunResult &Result) -> double {
  struct Count {
    double m_Planned = 0.0;
    double m_Served = 0.0;
  };
  auto Counts = std::map<std::string, Count>();
  for (auto Place = std::size_t{0}; Place < Result.m_Plan.size(); ++Place) {
    auto &Entry = Counts[Load.m_Flows[Result.m_Plan[Place].m_Flow].m_Workspace];
    Entry.m_Planned += 1.0;
    Entry.m_Served += Result.m_Outcomes[Place].m_ServedAt ? 1.0 : 0.0;
  }
  auto Worst = 1.0;
  for (const auto &[Workspace, Entry] : Counts) {
    Worst = std::min(Worst, part(Entry.m_Served, Entry.m_Planned));
  }
  return Worst;
}

} // namespace

auto measure(const Workload &Load, const RunResult &Result) -> RunMeasure {
  auto Measure = RunMeasure();
  auto ShortWaits = std::vector<double>();
  auto Latencies = std::vector<double>();
  auto ServedLatencies = std::vector<double>();
  auto Served = 0.0;
  auto Refused = 0.0;
  for (auto Place = std::size_t{0}; Place < Result.m_Plan.size(); ++Place) {
    const auto &Planned = Result.m_Plan[Place];
    const auto &Outcome = Result.m_Outcomes[Place];
    const auto &Flow = Load.m_Flows[Planned.m_Flow];
    const auto Ended = Outcome.m_ServedAt.value_or(Planned.m_DeadlineSeconds);
    const auto Started = Outcome.m_StartedAt.value_or(Planned.m_DeadlineSeconds);
    Latencies.push_back(Ended - Planned.m_SendSeconds);
    if (Flow.m_Short) {
      ShortWaits.push_back(Started - Planned.m_SendSeconds);
    }
    Refused += Outcome.m_StartedAt ? 0.0 : 1.0;
    if (!Outcome.m_ServedAt) {
      continue;
    }
    Served += 1.0;
    ServedLatencies.push_back(Ended - Planned.m_SendSeconds);
    Measure.m_PeakServed += Planned.m_AtPeak ? 1.0 : 0.0;
    Measure.m_PaidPeakServed += Planned.m_AtPeak && Flow.m_Paid ? 1.0 : 0.0;
  }
  const auto All = static_cast<double>(Result.m_Plan.size());
  Measure.m_ShortWaitP50 = percentile(ShortWaits, 0.5);
  Measure.m_ShortWaitP99 = percentile(std::move(ShortWaits), 0.99);
  Measure.m_LatencyP99 = percentile(std::move(Latencies), 0.99);
  Measure.m_ServedLatencyP99 = percentile(std::move(ServedLatencies), 0.99);
  Measure.m_ServedShare = part(Served, All);
  Measure.m_RefusedShare = part(Refused, All);
  Measure.m_FalseRefusalShare = part(static_cast<double>(Result.m_FalseRefusals), All);
  Measure.m_WorstWorkspaceShare = worstWorkspaceShare(Load, Result);
  Measure.m_LateStartsOnLeaving = static_cast<double>(Result.m_LateStartsOnLeaving);
  return Measure;
}

namespace {

template <Scenario Fault, double RunMeasure::*Member>
auto valueOf(const SeedMeasure &Seed) -> double {
  return Seed.m_Runs[static_cast<std::size_t>(Fault)].*Member;
}

auto peakShare(const SeedMeasure &Seed) -> double {
  return part(Seed.m_Runs[0].m_PeakServed, Seed.m_PeakBound);
}

auto paidPeakShare(const SeedMeasure &Seed) -> double {
  return part(Seed.m_Runs[0].m_PaidPeakServed, Seed.m_PaidPeakBound);
}

template <Scenario Slowed, Scenario Unslowed, double RunMeasure::*Member>
auto ratioOf(const SeedMeasure &Seed) -> double {
  return part(valueOf<Slowed, Member>(Seed), valueOf<Unslowed, Member>(Seed));
}

} // namespace

auto metrics() -> const std::vector<Metric> & {
  using enum Scenario;
  static const auto Rows = std::vector<Metric>{
      {"short_wait_p50_s", "wait of short work, median", "",
       &valueOf<NoFault, &RunMeasure::m_ShortWaitP50>},
      {"short_wait_p99_s", "wait of short work, 99th percentile", "<= naive / 10",
       &valueOf<NoFault, &RunMeasure::m_ShortWaitP99>},
      {"peak_served_of_ideal", "served at the peak / ideal bound", ">= 0.95", &peakShare},
      {"paid_peak_served_of_ideal", "paid work served at the peak / ideal bound", ">= 0.99",
       &paidPeakShare},
      {"false_refusals", "false refusals / requests", "< 0.001",
       &valueOf<NoFault, &RunMeasure::m_FalseRefusalShare>},
      {"false_refusals_routers_cut_off", "the same, a third of the routers cut off", "< 0.01",
       &valueOf<RoutersCutOff, &RunMeasure::m_FalseRefusalShare>},
      {"latency_p99_steady_s", "latency without swings, unserved count with their deadline", "",
       &valueOf<Steady, &RunMeasure::m_LatencyP99>},
      {"latency_p99_steady_slowed_s", "the same, a quarter of the targets slowed", "",
       &valueOf<SteadyTargetsSlowed, &RunMeasure::m_LatencyP99>},
      {"latency_p99_steady_slowed_ratio", "ratio of the two", "<= 1.3",
       &ratioOf<SteadyTargetsSlowed, Steady, &RunMeasure::m_LatencyP99>},
      {"latency_p99_s", "latency with swings, unserved count with their deadline", "",
       &valueOf<NoFault, &RunMeasure::m_LatencyP99>},
      {"latency_p99_slowed_s", "the same, a quarter of the targets slowed", "",
       &valueOf<TargetsSlowed, &RunMeasure::m_LatencyP99>},
      {"latency_p99_slowed_ratio", "ratio of the two", "<= 1.3",
       &ratioOf<TargetsSlowed, NoFault, &RunMeasure::m_LatencyP99>},
      {"served_latency_p99_s", "latency with swings, served requests only", "",
       &valueOf<NoFault, &RunMeasure::m_ServedLatencyP99>},
      {"served_latency_p99_slowed_s", "the same, a quarter of the targets slowed", "",
       &valueOf<TargetsSlowed, &RunMeasure::m_ServedLatencyP99>},
      {"served_latency_p99_slowed_ratio", "ratio of the two", "<= 1.3",
       &ratioOf<TargetsSlowed, NoFault, &RunMeasure::m_ServedLatencyP99>},
      {"short_wait_p99_slowed_s", "wait of short work with slowed targets", "",
       &valueOf<TargetsSlowed, &RunMeasure::m_ShortWaitP99>},
      {"served", "served / requests", "", &valueOf<NoFault, &RunMeasure::m_ServedShare>},
      {"served_steady_slowed", "the same, no swings, a quarter of the targets slowed", "",
       &valueOf<SteadyTargetsSlowed, &RunMeasure::m_ServedShare>},
      {"served_slowed", "the same, a quarter of the targets slowed", "",
       &valueOf<TargetsSlowed, &RunMeasure::m_ServedShare>},
      {"served_target_leaving", "the same, a target leaving", "",
       &valueOf<TargetLeaving, &RunMeasure::m_ServedShare>},
      {"served_routers_cut_off", "the same, a third of the routers cut off", "",
       &valueOf<RoutersCutOff, &RunMeasure::m_ServedShare>},
      {"refused", "requests that never started / requests", "",
       &valueOf<NoFault, &RunMeasure::m_RefusedShare>},
      {"served_worst_workspace", "served part of the workspace served worst", "",
       &valueOf<NoFault, &RunMeasure::m_WorstWorkspaceShare>},
      {"late_starts_on_leaving", "requests sent to a target 5 s after it began to leave", "0",
       &valueOf<TargetLeaving, &RunMeasure::m_LateStartsOnLeaving>},
  };
  return Rows;
}

auto spreadOf(const Metric &Metric, const std::vector<SeedMeasure> &Seeds) -> Spread {
  auto Values = std::vector<double>();
  for (const auto &Seed : Seeds) {
    Values.push_back(Metric.m_Value(Seed));
  }
  auto Result = Spread();
  if (Values.empty()) {
    return Result;
  }
  const auto Count = static_cast<double>(Values.size());
  for (const auto Value : Values) {
    Result.m_Mean += Value / Count;
  }
  auto Squares = 0.0;
  for (const auto Value : Values) {
    Squares += (Value - Result.m_Mean) * (Value - Result.m_Mean);
  }
  Result.m_StandardDeviation = Count > 1.0 ? std::sqrt(Squares / (Count - 1.0)) : 0.0;
  Result.m_Lowest = *std::min_element(Values.begin(), Values.end());
  Result.m_Highest = *std::max_element(Values.begin(), Values.end());
  return Result;
}

} // namespace geraniumlift::bench
