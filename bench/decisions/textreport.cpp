#include "decisions/reports.h"

#include <fmt/format.h>

namespace geraniumlift::bench {

auto textReport(const std::vector<WorkloadMeasures> &Measures) -> std::string {
  auto Text = std::string();
  for (const auto &Workload : Measures) {
    Text += fmt::format("workload {}: mean ± standard deviation over the seeds from {}\n{:34}",
                        Workload.m_Workload, Workload.m_FirstSeed, "");
    for (const auto &Policy : Workload.m_Policies) {
      Text += fmt::format(" {:>20}", Policy.m_Policy);
    }
    Text += "  goal\n";
    for (const auto &Metric : metrics()) {
      Text += fmt::format("{:34}", Metric.m_Name);
      for (const auto &Policy : Workload.m_Policies) {
        const auto Spread = spreadOf(Metric, Policy.m_Seeds);
        Text += fmt::format(
            " {:>20}", fmt::format("{:.4f} ± {:.4f}", Spread.m_Mean, Spread.m_StandardDeviation));
      }
      Text += fmt::format("  {}\n", Metric.m_Goal);
    }
    Text += "\n";
  }
  return Text;
}

} // namespace geraniumlift::bench
