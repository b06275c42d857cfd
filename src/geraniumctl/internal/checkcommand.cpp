#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/objectfiles.h"

#include <fmt/format.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

auto runCheck(CommandContext &Context) -> ExitCode {
  const auto Objects = readObjectFiles(Context);
  if (!Objects) {
    return ExitCode::Refused;
  }
  const auto *Format =
      Context.m_Options.m_Output == OutputFormat::Json
          ? R"({{"ok":true,"errors":[],"budget":{},"priority_class":{},"workspace":{},"model_pool":{},"target":{}}})"
          : "no mistakes: {} budgets, {} priority classes, {} workspaces, {} model pools, {} "
            "targets";
  Context.m_Out << fmt::format(fmt::runtime(Format), Objects->m_Budgets.size(),
                               Objects->m_PriorityClasses.size(), Objects->m_Workspaces.size(),
                               Objects->m_ModelPools.size(), Objects->m_Targets.size())
                << '\n';
  return ExitCode::Success;
}

} // namespace geraniumlift::geraniumctl::internal
