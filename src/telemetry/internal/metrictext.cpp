#include "telemetry/internal/metrictext.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace geraniumlift::telemetry {

namespace {

/// Label key that summaries use for quantiles; an underscore is appended if a caller uses it.
constexpr auto ReservedKey = std::string_view{"quantile"};

auto sanitisedName(std::string_view Name, std::string_view AlsoAllowed) -> std::string {
  auto Result = std::string(Name);
  for (auto &Character : Result) {
    const auto Allowed = absl::ascii_isalnum(static_cast<unsigned char>(Character)) ||
                         AlsoAllowed.find(Character) != std::string_view::npos;
    Character = Allowed ? Character : '_';
  }
  if (Result.empty() || absl::ascii_isdigit(static_cast<unsigned char>(Result.front()))) {
    Result.insert(Result.begin(), '_');
  }
  return Result;
}

auto labelKey(std::string_view Key) -> std::string {
  auto Result = sanitisedName(Key, "_");
  return Result == ReservedKey ? Result + "_" : Result;
}

auto escapedValue(std::string_view Value) -> std::string {
  auto Result = std::string();
  for (const auto Character : printableAscii(Value)) {
    if (Character == '\n') {
      Result += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\') {
      Result += '\\';
    }
    Result += Character;
  }
  return Result;
}

} // namespace

auto metricName(std::string_view Name) -> std::string { return sanitisedName(Name, "_:"); }

auto labelText(const std::vector<Label> &Labels) -> std::string {
  auto Sorted = std::map<std::string, std::string>();
  for (const auto &Row : Labels) {
    Sorted.emplace(labelKey(Row.m_Key), escapedValue(Row.m_Value));
  }
  auto Result = std::string();
  for (const auto &[Key, Value] : Sorted) {
    Result += fmt::format("{}{}=\"{}\"", Result.empty() ? "" : ",", Key, Value);
  }
  return Result;
}

auto printableAscii(std::string_view Text) -> std::string {
  auto Result = std::string(Text);
  std::ranges::replace_if(
      Result,
      [](char Character) {
        return Character != '\n' && !absl::ascii_isprint(static_cast<unsigned char>(Character));
      },
      '?');
  return Result;
}

} // namespace geraniumlift::telemetry
