#include "decisions/reports.h"

#include <cpprest/json.h>

namespace geraniumlift::bench {

namespace {

auto text(std::string_view Text) -> web::json::value {
  return web::json::value::string(std::string(Text));
}

auto metricValue(const Metric &Metric, const std::vector<SeedMeasure> &Seeds) -> web::json::value {
  const auto Spread = spreadOf(Metric, Seeds);
  auto Value = web::json::value::object(true);
  Value["mean"] = web::json::value::number(Spread.m_Mean);
  Value["standard_deviation"] = web::json::value::number(Spread.m_StandardDeviation);
  Value["lowest"] = web::json::value::number(Spread.m_Lowest);
  Value["highest"] = web::json::value::number(Spread.m_Highest);
  auto PerSeed = std::vector<web::json::value>();
  for (const auto &Seed : Seeds) {
    PerSeed.push_back(web::json::value::number(Metric.m_Value(Seed)));
  }
  Value["seeds"] = web::json::value::array(std::move(PerSeed));
  return Value;
}

auto policyValue(const PolicyMeasures &Policy) -> web::json::value {
  auto Value = web::json::value::object(true);
  Value["policy"] = text(Policy.m_Policy);
  auto Figures = web::json::value::object(true);
  for (const auto &Metric : metrics()) {
    Figures[std::string(Metric.m_Name)] = metricValue(Metric, Policy.m_Seeds);
  }
  Value["metrics"] = Figures;
  return Value;
}

auto workloadValue(const WorkloadMeasures &Workload) -> web::json::value {
  auto Value = web::json::value::object(true);
  Value["workload"] = text(Workload.m_Workload);
  Value["first_seed"] = web::json::value::number(Workload.m_FirstSeed);
  auto Policies = std::vector<web::json::value>();
  for (const auto &Policy : Workload.m_Policies) {
    Policies.push_back(policyValue(Policy));
  }
  Value["policies"] = web::json::value::array(std::move(Policies));
  return Value;
}

} // namespace

auto jsonReport(const std::vector<WorkloadMeasures> &Measures) -> std::string {
  auto Workloads = std::vector<web::json::value>();
  for (const auto &Workload : Measures) {
    Workloads.push_back(workloadValue(Workload));
  }
  auto Value = web::json::value::object(true);
  Value["workloads"] = web::json::value::array(std::move(Workloads));
  return Value.serialize() + "\n";
}

} // namespace geraniumlift::bench
