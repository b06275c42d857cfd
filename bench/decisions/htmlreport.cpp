#include "decisions/reports.h"

#include <algorithm>
#include <fmt/format.h>

namespace geraniumlift::bench {

namespace {

/// Width of the longest bar, in pixels.
constexpr auto BarWidth = 240.0;

constexpr auto Head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>geraniumlift: dispatch decisions</title>
<style>
body { font: 14px sans-serif; margin: 2em auto; max-width: 75em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #ccc; padding: 3px 8px; text-align: left; vertical-align: top; }
td.number { text-align: right; font-variant-numeric: tabular-nums; white-space: nowrap; }
</style></head><body><h1>Dispatch decisions</h1>
<p>Each figure is the mean over the seeds, with the standard deviation and the range. All policies
meet the same arrivals and faults. Bars are scaled to the largest mean of their row.</p>
)";

auto escaped(std::string_view Text) -> std::string {
  auto Result = std::string();
  for (const auto Char : Text) {
    if (Char == '<') {
      Result += "&lt;";
    } else if (Char == '>') {
      Result += "&gt;";
    } else if (Char == '&') {
      Result += "&amp;";
    } else {
      Result += Char;
    }
  }
  return Result;
}

auto largestMean(const Metric &Metric, const WorkloadMeasures &Workload) -> double {
  auto Largest = 0.0;
  for (const auto &Policy : Workload.m_Policies) {
    Largest = std::max(Largest, spreadOf(Metric, Policy.m_Seeds).m_Mean);
  }
  return Largest;
}

auto bars(const Metric &Metric, const WorkloadMeasures &Workload) -> std::string {
  const auto Largest = largestMean(Metric, Workload);
  auto Svg = fmt::format(R"(<svg width="{:.0f}" height="{}" role="img">)", BarWidth,
                         Workload.m_Policies.size() * 14);
  auto Top = 1;
  for (const auto &Policy : Workload.m_Policies) {
    const auto Mean = spreadOf(Metric, Policy.m_Seeds).m_Mean;
    const auto Width = Largest > 0.0 ? BarWidth * Mean / Largest : 0.0;
    Svg += fmt::format(R"(<rect x="0" y="{}" width="{:.1f}" height="11" fill="{}">)", Top, Width,
                       Policy.m_Policy == "naive" ? "#bbb" : "#2a7");
    Svg += fmt::format("<title>{}: {:.4f}</title></rect>", escaped(Policy.m_Policy), Mean);
    Top += 14;
  }
  return Svg + "</svg>";
}

auto row(const Metric &Metric, const WorkloadMeasures &Workload) -> std::string {
  auto Html = fmt::format("<tr><td>{}<br><small>{}</small></td>", escaped(Metric.m_Name),
                          escaped(Metric.m_Meaning));
  for (const auto &Policy : Workload.m_Policies) {
    const auto Spread = spreadOf(Metric, Policy.m_Seeds);
    Html +=
        fmt::format("<td class=\"number\">{:.4f} ± {:.4f}<br><small>{:.4f} to {:.4f}</small>"
                    "</td>",
                    Spread.m_Mean, Spread.m_StandardDeviation, Spread.m_Lowest, Spread.m_Highest);
  }
  return Html + fmt::format("<td>{}</td><td>{}</td></tr>\n", escaped(Metric.m_Goal),
                            bars(Metric, Workload));
}

auto table(const WorkloadMeasures &Workload) -> std::string {
  auto Html =
      fmt::format("<h2>Workload {}</h2>\n<table><tr><th>figure</th>", escaped(Workload.m_Workload));
  for (const auto &Policy : Workload.m_Policies) {
    Html += fmt::format("<th>{}</th>", escaped(Policy.m_Policy));
  }
  Html += "<th>goal</th><th>bars</th></tr>\n";
  for (const auto &Metric : metrics()) {
    Html += row(Metric, Workload);
  }
  return Html + "</table>\n";
}

} // namespace

auto htmlReport(const std::vector<WorkloadMeasures> &Measures) -> std::string {
  auto Html = std::string(Head);
  for (const auto &Workload : Measures) {
    Html += table(Workload);
  }
  return Html + "</body></html>\n";
}

} // namespace geraniumlift::bench
