#pragma once

#include "base/rapidjson.h"

#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::geraniumctl::internal {

/// Formats rows of cells, the first of them the headings, as a table. Each column is as wide as its
/// widest cell.
auto formatTable(const std::vector<std::vector<std::string>> &Rows) -> std::string;

/// Formats a JSON value as a table cell: strings without quotes, everything else as JSON.
auto formatCell(const rapidjson::Value &Json) -> std::string;

/// Formats an array of JSON objects as a table whose columns are the keys of the first object.
/// "(none)" if it is empty or its first element is not an object.
auto formatList(const rapidjson::Value &List) -> std::string;

/// Returns the text as a quoted and escaped JSON string.
auto quoteJson(std::string_view Text) -> std::string;

} // namespace geraniumlift::geraniumctl::internal
