#pragma once

#include "base/rapidjson.h"

#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::geraniumctl::internal {

/// Columns of texts with a row of headings, each column as wide as its widest cell.
auto formatTable(const std::vector<std::vector<std::string>> &Rows) -> std::string;

/// A JSON value as text in a cell: texts without quotes, everything else as JSON.
auto formatCell(const rapidjson::Value &Json) -> std::string;

/// A list of JSON objects as a table whose columns are the keys of the first object.
auto formatList(const rapidjson::Value &List) -> std::string;

/// A text as a JSON string with quotes.
auto quoteJson(std::string_view Text) -> std::string;

} // namespace geraniumlift::geraniumctl::internal
