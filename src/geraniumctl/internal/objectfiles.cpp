#include "geraniumctl/internal/objectfiles.h"

#include "geraniumctl/internal/textformat.h"
#include "objects/objectparser.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace geraniumlift::geraniumctl::internal {

namespace {

auto readFile(const std::string &Name, std::vector<objects::ObjectError> &Errors)
    -> objects::ObjectFile {
  auto Stream = std::ifstream(Name, std::ios::binary);
  auto Content = std::ostringstream();
  if (!Stream ||
      (Stream.peek() != std::ifstream::traits_type::eof() && !(Content << Stream.rdbuf()))) {
    Errors.push_back({Name, 0, "", "cannot be read"});
  }
  return {.m_Name = Name, .m_Text = Content.str()};
}

auto toJson(const objects::ObjectError &Error) -> std::string {
  return fmt::format(R"({{"file":{},"line":{},"field":{},"message":{}}})", quoteJson(Error.m_File),
                     Error.m_Line, quoteJson(Error.m_Field), quoteJson(Error.m_Message));
}

auto toTextLine(const objects::ObjectError &Error) -> std::string {
  const auto Place =
      Error.m_File.empty() ? std::string() : fmt::format("{}:{}: ", Error.m_File, Error.m_Line);
  const auto Field = Error.m_Field.empty() ? std::string() : Error.m_Field + ": ";
  return fmt::format("{}{}{}\n", Place, Field, Error.m_Message);
}

} // namespace

auto reportObjectErrors(CommandContext &Context, const std::vector<objects::ObjectError> &Errors)
    -> void {
  if (Context.m_Options.m_Output == OutputFormat::Text) {
    for (const auto &Error : Errors) {
      Context.m_Error << toTextLine(Error);
    }
    Context.m_Error << fmt::format("{} mistake{} found\n", Errors.size(),
                                   Errors.size() == 1 ? "" : "s");
    return;
  }
  auto Items = std::vector<std::string>();
  for (const auto &Error : Errors) {
    Items.push_back(toJson(Error));
  }
  Context.m_Out << fmt::format("{{\"ok\":false,\"errors\":[{}]}}\n", fmt::join(Items, ","));
}

auto readObjectFiles(CommandContext &Context) -> std::optional<objects::ObjectSet> {
  auto Errors = std::vector<objects::ObjectError>();
  auto Files = std::vector<objects::ObjectFile>();
  for (const auto &Name : Context.m_Arguments) {
    Files.push_back(readFile(Name, Errors));
  }
  auto Result = objects::ParseResult();
  if (Errors.empty()) {
    Result = objects::parseObjects(Files);
    Errors = std::move(Result.m_Errors);
  }
  if (!Errors.empty()) {
    reportObjectErrors(Context, Errors);
    return std::nullopt;
  }
  return std::move(Result.m_Objects);
}

} // namespace geraniumlift::geraniumctl::internal
