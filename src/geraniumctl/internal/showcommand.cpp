#include "geraniumctl/internal/commands.h"
#include "geraniumctl/internal/errorreport.h"
#include "geraniumctl/internal/publishedset.h"
#include "geraniumctl/internal/textformat.h"
#include "objects/objectcodec.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

namespace {

using configuration::Snapshot;
using objects::ObjectKind;

auto showSummary(CommandContext &Context, const Snapshot &Published) -> ExitCode {
  const auto IsJson = Context.m_Options.m_Output == OutputFormat::Json;
  auto Text = IsJson ? fmt::format("{{\"generation\":{},\"id\":{}", Published.m_Generation,
                                   quoteJson(Published.m_PublicationId))
                     : fmt::format("generation {}\nid {}\n", Published.m_Generation,
                                   Published.m_PublicationId);
  for (const auto &Row : objects::ObjectKindNames) {
    const auto Count = objects::objectNames(Published.m_Objects, Row.m_Value).size();
    Text += IsJson ? fmt::format(",\"{}\":{}", Row.m_Name, Count)
                   : fmt::format("{} {}\n", Row.m_Name, Count);
  }
  Context.m_Out << Text << (IsJson ? "}\n" : "");
  return ExitCode::Success;
}

auto showKind(CommandContext &Context, const Snapshot &Published, ObjectKind Kind) -> ExitCode {
  const auto Names = objects::objectNames(Published.m_Objects, Kind);
  if (Context.m_Options.m_Output == OutputFormat::Text) {
    for (const auto &Name : Names) {
      Context.m_Out << Name << '\n';
    }
    return ExitCode::Success;
  }
  auto Items = std::vector<std::string>();
  for (const auto &Name : Names) {
    Items.push_back(fmt::format("{}:{}", quoteJson(Name),
                                *objects::encodeObject(Published.m_Objects, Kind, Name)));
  }
  Context.m_Out << fmt::format("{{{}}}\n", fmt::join(Items, ","));
  return ExitCode::Success;
}

/// Formats an object as a TOML table that can be used in an object file. JSON strings, numbers,
/// arrays and booleans are valid TOML values, so the values are copied as JSON.
auto toToml(std::string_view Kind, const std::string &Name, const std::string &Json)
    -> std::string {
  auto Document = rapidjson::Document();
  Document.Parse(Json.data(), Json.size());
  auto Text = fmt::format("[{}.{}]\n", Kind, Name);
  for (const auto &Entry : Document.GetObject()) {
    const auto Value =
        Entry.value.IsString() ? quoteJson(formatCell(Entry.value)) : formatCell(Entry.value);
    Text += fmt::format("{} = {}\n", Entry.name.GetString(), Value);
  }
  return Text;
}

auto showObject(CommandContext &Context, const Snapshot &Published, ObjectKind Kind) -> ExitCode {
  const auto &Name = Context.m_Arguments[1];
  const auto Json = objects::encodeObject(Published.m_Objects, Kind, Name);
  if (!Json.ok()) {
    return reportError(Context, Json.status());
  }
  Context.m_Out << (Context.m_Options.m_Output == OutputFormat::Json
                        ? *Json + "\n"
                        : toToml(Context.m_Arguments[0], Name, *Json));
  return ExitCode::Success;
}

} // namespace

auto runShow(CommandContext &Context) -> ExitCode {
  const auto &Arguments = Context.m_Arguments;
  const auto Kind =
      Arguments.empty() ? std::nullopt : base::valueOf(objects::ObjectKindNames, Arguments[0]);
  if (!Arguments.empty() && !Kind) {
    Context.m_Error << "geraniumctl: unknown kind " << Arguments[0] << '\n';
    return ExitCode::Usage;
  }
  const auto Published = readPublishedSet(Context);
  if (!Published.ok()) {
    return reportError(Context, Published.status());
  }
  if (!Kind) {
    return showSummary(Context, **Published);
  }
  return Arguments.size() == 1 ? showKind(Context, **Published, *Kind)
                               : showObject(Context, **Published, *Kind);
}

} // namespace geraniumlift::geraniumctl::internal
