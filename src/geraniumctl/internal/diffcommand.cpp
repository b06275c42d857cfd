#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/errorreport.h"
#include "geraniumctl/internal/objectfiles.h"
#include "geraniumctl/internal/publishedset.h"
#include "geraniumctl/internal/textformat.h"
#include "objects/objectdiff.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

namespace {

auto toTextLine(const objects::ObjectChange &Change) -> std::string {
  const auto Fields = Change.m_Fields.empty()
                          ? std::string()
                          : fmt::format(" ({})", fmt::join(Change.m_Fields, ", "));
  return fmt::format("{} {} {}{}\n", base::nameOf(objects::ChangeKindNames, Change.m_Change),
                     base::nameOf(objects::ObjectKindNames, Change.m_Kind), Change.m_Name, Fields);
}

auto toJson(const objects::ObjectChange &Change) -> std::string {
  auto Fields = std::vector<std::string>();
  for (const auto &Field : Change.m_Fields) {
    Fields.push_back(quoteJson(Field));
  }
  return fmt::format(R"({{"change":"{}","kind":"{}","name":{},"fields":[{}]}})",
                     base::nameOf(objects::ChangeKindNames, Change.m_Change),
                     base::nameOf(objects::ObjectKindNames, Change.m_Kind),
                     quoteJson(Change.m_Name), fmt::join(Fields, ","));
}

auto printJson(std::ostream &Out, configuration::Generation Number,
               const std::vector<objects::ObjectChange> &Changes) -> void {
  auto Items = std::vector<std::string>();
  for (const auto &Change : Changes) {
    Items.push_back(toJson(Change));
  }
  Out << fmt::format("{{\"generation\":{},\"changes\":[{}]}}\n", Number, fmt::join(Items, ","));
}

} // namespace

auto runDiff(CommandContext &Context) -> ExitCode {
  const auto Objects = readObjectFiles(Context);
  if (!Objects) {
    return ExitCode::Refused;
  }
  const auto Published = readPublishedSet(Context);
  if (!Published.ok()) {
    return reportError(Context, Published.status());
  }
  const auto Changes = objects::diffObjects((*Published)->m_Objects, *Objects);
  if (Context.m_Options.m_Output == OutputFormat::Json) {
    printJson(Context.m_Out, (*Published)->m_Generation, Changes);
    return ExitCode::Success;
  }
  for (const auto &Change : Changes) {
    Context.m_Out << toTextLine(Change);
  }
  Context.m_Out << fmt::format("{} change{} against generation {}\n", Changes.size(),
                               Changes.size() == 1 ? "" : "s", (*Published)->m_Generation);
  return ExitCode::Success;
}

} // namespace geraniumlift::geraniumctl::internal
