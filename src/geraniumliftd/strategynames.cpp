#include "geraniumliftd/strategynames.h"

#include "admission/dispatcheroptions.h"
#include "budget/grantstrategy.h"

#include <fmt/format.h>

namespace geraniumlift::daemon {

namespace {

/// Adds an error that lists the known names if the table does not contain the name.
template <typename Table>
auto checkStrategyName(const Table &Names, const std::string &Name, const std::string &Key,
                       const std::string &FileName, std::vector<settings::SettingsError> &Errors)
    -> void {
  if (base::valueOf(Names, Name)) {
    return;
  }
  auto Known = std::string();
  for (const auto &Row : Names) {
    Known += fmt::format("{}{}", Known.empty() ? "" : ", ", Row.m_Name);
  }
  Errors.push_back({FileName, 0, Key, fmt::format("the value must be one of {}", Known)});
}

} // namespace

auto checkStrategyNames(const settings::Settings &Settings, const std::string &FileName)
    -> std::vector<settings::SettingsError> {
  auto Errors = std::vector<settings::SettingsError>();
  checkStrategyName(budget::GrantStrategyNames, Settings.m_GrantStrategy, "budget.grant_strategy",
                    FileName, Errors);
  checkStrategyName(routing::TargetStrategyNames, Settings.m_TargetStrategy,
                    "dispatch.target_strategy", FileName, Errors);
  checkStrategyName(admission::QueueStrategyNames, Settings.m_QueueStrategy,
                    "dispatch.queue_strategy", FileName, Errors);
  checkStrategyName(admission::LimitStrategyNames, Settings.m_LimitStrategy,
                    "dispatch.limit_strategy", FileName, Errors);
  return Errors;
}

} // namespace geraniumlift::daemon
