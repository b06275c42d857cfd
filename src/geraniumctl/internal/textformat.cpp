#include "geraniumctl/internal/textformat.h"

#include <algorithm>
#include <fmt/format.h>

namespace geraniumlift::geraniumctl::internal {

namespace {

using Row = std::vector<std::string>;

auto columnWidths(const std::vector<Row> &Rows) -> std::vector<std::size_t> {
  auto Widths = std::vector<std::size_t>();
  for (const auto &Cells : Rows) {
    Widths.resize(std::max(Widths.size(), Cells.size()));
    for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
      Widths[Index] = std::max(Widths[Index], Cells[Index].size());
    }
  }
  return Widths;
}

/// Returns the member as a table cell; empty if there is no such member.
auto memberText(const rapidjson::Value &Object, const std::string &Key) -> std::string {
  if (!Object.IsObject()) {
    return "";
  }
  const auto Found = Object.FindMember(Key.c_str());
  return Found == Object.MemberEnd() ? "" : formatCell(Found->value);
}

} // namespace

auto formatTable(const std::vector<Row> &Rows) -> std::string {
  const auto Widths = columnWidths(Rows);
  auto Text = std::string();
  for (const auto &Cells : Rows) {
    auto Line = std::string();
    for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
      Line += fmt::format("{:<{}}  ", Cells[Index], Widths[Index]);
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

auto formatCell(const rapidjson::Value &Json) -> std::string {
  if (Json.IsString()) {
    return {Json.GetString(), Json.GetStringLength()};
  }
  auto Buffer = rapidjson::StringBuffer();
  auto Writer = rapidjson::Writer<rapidjson::StringBuffer>(Buffer);
  Json.Accept(Writer);
  return {Buffer.GetString(), Buffer.GetSize()};
}

auto formatList(const rapidjson::Value &List) -> std::string {
  if (!List.IsArray() || List.Empty() || !List[0].IsObject()) {
    return "(none)\n";
  }
  auto Rows = std::vector<Row>(1);
  for (const auto &Entry : List[0].GetObject()) {
    Rows[0].push_back(formatCell(Entry.name));
  }
  for (const auto &Object : List.GetArray()) {
    auto Cells = Row();
    for (const auto &Key : Rows[0]) {
      Cells.push_back(memberText(Object, Key));
    }
    Rows.push_back(std::move(Cells));
  }
  return formatTable(Rows);
}

auto quoteJson(std::string_view Text) -> std::string {
  auto Buffer = rapidjson::StringBuffer();
  auto Writer = rapidjson::Writer<rapidjson::StringBuffer>(Buffer);
  Writer.String(Text.data(), static_cast<rapidjson::SizeType>(Text.size()));
  return {Buffer.GetString(), Buffer.GetSize()};
}

} // namespace geraniumlift::geraniumctl::internal
